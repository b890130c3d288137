/**
 * Log events of the fakes.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 1900 to 1999. */
export const FAKES_EVENTS = {
  started: {
    code: 1901,
    level: "info",
    text: "a fake is listening",
    action: "None.",
  },
  announced: {
    code: 1902,
    level: "info",
    text: "an entry VM accepted the announcement of a fake upstream",
    action: "None.",
  },
  announceFailed: {
    code: 1903,
    level: "warn",
    text: "an entry VM did not accept the announcement of a fake upstream",
    action: "Check the entry VM; the fake retries with the next one.",
  },
  stopping: {
    code: 1904,
    level: "info",
    text: "a fake is deregistering and finishing its running requests",
    action: "None.",
  },
  stopped: {
    code: 1905,
    level: "info",
    text: "a fake has stopped",
    action: "None.",
  },
  swapFailed: {
    code: 1906,
    level: "warn",
    text: "a fake engine failed partway through a swap of weights",
    action: "Send the engine another order.",
  },
  trainerCallFailed: {
    code: 1907,
    level: "debug",
    text: "a call of the fake trainer to an entry VM failed",
    action: "None; the trainer retries the call with the next entry VM.",
  },
  stepTrained: {
    code: 1908,
    level: "info",
    text: "the fake trainer received a complete step and trained on it",
    action: "None.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
