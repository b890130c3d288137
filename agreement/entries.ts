/**
 * Entries of the replicated log and the seats of its voters.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import { decodeValue, encodeValue } from "#wire";

/** A voter: a replica, which is one data folder, and the VM that runs it. */
export interface Voter {
  readonly replica: string;
  readonly vm: string;
}

/**
 * A change of the voters. Until its entry is known to be committed, decisions need a majority of both
 * lists; afterwards of `after` only.
 */
export interface VoterChange {
  readonly before: readonly Voter[];
  readonly after: readonly Voter[];
}

/** What an entry holds: a command for a machine, nothing, or a change of the voters. */
export type EntryKind = "command" | "barrier" | "seats";

/** One entry of the log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  /** Wall clock of the leader; never steps back from entry to entry. */
  readonly atMs: Milliseconds;
  readonly kind: EntryKind;
  /** CBOR of a `MachineCommand` or a `SeatsChange`; empty in a barrier. */
  readonly body: Uint8Array;
}

/** Place of an entry in the log. */
export interface EntryPosition {
  readonly index: number;
  readonly term: number;
}

/** Encodes the body of a seats entry. */
export function encodeVoterChange(change: VoterChange): Uint8Array {
  return encodeValue(change);
}

/** Decodes the body of a seats entry. */
export function decodeVoterChange(body: Uint8Array): VoterChange {
  return decodeValue(body) as VoterChange;
}
