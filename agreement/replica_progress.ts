/**
 * Replication progress of another replica, as known to the leader.
 *
 * @module
 */
import { type Bytes, MEBIBYTE, type Milliseconds } from "#core";
import type { LogEntry, Voter } from "./entries.ts";

/** Limit of unacknowledged bytes to one replica; no further entries are sent once it is reached. */
const IN_FLIGHT_WINDOW_BYTES: Bytes = MEBIBYTE;
/** Time without progress after which unacknowledged entries count as lost and are sent again. */
const IN_FLIGHT_TIMEOUT_MS: Milliseconds = 1_000;

/** Replication progress of another replica, as known to the leader. */
export interface ReplicaProgress {
  /** Identity and VM of the replica, which is a voter or a learner. */
  readonly member: Voter;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Highest index that the replica has acknowledged as synced. */
  matchIndex: number;
  /** Index at which the replica, when it last rejected entries, told the leader to look for a match; 0 if never. */
  hintIndex: number;
  /** Commit index that the replica last reported. */
  committedIndex: number;
  /** Send time of the newest message that the replica has replied to. */
  lastContactMs: Milliseconds;
  /** When `nextIndex` last moved back after a rejection; rejections of messages sent earlier are stale. */
  lastRewindMs: Milliseconds;
  /** Batches sent but not acknowledged, oldest first. */
  inFlight: readonly InFlightBatch[];
  /** Newest snapshot format that the replica can read; null until it has replied. */
  snapshotFormat: number | null;
  /** When a reply last advanced `matchIndex`. */
  lastAdvanceMs: Milliseconds;
  /** When a batch was last sent while none was in flight. */
  inFlightSinceMs: Milliseconds;
}

/** Entries that were sent in one message. */
export interface InFlightBatch {
  readonly lastIndex: number;
  readonly bytes: Bytes;
}

/** Returns the progress of a replica of which nothing is known. */
export function newProgress(member: Voter, nextIndex: number): ReplicaProgress {
  return {
    member,
    nextIndex,
    matchIndex: 0,
    hintIndex: 0,
    committedIndex: 0,
    lastContactMs: -Infinity,
    lastRewindMs: -Infinity,
    inFlight: [],
    snapshotFormat: null,
    lastAdvanceMs: -Infinity,
    inFlightSinceMs: -Infinity,
  };
}

/** Records a reply to a message that was sent at `sentMs`. */
export function recordContact(
  progress: ReplicaProgress,
  sentMs: Milliseconds,
): void {
  progress.lastContactMs = Math.max(progress.lastContactMs, sentMs);
}

/** Whether no further entries may be sent before some are acknowledged. */
export function isWindowFull(progress: ReplicaProgress): boolean {
  let bytes = 0;
  for (const each of progress.inFlight) bytes += each.bytes;
  return bytes >= IN_FLIGHT_WINDOW_BYTES;
}

/** Records that entries were sent. */
export function recordInFlight(
  progress: ReplicaProgress,
  entries: readonly LogEntry[],
  nowMs: Milliseconds,
): void {
  const last = entries.at(-1);
  if (last === undefined) return;
  if (progress.inFlight.length === 0) progress.inFlightSinceMs = nowMs;
  let bytes = 0;
  for (const entry of entries) bytes += entry.body.length;
  progress.inFlight = [...progress.inFlight, { lastIndex: last.index, bytes }];
}

/** Whether the unacknowledged entries count as lost. */
export function isInFlightLost(
  progress: ReplicaProgress,
  nowMs: Milliseconds,
): boolean {
  if (progress.inFlight.length === 0) return false;
  const { lastAdvanceMs, inFlightSinceMs } = progress;
  const advancedMs = Math.max(lastAdvanceMs, inFlightSinceMs);
  return nowMs >= advancedMs + IN_FLIGHT_TIMEOUT_MS;
}

/**
 * Makes the entries after the last one that the replica has named be sent again. Entries before its hint may be
 * missing from the log, and would lead to a snapshot that the replica doesn't need. If the hint is wrong, the
 * replica rejects the entries and names a lower one.
 */
export function rewindToNamed(progress: ReplicaProgress): void {
  progress.nextIndex = Math.max(progress.matchIndex, progress.hintIndex) + 1;
  progress.inFlight = [];
}
