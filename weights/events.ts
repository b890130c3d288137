/**
 * Log events of weights.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 1700 to 1799. */
export const WEIGHTS_EVENTS = {
  leadershipAcquired: {
    code: 1701,
    level: "info",
    text: "this VM gives orders to engines now",
    action: "None.",
  },
  leadershipLost: {
    code: 1702,
    level: "info",
    text: "this VM gives no more orders to engines",
    action: "None.",
  },
  orderSent: {
    code: 1703,
    level: "info",
    text: "an engine was ordered to serve a version",
    action: "None.",
  },
  orderRejected: {
    code: 1704,
    level: "warn",
    text: "an engine refused an order",
    action: "None if it names a newer fence; else look at the engine.",
  },
  orderFailed: {
    code: 1705,
    level: "warn",
    text: "an order got no answer; the engine is read back and asked again",
    action: "Look at the engine if this goes on.",
  },
  loadFailed: {
    code: 1706,
    level: "warn",
    text: "an engine could not load a version; it is ordered again later",
    action: "Look at the engine and the weight store if this goes on.",
  },
  rolloutCompleted: {
    code: 1707,
    level: "info",
    text: "all engines of a model serve the published version",
    action: "None.",
  },
  holdAcquired: {
    code: 1708,
    level: "info",
    text: "this VM holds the right to give orders to engines",
    action: "None.",
  },
  holdNotReleased: {
    code: 1709,
    level: "info",
    text: "the right to give orders was not handed back before the stop",
    action: "None; the next holder waits until it has lapsed.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
