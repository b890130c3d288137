/**
 * Log events of request handling.
 *
 * @module
 */
import type { EventDefinition } from "#core";

/** Events 1500 to 1599. */
export const REQUEST_EVENTS = {
  upstreamSuspended: {
    code: 1501,
    level: "warn",
    text: "an upstream is suspended because a call to it failed",
    action: "If this repeats, check the health and the logs of the upstream.",
  },
  foreignResponse: {
    code: 1502,
    level: "warn",
    text: "a response that belongs to another request was discarded",
    action: "Check the upstream: it mixes up its responses.",
  },
  claimUpdateFailed: {
    code: 1503,
    level: "warn",
    text: "the claim of a request with an idempotency key could not be updated",
    action:
      "Check the control VMs; retries with this key get an unknown outcome.",
  },
  malformedDemandReport: {
    code: 1504,
    level: "warn",
    text: "a demand report from another entry VM was malformed",
    action: "Check that both VMs run compatible releases.",
  },
  streamResumed: {
    code: 1505,
    level: "info",
    text: "a stream resumed at another engine",
    action: "None.",
  },
  callFailed: {
    code: 1506,
    level: "info",
    text: "a call got no response from any upstream",
    action: "Read `reason` and `tried`; see docs/OPERATIONS.md.",
  },
  sentToLimited: {
    code: 1507,
    level: "info",
    text: "a call was sent to an upstream that names a limit of requests",
    action:
      "None; `attempt` is 1 for the first upstream of the call, `sentMs` the time since this VM received the call.",
  },
  attemptBroken: {
    code: 1508,
    level: "info",
    text:
      "an attempt that an upstream may have run ended without a complete response",
    action:
      "None for one line. Lines with the same `digest` are calls with the same content: if they name several upstreams that crashed, see docs/OPERATIONS.md.",
  },
  streamTakenUp: {
    code: 1509,
    level: "info",
    text: "a caller takes up a stream that broke off",
    action:
      "None if `outcome` is `goes_on`; else see docs/OPERATIONS.md: `origin` is the attempt that brought the first event, `source` the VM that knew its software version, `ageMs` how long.",
  },
  streamPassedOn: {
    code: 1510,
    level: "info",
    text: "an upstream broke a stream off in the middle of a response",
    action:
      "None if `next` names the upstream that goes on; null: none of `softwareVersion` could, and the caller has to take the stream up.",
  },
  slowStartBegun: {
    code: 1511,
    level: "info",
    text: "an upstream that has started gets its full share of calls in steps",
    action: "None.",
  },
  slowStartSteppedBack: {
    code: 1512,
    level: "info",
    text: "an upstream gets fewer calls because of slow or failed ones",
    action:
      "None for single lines. If they repeat without 1513, check the upstream: `isFailing` is true if its last call failed, false if it was slow.",
  },
  slowStartEnded: {
    code: 1513,
    level: "info",
    text: "an upstream gets its full share of calls again",
    action: "None.",
  },
} as const satisfies Readonly<Record<string, EventDefinition>>;
