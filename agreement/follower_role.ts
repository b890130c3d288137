/**
 * What a replica does with the entries of its leader.
 *
 * @module
 */
import type { Bytes, Milliseconds } from "#core";
import type { LogEntry } from "./entries.ts";
import { type MessageOf, unpackEntry } from "./messages.ts";
import type { ReplicaState } from "./replica_state.ts";

/** A part of a snapshot that has to be written to the disk. */
export interface ReceivedChunk {
  readonly vm: string;
  readonly chunk: MessageOf<"chunk">;
}

/** Takes entries and acknowledges them once they are on the disk. */
export class FollowerRole {
  readonly #state: ReplicaState;
  /** Last index known to equal the leader's log, in the current term. */
  #verifiedIndex = 0;
  #verifiedTerm = 0;
  #acknowledgedIndex = 0;
  #lastAppendSentMs: Milliseconds = 0;
  /** Commit index of the first leader heard; null until then. */
  #catchUpIndex: number | null = null;
  #chunks: ReceivedChunk[] = [];

  constructor(state: ReplicaState) {
    this.#state = state;
  }

  /** Commit index that a replica has to apply before it counts as caught up. */
  get catchUpIndex(): number | null {
    return this.#catchUpIndex;
  }

  /** Takes entries, or a renewal of the lease. */
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
    const held = previousIndex <= state.log.base.index
      ? previousTerm
      : state.log.termAt(previousIndex);
    if (held !== previousTerm) {
      const index = this.#conflictHint(previousIndex);
      this.#reply({ vm, message }, { matched: false, index });
      return;
    }
    const entries = this.#withoutKnown(message.entries.map(unpackEntry));
    state.append(entries);
    const verified = previousIndex + message.entries.length;
    this.#verifiedIndex = Math.max(this.#verifiedIndex, verified);
    state.commit(Math.min(message.committedIndex, this.#verifiedIndex));
    this.#lastAppendSentMs = message.sentMs;
    if (entries.length === 0) this.#acknowledge(vm, message.from);
  }

  /** Takes part of a snapshot. */
  handleChunk(
    vm: string,
    chunk: MessageOf<"chunk">,
    nowMs: Milliseconds,
  ): void {
    if (chunk.term < this.#state.term) return;
    this.#recordLeader(vm, chunk, nowMs);
    this.#chunks.push({ vm, chunk });
  }

  /** The next part of a snapshot to write. */
  nextChunk(): ReceivedChunk | undefined {
    return this.#chunks.shift();
  }

  /** Tells the leader how much of a snapshot is on the disk. */
  replyToChunk(received: ReceivedChunk, heldBytes: Bytes): void {
    const { vm, chunk } = received;
    if (chunk.term !== this.#state.term) return;
    const reply = this.#state.message("chunkReply", {
      to: chunk.from,
      index: chunk.index,
      hash: chunk.hash,
      offset: heldBytes,
      sentMs: chunk.sentMs,
    });
    this.#state.sendAfterSync(vm, reply);
  }

  /** Takes note of the leader of a term. */
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

  /** Acknowledges what has become durable. */
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
    });
    state.sendAfterSync(vm, reply);
  }

  #reply(
    source: { readonly vm: string; readonly message: MessageOf<"append"> },
    answer: { readonly matched: boolean; readonly index: number },
  ): void {
    const state = this.#state;
    const reply = state.message("appendReply", {
      to: source.message.from,
      ...answer,
      committedIndex: state.committedIndex,
      sentMs: source.message.sentMs,
    });
    state.sendAfterSync(source.vm, reply);
  }

  /** Where the leader should look for the last equal entry. */
  #conflictHint(previousIndex: number): number {
    const { log, committedIndex } = this.#state;
    if (previousIndex > log.lastIndex) return log.lastIndex;
    const term = log.termAt(previousIndex);
    let index = previousIndex - 1;
    while (index > committedIndex && log.termAt(index) === term) index -= 1;
    return Math.max(index, committedIndex);
  }

  #withoutKnown(entries: readonly LogEntry[]): readonly LogEntry[] {
    const { log } = this.#state;
    const first = entries.findIndex((entry) =>
      entry.index > log.base.index && log.termAt(entry.index) !== entry.term
    );
    return first === -1 ? [] : entries.slice(first);
  }
}
