/**
 * Log events of the programs.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 1801 to 1829: the HTTP server. */
export const HTTP_EVENTS = {
  listening: {
    code: 1801,
    level: "info",
    text: "the HTTP server accepts connections",
    action: "None.",
  },
  connectionDropped: {
    code: 1802,
    level: "warn",
    text: "an HTTP connection was refused because the limit is reached",
    action:
      "Look for a client that opens connections without need, or add VMs.",
  },
  requestRefused: {
    code: 1803,
    level: "debug",
    text: "an HTTP request was refused before it reached a route",
    action: "Correct the client if this is frequent.",
  },
  handlerFailed: {
    code: 1804,
    level: "error",
    text: "the handler of an HTTP route threw an error",
    action: "Report the error with its stack.",
  },
  answerBroken: {
    code: 1805,
    level: "warn",
    text: "a streamed HTTP answer broke off",
    action: "Look for the failure of the upstream at the same time.",
  },
  readerStalled: {
    code: 1806,
    level: "warn",
    text: "an HTTP connection was closed because its caller stopped reading",
    action: "Look at the network between the caller and this VM.",
  },
  draining: {
    code: 1807,
    level: "info",
    text: "the HTTP server is stopping and still finishes requests",
    action: "None.",
  },
  drained: {
    code: 1808,
    level: "info",
    text: "the HTTP server has finished every request",
    action: "None.",
  },
  nodeStarted: {
    code: 1809,
    level: "info",
    text: "this VM has started",
    action: "None.",
  },
  nodeStopping: {
    code: 1810,
    level: "info",
    text: "this VM was told to stop",
    action: "None.",
  },
  nodeReloaded: {
    code: 1811,
    level: "info",
    text: "the settings of this VM have changed",
    action: "None.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
