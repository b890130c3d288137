/**
 * Log events of the batches.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Log events with codes 2000 to 2099. */
export const BATCHES_EVENTS = {
  runnerLeads: {
    code: 2001,
    level: "info",
    text: "this VM leads the batch log and runs the items of batches",
    action: "None.",
  },
  runnerStoodDown: {
    code: 2002,
    level: "info",
    text: "this VM no longer leads the batch log and stopped running items",
    action:
      "None, unless it happens often: then check the network links and disks of the store VMs.",
  },
  batchTaken: {
    code: 2003,
    level: "info",
    text: "this VM started to run the items of a batch",
    action: "None.",
  },
  batchDropped: {
    code: 2004,
    level: "info",
    text: "a batch was ended; its runs were cancelled",
    action: "None.",
  },
  runMoved: {
    code: 2005,
    level: "info",
    text: "a run was stopped; its item resumes on another engine",
    action: "Check the engine if many runs are moved away from it.",
  },
  runEnded: {
    code: 2006,
    level: "info",
    text: "a run ended before its text was complete",
    action: "Check the engine if many of its runs end early.",
  },
  itemGivenUp: {
    code: 2007,
    level: "warn",
    text: "an item was abandoned; its outcome is given_up",
    action: "Read the reason, then check the engines that ran the item.",
  },
  progressNotKept: {
    code: 2008,
    level: "warn",
    text: "the progress of items could not be stored; storing it is retried",
    action: "Check the store VMs and the network links between them.",
  },
  batchRefused: {
    code: 2009,
    level: "warn",
    text: "a batch could not be accepted",
    action: "Read the failure; the trainer retries the submission.",
  },
  scoringFailed: {
    code: 2010,
    level: "warn",
    text: "the scoring call of an item failed; it is sent again",
    action:
      "Read the reason, then check the plain service that scores, and the route of the call.",
  },
  foreignRunsFound: {
    code: 2011,
    level: "info",
    text:
      "after a change of leader the engines were asked how full they are (runs: of the leader before, on the occupied ones)",
    action:
      "None. Many runs follow a leader that froze or lost its power; new runs wait for free slots meanwhile.",
  },
  textRestarted: {
    code: 2012,
    level: "info",
    text:
      "the text of an item was discarded and is begun anew, since no engine with its version continues it",
    action:
      "None during a rollout of weights or a replacement of engines; otherwise check why engines with that version were lost.",
  },
  engineFails: {
    code: 2013,
    level: "warn",
    text: "an engine fails a share of its runs; items prefer other engines",
    action:
      "Check the engine if its health check is good: 2006 names the outcome of each run.",
  },
  itemsWait: {
    code: 2014,
    level: "info",
    text:
      "items have had no event for a second and wait (reason: the first condition that no engine meets)",
    action:
      "None while engines are full (slot, cache, turn). Otherwise see the page on operations for the reason.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
