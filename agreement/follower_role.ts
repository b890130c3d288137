/**
 * Follower role of a replica: handles the entries and snapshot chunks of the leader.
 *
 * @module
 */
import type { Bytes, Milliseconds } from "#core";
import type { LogEntry } from "./entries.ts";
import { type MessageOf, unpackEntry } from "./messages.ts";
import type { ReplicaState } from "./replica_state.ts";
import { PARTS_FORMAT } from "./stored_state.ts";

/** Received snapshot chunk that has yet to be written to the disk. */
export interface ReceivedChunk {
  readonly vm: string;
  readonly chunk: MessageOf<"chunk">;
}

/** Appends the leader's entries and acknowledges them once they are on the disk. */
export class FollowerRole {
  readonly #state: ReplicaState;
  /** Highest index up to which the log is known to equal that of the leader of `#verifiedTerm`. */
  #verifiedIndex = 0;
  #verifiedTerm = 0;
  #acknowledgedIndex = 0;
  #lastAppendSentMs: Milliseconds = 0;
  /** Commit index in the first append received since the start; null until then. */
  #catchUpIndex: number | null = null;
  /** Only the newest chunk waits for the disk: the leader sends a dropped one again. */
  #chunk: ReceivedChunk | undefined;

  constructor(state: ReplicaState) {
    this.#state = state;
  }

  /** Index that must be applied before the replica counts as caught up; null while it is unknown. */
  get catchUpIndex(): number | null {
    return this.#catchUpIndex;
  }

  /** Handles entries or a heartbeat of the leader. */
  handleAppend(
    vm: string,
    message: MessageOf<"append">,
    nowMs: Milliseconds,
  ): void {
    const state = this.#state;
    if (message.term < state.term) {
      this.#reply({ vm, message }, { matched: false, index: 0 });
      return;
    }
    this.#recordLeader(vm, message, nowMs);
    const { previousIndex, previousTerm } = message;
    const localTerm = previousIndex <= state.log.base.index
      ? previousTerm
      : state.log.termAt(previousIndex);
    if (localTerm !== previousTerm) {
      const index = this.#conflictHint(previousIndex);
      this.#reply({ vm, message }, { matched: false, index });
      return;
    }
    const received = state.isCommittedLogFull ? [] : message.entries;
    const entries = this.#missingEntries(received.map(unpackEntry));
    state.append(entries);
    const verified = previousIndex + received.length;
    this.#verifiedIndex = Math.max(this.#verifiedIndex, verified);
    state.commit(Math.min(message.committedIndex, this.#verifiedIndex));
    this.#lastAppendSentMs = message.sentMs;
    if (entries.length === 0) this.#acknowledge(vm, message.from);
  }

  /** Stores a snapshot chunk until it is written. */
  handleChunk(
    vm: string,
    chunk: MessageOf<"chunk">,
    nowMs: Milliseconds,
  ): void {
    if (chunk.term < this.#state.term) return;
    this.#recordLeader(vm, chunk, nowMs);
    this.#chunk = { vm, chunk };
  }

  /** Removes and returns the next snapshot chunk to write. */
  nextChunk(): ReceivedChunk | undefined {
    const chunk = this.#chunk;
    this.#chunk = undefined;
    return chunk;
  }

  /** Reports to the leader how much of a snapshot is on the disk. */
  replyToChunk(received: ReceivedChunk, storedBytes: Bytes): void {
    const { vm, chunk } = received;
    if (chunk.term !== this.#state.term) return;
    const reply = this.#state.message("chunkReply", {
      to: chunk.from,
      index: chunk.index,
      hash: chunk.hash,
      offset: storedBytes,
      sentMs: chunk.sentMs,
    });
    this.#state.sendAfterSync(vm, reply);
  }

  /** Records the sender as leader of its term, and restarts the election timer. */
  #recordLeader(
    vm: string,
    message: MessageOf<"append"> | MessageOf<"chunk">,
    nowMs: Milliseconds,
  ): void {
    const state = this.#state;
    state.becomeFollower(message.term, { replica: message.from, vm });
    state.lastLeaderContactMs = nowMs;
    state.resetElectionTimer(nowMs);
    if (this.#verifiedTerm !== message.term) {
      this.#verifiedTerm = message.term;
      this.#verifiedIndex = 0;
      this.#acknowledgedIndex = 0;
    }
    if (message.kind === "append") {
      this.#catchUpIndex ??= message.committedIndex;
    }
  }

  /** Acknowledges entries that have become durable. */
  acknowledgeDurable(): void {
    const { role, leader, term } = this.#state;
    if (leader === null || role === "leader") return;
    if (this.#verifiedTerm !== term) return;
    const durable = Math.min(this.#verifiedIndex, this.#state.durableIndex);
    if (durable <= this.#acknowledgedIndex) return;
    this.#acknowledge(leader.vm, leader.replica);
  }

  #acknowledge(vm: string, leader: string): void {
    const state = this.#state;
    const index = Math.min(this.#verifiedIndex, state.durableIndex);
    this.#acknowledgedIndex = index;
    const reply = state.message("appendReply", {
      to: leader,
      matched: true,
      index,
      committedIndex: state.committedIndex,
      sentMs: this.#lastAppendSentMs,
      snapshotFormat: PARTS_FORMAT,
    });
    state.sendAfterSync(vm, reply);
  }

  #reply(
    source: { readonly vm: string; readonly message: MessageOf<"append"> },
    result: { readonly matched: boolean; readonly index: number },
  ): void {
    const state = this.#state;
    const reply = state.message("appendReply", {
      to: source.message.from,
      ...result,
      committedIndex: state.committedIndex,
      sentMs: source.message.sentMs,
      snapshotFormat: PARTS_FORMAT,
    });
    state.sendAfterSync(source.vm, reply);
  }

  /** Returns the index at which the leader should look for the last matching entry next. */
  #conflictHint(previousIndex: number): number {
    const { log, committedIndex } = this.#state;
    if (previousIndex > log.lastIndex) return log.lastIndex;
    const term = log.termAt(previousIndex);
    let index = previousIndex - 1;
    while (index > committedIndex && log.termAt(index) === term) index -= 1;
    return Math.max(index, committedIndex);
  }

  #missingEntries(entries: readonly LogEntry[]): readonly LogEntry[] {
    const { log } = this.#state;
    const first = entries.findIndex((entry) =>
      entry.index > log.base.index && log.termAt(entry.index) !== entry.term
    );
    return first === -1 ? [] : entries.slice(first);
  }
}
