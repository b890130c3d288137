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
    text: "the HTTP server is listening for connections",
    action: "None.",
  },
  connectionDropped: {
    code: 1802,
    level: "warn",
    text:
      "an HTTP connection was refused because the connection limit was reached",
    action:
      "Look for a client that opens more connections than it needs, or add VMs.",
  },
  requestRejected: {
    code: 1803,
    level: "debug",
    text: "an HTTP request was rejected before it reached a route",
    action: "Fix the client if this is frequent.",
  },
  handlerFailed: {
    code: 1804,
    level: "error",
    text: "the handler of an HTTP route threw an error",
    action: "Report the error with its stack.",
  },
  responseAborted: {
    code: 1805,
    level: "warn",
    text: "a streamed HTTP response was aborted before its end",
    action: "Look for a failure of the upstream at the same time.",
  },
  callerStalled: {
    code: 1806,
    level: "warn",
    text:
      "an HTTP connection was closed because its caller stopped reading the response",
    action: "Check the caller and the network between it and this VM.",
  },
  draining: {
    code: 1807,
    level: "info",
    text: "the HTTP server is draining and still finishes requests",
    action: "None.",
  },
  drained: {
    code: 1808,
    level: "info",
    text: "the HTTP server has drained: every request has finished",
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
    text: "this VM is stopping",
    action: "None.",
  },
  nodeReloaded: {
    code: 1811,
    level: "info",
    text: "this VM has reloaded its settings file",
    action: "None.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
