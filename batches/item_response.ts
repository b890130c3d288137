/**
 * What the head of an engine's response to an item means. The platform names two statuses that say something of the item
 * itself: after any other response without a text the item is run again, and nothing counts against it.
 *
 * | response                               | outcome         | counts                 |
 * | -------------------------------------- | --------------- | ---------------------- |
 * | the engine states that it did not run  | `refused`       | no                     |
 * | it names another request               | `broken`        | no                     |
 * | status 422                             | `impossible`    | gives the item up      |
 * | status 500                             | `failed`        | as one failed attempt  |
 * | any other status but 200               | `error`         | no                     |
 * | status 200 without stamp or version    | `broken`        | no                     |
 * | status 200 with a version not allowed  | `wrong_version` | no                     |
 *
 * @module
 */
import type { ResponseMetadata } from "#requests";
import type { RunOutcome } from "./item_run.ts";

const OK_STATUS = 200;
const UNPROCESSABLE_STATUS = 422;
const FAILED_STATUS = 500;

/** A response that brings no text, and whether its connection can't be used any more. */
export interface RejectedHead {
  readonly outcome: RunOutcome;
  readonly mustClose: boolean;
}

/** Returns the outcome of a run whose response has no text, or undefined if a text follows. */
export function rejectHead(
  status: number,
  metadata: ResponseMetadata,
  expected: {
    readonly requestId: string;
    /** Returns whether a version may generate the next event. */
    readonly allowsVersion: (version: number) => boolean;
  },
): RejectedHead | undefined {
  const { notRun, requestId, stamp, version } = metadata;
  if (notRun) {
    return keepConnection({ kind: "refused", reason: `status ${status}` });
  }
  if (requestId !== expected.requestId) {
    return broken(`the response is for request ${requestId}`);
  }
  if (status === UNPROCESSABLE_STATUS) {
    return keepConnection({ kind: "impossible" });
  }
  if (status === FAILED_STATUS) {
    return keepConnection({ kind: "failed", status });
  }
  if (status !== OK_STATUS) return keepConnection({ kind: "error", status });
  if (stamp === null) return broken("the response has no stamp");
  if (version === null) return broken("the response has no weight version");
  if (expected.allowsVersion(version)) return undefined;
  return { outcome: { kind: "wrong_version", version }, mustClose: true };
}

function keepConnection(outcome: RunOutcome): RejectedHead {
  return { outcome, mustClose: false };
}

function broken(reason: string): RejectedHead {
  return { outcome: { kind: "broken", reason }, mustClose: true };
}
