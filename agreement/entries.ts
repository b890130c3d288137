/**
 * Entries of the replicated log, and the voters of its group.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import { decodeValue, encodeValue } from "#wire";

/** Voting member of the group: the identity of a replica (one data folder) and the VM that runs it. */
export interface Voter {
  readonly replica: string;
  readonly vm: string;
}

/**
 * Membership change of the group. Until its entry is known to be committed, a quorum requires a majority
 * of both lists; afterwards only a majority of `after`.
 */
export interface VoterChange {
  readonly before: readonly Voter[];
  readonly after: readonly Voter[];
}

/** Kind of an entry: a state machine command, an empty entry (`barrier`) or a voter change (`seats`). */
export type EntryKind = "command" | "barrier" | "seats";

/** Entry of the replicated log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  /** Wall-clock time of the leader; never decreases from one entry to the next. */
  readonly atMs: Milliseconds;
  readonly kind: EntryKind;
  /** CBOR encoding of a `MachineCommand` or a `VoterChange`; empty for a barrier. */
  readonly body: Uint8Array;
}

/** Position of an entry: its log index and term. */
export interface EntryPosition {
  readonly index: number;
  readonly term: number;
}

/** Encodes the body of a voter change entry. */
export function encodeVoterChange(change: VoterChange): Uint8Array {
  return encodeValue(change);
}

/** Decodes the body of a voter change entry. */
export function decodeVoterChange(body: Uint8Array): VoterChange {
  return decodeValue(body) as VoterChange;
}
