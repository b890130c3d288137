/**
 * Log events of the weights folder.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 1700 to 1799. */
export const WEIGHTS_EVENTS = {
  leadershipAcquired: {
    code: 1701,
    level: "info",
    text: "this VM became the leader and sends orders to engines",
    action: "None.",
  },
  leadershipLost: {
    code: 1702,
    level: "info",
    text: "this VM is no longer the leader and sends no more orders to engines",
    action: "None.",
  },
  orderSent: {
    code: 1703,
    level: "info",
    text: "an order to serve a version was sent to an engine",
    action: "None.",
  },
  orderRejected: {
    code: 1704,
    level: "warn",
    text: "an engine rejected an order",
    action:
      "None if the engine reports a newer fence; otherwise check the engine.",
  },
  orderFailed: {
    code: 1705,
    level: "warn",
    text:
      "an order failed or got no response; the engine is polled and the order is retried",
    action: "Check the engine if this continues.",
  },
  loadFailed: {
    code: 1706,
    level: "warn",
    text:
      "an engine failed to load a version; the order is retried after a backoff",
    action: "Check the engine and the weight store if this continues.",
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
    text: "this VM acquired the exclusive right to send orders to engines",
    action: "None.",
  },
  holdNotReleased: {
    code: 1709,
    level: "info",
    text:
      "the exclusive right to send orders was not released before this VM stopped",
    action: "None; the next holder waits until the right has expired.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
