/**
 * What a replica stores: its hard state, log and snapshot.
 *
 * @module
 */
import { type Bytes, fail, type Milliseconds } from "#core";
import { StorageError } from "./data_folder.ts";
import type { EntryPosition, LogEntry } from "./entries.ts";
import type { IndexedVoterChange } from "./voters.ts";

/** Raft hard state of a replica: term, vote, group and committed voter change. */
export interface HardState {
  readonly term: number;
  /** Replica that this one voted for in the term, or null if it has not voted. */
  readonly votedFor: string | null;
  /** Group that this replica belongs to, or null before it joins one. */
  readonly group: string | null;
  /** Index of the latest voter change known to be committed. */
  readonly committedSeatsIndex: number;
}

/** Hard state of a new replica. */
export const INITIAL_HARD_STATE: HardState = {
  term: 0,
  votedFor: null,
  group: null,
  committedSeatsIndex: 0,
};

/** Position, time and voters at the last entry that a snapshot includes. */
export interface SnapshotMeta extends EntryPosition {
  readonly atMs: Milliseconds;
  readonly seats: IndexedVoterChange;
}

/** Format of a snapshot that is one value with the states of all state machines; still read. */
export const SINGLE_VALUE_FORMAT = 1;
/** Format of a snapshot that is a sequence of records, each with a part of the state of a state machine. */
export const PARTS_FORMAT = 2;

/** Describes a stored snapshot: its metadata, and the size and hash of what a transfer sends of it. */
export interface SnapshotDescriptor {
  readonly meta: SnapshotMeta;
  readonly bytes: Bytes;
  readonly hash: string;
  /** `SINGLE_VALUE_FORMAT` or `PARTS_FORMAT`. */
  readonly format: number;
}

/** Changes that become durable together with one sync. */
export interface DurableBatch {
  readonly hard: HardState | null;
  readonly entries: readonly LogEntry[];
}

/** Hard state and entries of a log, with the position that precedes the entries. */
export interface LogContents {
  readonly hard: HardState;
  /** Position immediately before the first entry. */
  readonly base: EntryPosition;
  readonly entries: readonly LogEntry[];
}

/** State read from the data folder at startup. */
export interface RecoveredState extends LogContents {
  readonly identity: string;
  /** Whether the folder contained no log, so that the identity was newly generated. */
  readonly isNew: boolean;
  /** The stored snapshot, if there is one. */
  readonly snapshot: SnapshotDescriptor | null;
}

/** Creates the error for stored data that is damaged. */
export function corruptionError(message: string): StorageError {
  return new StorageError(fail("storage_corrupt", message));
}
