/**
 * Log events of samples.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 1600 to 1699. */
export const SAMPLES_EVENTS = {
  stepAccepted: {
    code: 1601,
    level: "info",
    text: "a step of a trainer was accepted",
    action: "None.",
  },
  versionPublished: {
    code: 1602,
    level: "info",
    text: "a trainer published a version",
    action: "None.",
  },
  leaseLost: {
    code: 1603,
    level: "warn",
    text: "groups of this entry were given to others, because it renewed late",
    action: "Look for a cut or an overloaded VM if this happens often.",
  },
  versionsUnknown: {
    code: 1604,
    level: "warn",
    text: "a sample was discarded, because its versions can't be known",
    action: "Expected when an engine that can't tell changes its version.",
  },
  sampleTooOld: {
    code: 1605,
    level: "info",
    text: "a sample was discarded, because it is over the staleness bound",
    action: "Allow more staleness, or add engines, if this happens often.",
  },
  scoringFailed: {
    code: 1606,
    level: "warn",
    text: "the scorer gave no usable score; it is asked again",
    action: "Look at the scorer if this goes on.",
  },
  groupGivenUp: {
    code: 1607,
    level: "warn",
    text: "the ledger refused a group, which was dropped",
    action: "Report the failure if the step is still wanted.",
  },
  drained: {
    code: 1608,
    level: "info",
    text: "generation ended for a planned stop",
    action: "None.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
