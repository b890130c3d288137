/**
 * Log events of sample generation and delivery.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events of samples; codes 1600 to 1699. */
export const SAMPLES_EVENTS = {
  stepAccepted: {
    code: 1601,
    level: "info",
    text: "a step submitted by a trainer was accepted",
    action: "None.",
  },
  versionPublished: {
    code: 1602,
    level: "info",
    text: "a trainer published a model version",
    action: "None.",
  },
  leaseLost: {
    code: 1603,
    level: "warn",
    text: "this entry lost its leased groups because it renewed its lease late",
    action:
      "If this repeats, check for a network partition or an overloaded VM.",
  },
  versionsUnknown: {
    code: 1604,
    level: "warn",
    text:
      "a sample was discarded because the versions that generated it are unknown",
    action:
      "Expected when an engine that does not report versions changes its version.",
  },
  sampleTooOld: {
    code: 1605,
    level: "info",
    text: "a sample was discarded because it exceeds the staleness bound",
    action: "If this repeats, raise the staleness bound or add engines.",
  },
  scoringFailed: {
    code: 1606,
    level: "warn",
    text: "the scorer returned no usable score; the request is retried",
    action: "If this continues, check the scorer.",
  },
  groupRejected: {
    code: 1607,
    level: "warn",
    text:
      "the ledger rejected the commit of a group, and this entry dropped the group",
    action: "If the step is still required, report the failure.",
  },
  drained: {
    code: 1608,
    level: "info",
    text: "generation of groups stopped for a planned shutdown",
    action: "None.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
