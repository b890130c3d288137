/**
 * One replica's decisions, without input or output: it is fed with messages, time and syncs, and gives
 * messages to send, batches to sync and an index up to which entries are committed.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import { match } from "ts-pattern";
import { Elector } from "./election.ts";
import type { EntryKind, EntryPosition, LogEntry } from "./entries.ts";
import { Following } from "./following.ts";
import { Formation } from "./formation.ts";
import { type Instant, Leadership } from "./leadership.ts";
import type { Message, MessageOf } from "./messages.ts";
import {
  type Outgoing,
  type ReplicaOptions,
  ReplicaState,
  type TakenBatch,
} from "./replica_state.ts";

const HELLO_PERIOD_MS: Milliseconds = 250;

/** A replica as its driver sees it. */
export class Replica {
  readonly state: ReplicaState;
  readonly #elector: Elector;
  readonly #following: Following;
  readonly #formation: Formation | undefined;
  readonly #lastAtMs: Milliseconds;
  #leadership: Leadership | undefined;
  #helloDueMs: Milliseconds;

  constructor(
    options: ReplicaOptions & {
      /** VMs of an explicit first start. */
      readonly firstVoters: readonly string[] | undefined;
    },
  ) {
    this.state = new ReplicaState(options);
    this.#elector = new Elector(this.state);
    this.#following = new Following(this.state);
    this.#lastAtMs = options.recovered.snapshot?.meta.atMs ?? 0;
    this.#helloDueMs = options.nowMs;
    if (options.firstVoters === undefined) return;
    this.#formation = new Formation(this.state, options.firstVoters);
  }

  /** The leader's part, while this replica leads. */
  get leadership(): Leadership | undefined {
    return this.state.role === "leader" ? this.#leadership : undefined;
  }

  /** Commit index to apply before this replica counts as caught up; null if it isn't known. */
  get startGoal(): number | null {
    const leadership = this.leadership;
    if (leadership !== undefined) return leadership.barrierIndex;
    return this.#following.startGoal;
  }

  /** When `tick` has to be called next. */
  dueMs(): Milliseconds {
    const leadership = this.leadership;
    if (leadership !== undefined) return leadership.dueMs;
    if (this.state.group === null) return this.#helloDueMs;
    return this.state.electionDueMs;
  }

  /** Does what is due. */
  tick(instant: Instant): void {
    const leadership = this.leadership;
    if (leadership !== undefined) {
      if (!leadership.tick(instant.nowMs)) this.resign();
      return;
    }
    if (this.state.group === null) {
      this.#sayHello(instant);
      return;
    }
    if (this.#elector.tick(instant.nowMs)) this.#lead(instant);
  }

  /** Takes a message from a VM. */
  receive(vm: string, message: Message, instant: Instant): void {
    const state = this.state;
    if (message.to !== null && message.to !== state.identity) return;
    if (message.kind === "hello") {
      this.#takeHello(vm, message, instant);
      return;
    }
    if (!this.#sameGroup(message)) return;
    const won = match(message)
      .with({ kind: "vote" }, (vote) => {
        this.#elector.takeVote(vm, vote, instant.nowMs);
        return false;
      })
      .with({ kind: "voteReply" }, (reply) => this.#elector.takeReply(reply))
      .with({ kind: "append" }, (append) => {
        this.#following.takeAppend(vm, append, instant.nowMs);
        return false;
      })
      .with({ kind: "appendReply" }, (reply) => {
        this.#takeAppendReply(reply, instant);
        return false;
      })
      .with(
        { kind: "handover" },
        (handover) => this.#elector.takeHandover(handover, instant.nowMs),
      )
      .with({ kind: "chunk" }, { kind: "chunkReply" }, () => false)
      .exhaustive();
    if (won) this.#lead(instant);
  }

  /** Adds an entry if this replica leads. */
  add(
    kind: EntryKind,
    body: Uint8Array,
    instant: Instant,
  ): EntryPosition | undefined {
    return this.leadership?.add(kind, body, instant);
  }

  /** Until when this replica may act as leader; 0 if it may not. */
  leaseUntilMs(nowMs: Milliseconds): Milliseconds {
    const leadership = this.leadership;
    if (leadership === undefined) return 0;
    const untilMs = leadership.leaseUntilMs(nowMs);
    return untilMs > nowMs ? untilMs : 0;
  }

  /** Gives leadership up. */
  resign(): void {
    this.#leadership = undefined;
    this.state.follow(this.state.term, null);
  }

  /** Messages that may leave now. */
  takeReady(): readonly Outgoing[] {
    return this.state.takeReady();
  }

  /** The next batch to sync, if anything changed; followers get the entries meanwhile. */
  takeBatch(nowMs: Milliseconds): TakenBatch | undefined {
    if (!this.state.hasPending()) return undefined;
    this.leadership?.replicate(nowMs);
    return this.state.takeBatch();
  }

  /** Takes note that a batch is on the disk. */
  synced(taken: TakenBatch): void {
    this.state.synced(taken);
    this.leadership?.advance();
    this.#following.synced();
  }

  /** The committed entry at an index. */
  committedEntry(index: number): LogEntry | undefined {
    if (index > this.state.committedIndex) return undefined;
    return this.state.log.get(index);
  }

  #lead(instant: Instant): void {
    const state = this.state;
    const last = state.log.get(state.log.lastIndex);
    this.#leadership = new Leadership(state, {
      instant,
      lastAtMs: last?.atMs ?? this.#lastAtMs,
      snapshotNeeded: () => {},
    });
    this.#leadership.tick(instant.nowMs);
  }

  #takeAppendReply(
    message: MessageOf<"appendReply">,
    instant: Instant,
  ): void {
    const state = this.state;
    if (message.term > state.term) {
      state.follow(message.term, null);
      return;
    }
    if (message.term < state.term) return;
    this.leadership?.takeReply(message, instant.nowMs);
  }

  #sayHello(instant: Instant): void {
    if (instant.nowMs < this.#helloDueMs) return;
    this.#helloDueMs = instant.nowMs + HELLO_PERIOD_MS;
    this.#formation?.ask();
    this.#tryForm(instant);
  }

  #takeHello(vm: string, message: MessageOf<"hello">, instant: Instant): void {
    const state = this.state;
    if (message.to === null && vm !== state.vm) {
      const formed = state.group !== null;
      const answer = state.message("hello", { to: message.from, formed });
      state.sendOnceDurable(vm, answer);
      return;
    }
    this.#formation?.takeAnswer(vm, message);
    this.#tryForm(instant);
  }

  #tryForm(instant: Instant): void {
    if (this.#formation?.tryForm(instant) !== true) return;
    if (this.#elector.tick(instant.nowMs)) this.#lead(instant);
  }

  #sameGroup(message: Message): boolean {
    const state = this.state;
    if (message.group === null) return false;
    if (message.group === state.group) return true;
    if (state.group !== null) return false;
    const trial = message.kind === "vote" && message.trial;
    if (!trial) state.setHard({ group: message.group });
    return true;
  }
}
