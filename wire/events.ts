/**
 * Log events of the wire.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 1100 to 1199. */
export const WIRE_EVENTS = {
  connectionRefused: {
    code: 1101,
    level: "warn",
    text: "a peer connection was closed because of its greeting",
    action: "Check that both VMs have the same cluster name and release.",
  },
  frameRefused: {
    code: 1102,
    level: "warn",
    text: "a peer connection was closed because of a frame",
    action: "Check that both VMs run releases that can talk to each other.",
  },
  handlerFailed: {
    code: 1103,
    level: "error",
    text: "the handler of a peer message threw an error",
    action: "Report the error with its stack.",
  },
  connectionSilent: {
    code: 1104,
    level: "info",
    text: "a peer connection was closed because a ping stayed unanswered",
    action: "None, unless it happens often: then look at the VM and the links.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
