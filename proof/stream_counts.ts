/**
 * Counts the faults in the streams that callers got. Performs no I/O.
 *
 * @module
 */
import type { StreamRecord } from "./stream_caller.ts";

/** What callers got in a span of time. */
export interface StreamCounts {
  readonly streams: number;
  /** Streams with events of two software versions in one response. */
  readonly joinedWithinResponse: number;
  /** Streams with events of two software versions over the caller's tries, but not in one response. */
  readonly joinedOverTries: number;
  /** Streams with an event that is missing, doubled or out of order. */
  readonly outOfOrder: number;
  /** Streams that brought a first event. */
  readonly begun: number;
  /** Streams that broke off and were requested again, of them those that were complete at last. */
  readonly takenUp: number;
  readonly completedAfterTakeUp: number;
}

/** Counts the faults in what callers got. */
export function countStreams(records: readonly StreamRecord[]): StreamCounts {
  const counts = {
    streams: records.length,
    joinedWithinResponse: 0,
    joinedOverTries: 0,
    outOfOrder: 0,
    begun: 0,
    takenUp: 0,
    completedAfterTakeUp: 0,
  };
  for (const { attempts, isComplete, isInOrder } of records) {
    const isJoinedWithin = attempts.some((each) => each.versions.length > 1);
    const versions = new Set(attempts.flatMap((each) => each.versions));
    if (isJoinedWithin) counts.joinedWithinResponse += 1;
    else if (versions.size > 1) counts.joinedOverTries += 1;
    if (!isInOrder) counts.outOfOrder += 1;
    if (versions.size > 0) counts.begun += 1;
    if (!attempts.some((each) => each.isTakeUp && each.status !== 0)) continue;
    counts.takenUp += 1;
    if (isComplete) counts.completedAfterTakeUp += 1;
  }
  return counts;
}
