/**
 * Log events of duties that only one VM performs, and of usage.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Log events with codes 2350 to 2399; `crashes` uses the codes below. */
export const DUTY_EVENTS = {
  holdAcquired: {
    code: 2350,
    level: "info",
    text:
      "this VM holds the right to the duties that only one VM performs; it waits until no call of the previous holder can arrive",
    action: "None; `fence` is the fencing token of its calls.",
  },
  holdEnded: {
    code: 2351,
    level: "info",
    text: "this VM no longer holds the right to the duties",
    action:
      "None after a change of leader. If its fencing token was rejected, look for another deployment that uses the same API.",
  },
  usageReported: {
    code: 2352,
    level: "info",
    text: "the usage of a window was reported and accepted",
    action: "None; `delayMs` is the time since the end of the window.",
  },
  usageReportedLate: {
    code: 2353,
    level: "warn",
    text: "the usage of a window was reported after it was due",
    action:
      "Look for events 2354 and 2351 before it: the API did not respond, or the leader changed.",
  },
  usageNotAccepted: {
    code: 2354,
    level: "warn",
    text: "a report of usage was not accepted; it is repeated unchanged",
    action:
      "Check the API at the address of the settings and the network to it; `outcome` says what happened.",
  },
  usageSkipped: {
    code: 2355,
    level: "error",
    text: "windows of usage are not reported",
    action:
      "Their reports are missing for good. `reason` says why; events 2354 and 2351 show since when.",
  },
  usageCountedLate: {
    code: 2356,
    level: "warn",
    text:
      "calls were counted after their window had been settled; they are in no report",
    action:
      "Check the network between the entry VM and the control VMs, or whether the VM was suspended.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
