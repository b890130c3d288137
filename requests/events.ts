/**
 * Log events of requests.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 1500 to 1599. */
export const REQUEST_EVENTS = {
  upstreamSuspended: {
    code: 1501,
    level: "warn",
    text: "an upstream gets no new work for a while because calls failed",
    action: "Look at the upstream if this repeats.",
  },
  foreignResponse: {
    code: 1502,
    level: "warn",
    text: "an answer that belongs to another request was dropped",
    action: "Look at the upstream: it mixes answers up.",
  },
  claimUpdateFailed: {
    code: 1503,
    level: "warn",
    text: "the answer of a keyed request could not be stored",
    action: "Look at the control VMs; retries of this key are told unknown.",
  },
  malformedDemandReport: {
    code: 1504,
    level: "warn",
    text: "a notice of demand from another entry VM was malformed",
    action: "Check that both VMs run releases that can talk to each other.",
  },
  streamResumed: {
    code: 1505,
    level: "info",
    text: "a stream goes on at another engine",
    action: "None.",
  },
  callFailed: {
    code: 1506,
    level: "info",
    text: "a call got no answer from an upstream",
    action: "Read `reason` and `tried`; see docs/OPERATIONS.md.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
