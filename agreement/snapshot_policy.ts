/**
 * When snapshots are written, and how much of the log remains in memory.
 *
 * @module
 */
import { type Bytes, MEBIBYTE, type Milliseconds } from "#core";
import { DEFAULT_WRITE_BYTES } from "./log_storage.ts";

/** When snapshots are written, and how much of the log remains in memory and on the disk. */
export interface SnapshotPolicy {
  /** Number of entries after which a snapshot is written. */
  readonly entries: number;
  /** Size of the entries after which a snapshot is written. */
  readonly bytes: Bytes;
  /** Number of entries retained before the snapshot, so that replicas that lag slightly need no snapshot. */
  readonly retainedEntries: number;
  /** Size of the entries retained before the snapshot. */
  readonly retainedBytes: Bytes;
  /** Size of the log above which a leader rejects commands, since no snapshot can be written. */
  readonly maximumBytes: Bytes;
  /** Time under one leader before which a snapshot is written only if half as much again is due. */
  readonly settleMs: Milliseconds;
  /** Approximate size of each write of a snapshot and of a rewritten log. */
  readonly writeBytes: Bytes;
}

/** Default policy. */
export const DEFAULT_SNAPSHOT_POLICY: SnapshotPolicy = {
  entries: 8_192,
  bytes: 8 * MEBIBYTE,
  retainedEntries: 1_024,
  retainedBytes: 4 * MEBIBYTE,
  maximumBytes: 48 * MEBIBYTE,
  settleMs: 4_000,
  writeBytes: DEFAULT_WRITE_BYTES,
};
