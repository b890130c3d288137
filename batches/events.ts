/**
 * Log events of batches.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 2000 to 2099. */
export const BATCHES_EVENTS = {
  runnerLeads: {
    code: 2001,
    level: "info",
    text: "this VM runs the items of batches now",
    action: "None.",
  },
  runnerStoodDown: {
    code: 2002,
    level: "info",
    text: "this VM runs no more items: it does not lead any more",
    action: "None, unless it happens often: then look at the links and disks.",
  },
  batchTaken: {
    code: 2003,
    level: "info",
    text: "the items of a batch are run from now on",
    action: "None.",
  },
  batchDropped: {
    code: 2004,
    level: "info",
    text: "a batch has ended; its runs were cancelled",
    action: "None.",
  },
  runMoved: {
    code: 2005,
    level: "info",
    text: "a run is ended here and goes on at another engine",
    action: "Look at the engine if many runs leave it.",
  },
  runEnded: {
    code: 2006,
    level: "info",
    text: "a run ended before its text was whole",
    action: "Look at the engine if many runs end there.",
  },
  itemGivenUp: {
    code: 2007,
    level: "warn",
    text: "an item was given up",
    action: "Read the reason; look at the engines that ran it.",
  },
  progressNotKept: {
    code: 2008,
    level: "warn",
    text: "progress of items could not be kept; it is tried again",
    action: "Look at the store VMs and the links between them.",
  },
  batchRefused: {
    code: 2009,
    level: "warn",
    text: "a batch was not accepted",
    action: "Read the failure; the trainer sends it again.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
