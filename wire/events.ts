/**
 * Log events of connections between VMs.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 1100 to 1199. */
export const WIRE_EVENTS = {
  greetingRejected: {
    code: 1101,
    level: "warn",
    text: "closed a peer connection that sent no valid greeting",
    action:
      "Check that both VMs have the same cluster name and release; the field `reason` says what was wrong.",
  },
  frameRejected: {
    code: 1102,
    level: "warn",
    text: "closed a peer connection that sent an invalid frame",
    action:
      "Check that both VMs run compatible releases; the field `reason` says what was wrong.",
  },
  handlerFailed: {
    code: 1103,
    level: "error",
    text: "the handler of a peer message threw an error",
    action: "Report a bug with the field `stack`.",
  },
  connectionUnresponsive: {
    code: 1104,
    level: "info",
    text: "closed a peer connection because the peer did not answer a ping",
    action:
      "None for a single event. If it repeats, check the VM in the field `to` and the network to it.",
  },
  acceptFailed: {
    code: 1105,
    level: "warn",
    text: "a peer connection could not be accepted",
    action: "Check the memory and the open files of the VM.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
