/**
 * Log events of the check of API keys.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 2250 to 2299; those before belong to `quotas`. */
export const TENANT_EVENTS = {
  callerRejected: {
    code: 2250,
    level: "info",
    text: "a call was rejected since it has no key of a tenant",
    action:
      "Compare `version` with the configuration that has the key; see docs/OPERATIONS.md.",
  },
  callerUnconfirmed: {
    code: 2251,
    level: "info",
    text:
      "a call was not accepted since it is not known whether the configuration is the newest",
    action:
      "Check that this VM reaches the control VMs and that they have a leader: `proofAgeMs` is the age of the last proof, null without one.",
  },
  callAboveShare: {
    code: 2254,
    level: "info",
    text:
      "a call was rejected since its service can't run all calls and its tenant sends more than its share",
    action:
      "Add upstreams of the service named in `reason`, or ask the tenant to send less; see docs/OPERATIONS.md.",
  },
  leaseLost: {
    code: 2252,
    level: "warn",
    text: "this VM can't prove any more that its configuration is the newest",
    action:
      "Check that it reaches the control VMs and that they have a leader, and for suspensions of the VM and steps of its clock.",
  },
  leaseRegained: {
    code: 2253,
    level: "info",
    text: "this VM has proved that its configuration is the newest",
    action: "None.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
