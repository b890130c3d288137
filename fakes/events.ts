/**
 * Log events of the stand-ins.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 1900 to 1999. */
export const FAKES_EVENTS = {
  started: {
    code: 1901,
    level: "info",
    text: "a stand-in listens",
    action: "None.",
  },
  announced: {
    code: 1902,
    level: "info",
    text: "an entry VM took the announcement of a stand-in",
    action: "None.",
  },
  announceFailed: {
    code: 1903,
    level: "warn",
    text: "an entry VM did not take the announcement of a stand-in",
    action: "Check the entry VM; the stand-in tries the next one.",
  },
  stopping: {
    code: 1904,
    level: "info",
    text: "a stand-in leaves and finishes what runs",
    action: "None.",
  },
  stopped: {
    code: 1905,
    level: "info",
    text: "a stand-in has finished",
    action: "None.",
  },
  swapFailed: {
    code: 1906,
    level: "warn",
    text: "a stand-in engine failed partway through a swap of weights",
    action: "Give the engine another order.",
  },
  trainerCallFailed: {
    code: 1907,
    level: "debug",
    text: "an entry VM did not answer the stand-in trainer as hoped",
    action: "None; the trainer sends the same call to the next entry VM.",
  },
  stepTrained: {
    code: 1908,
    level: "info",
    text: "the stand-in trainer received a whole step and trained on it",
    action: "None.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
