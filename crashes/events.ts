/**
 * Log events of calls that crash upstreams.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Log events with codes 2300 to 2399. */
export const CRASH_EVENTS = {
  isolationDecided: {
    code: 2301,
    level: "info",
    text:
      "the leader of the control log decided whether a suspect may run apart from other suspects",
    action:
      "None; `granted` names the upstream. `rejected` says why not within the patience of the call.",
  },
  suspectRejected: {
    code: 2302,
    level: "warn",
    text: "a suspect was not sent to any further upstream",
    action:
      "Find the crashes of its `digest` in events 1421; `standing` is blocked after too many of them.",
  },
  isolationUnavailable: {
    code: 2303,
    level: "warn",
    text:
      "no control VM decided about a suspect; this VM runs it apart from its own other suspects, or not if it crashed several upstreams",
    action: "Check the control VMs, and the network to them.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
