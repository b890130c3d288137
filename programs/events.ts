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
  metricsUnavailable: {
    code: 1812,
    level: "warn",
    text:
      "the metrics address can't be bound; this process serves no metrics there",
    action: "Set another port in the deploy file.",
  },
  silentConnectionClosed: {
    code: 1813,
    level: "warn",
    text:
      "an HTTP connection without any request was closed to accept a new one at the connection limit",
    action:
      "Look for a client that opens connections and sends nothing, or add VMs.",
  },
  pipeliningConnectionClosed: {
    code: 1814,
    level: "info",
    text:
      "an HTTP connection is closed after its pending responses, since it pipelined more requests than allowed or than there is memory for",
    action: "Look for a client that sends requests without reading responses.",
  },
  responseUnwritable: {
    code: 1815,
    level: "error",
    text:
      "a response could not be written because of its status or a header; its caller got a 502 instead",
    action: "Report the reason, and the upstream of the call (1506).",
  },
  acceptFailed: {
    code: 1816,
    level: "warn",
    text: "an HTTP connection could not be accepted",
    action: "Check the memory and the open files of the VM.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;

/** Events 1830 to 1839: the memory of the process. All have the same fields. */
export const MEMORY_EVENTS = {
  changed: {
    code: 1830,
    level: "info",
    text:
      "the resident memory of this process has crossed half or three quarters of its limit, or grown by a quarter of it",
    action:
      "None. If it continues, compare the sizes in the event with those of the last one.",
  },
  fallen: {
    code: 1831,
    level: "info",
    text: "the resident memory of this process has fallen again",
    action: "None.",
  },
  nearLimit: {
    code: 1832,
    level: "warn",
    text:
      "the resident memory of this process has reached nine tenths of its limit, at which the process is ended",
    action:
      "Find the largest of the sizes in the event (docs/OPERATIONS.md, Memory). Raise the limit, or reduce the load, before the process ends.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
