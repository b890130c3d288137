/**
 * One replica's decisions, without input or output: it is fed with messages, time and syncs, and gives
 * messages to send, batches to sync and an index up to which entries are committed.
 *
 * @module
 */
import type { Bytes, Milliseconds } from "#core";
import { match } from "ts-pattern";
import { Election } from "./election.ts";
import type { EntryKind, EntryPosition, LogEntry } from "./entries.ts";
import { FollowerRole, type ReceivedChunk } from "./follower_role.ts";
import { Formation } from "./formation.ts";
import {
  type Instant,
  LeaderRole,
  type ReplicaProgress,
} from "./leader_role.ts";
import type { Message, MessageOf } from "./messages.ts";
import {
  type OutgoingMessage,
  ReplicaState,
  type ReplicaStateOptions,
  type SyncBatch,
} from "./replica_state.ts";
import { VoterManager, type VoterReport } from "./voter_manager.ts";

const HELLO_INTERVAL_MS: Milliseconds = 500;

/** What a replica is built from. */
export interface ReplicaOptions extends ReplicaStateOptions {
  /** VMs of an explicit first start. */
  readonly initialVoters: readonly string[] | undefined;
  /** Control VMs that should have seats. */
  readonly peers: () => readonly string[];
  readonly report: (report: VoterReport) => void;
}

/** A replica as its driver sees it. */
export class Replica {
  readonly state: ReplicaState;
  readonly #options: ReplicaOptions;
  readonly #election: Election;
  readonly #followerRole: FollowerRole;
  readonly #formation: Formation | undefined;
  #leaderRole: LeaderRole | undefined;
  #voterManager: VoterManager | undefined;
  #nextHelloMs: Milliseconds;

  constructor(options: ReplicaOptions) {
    this.#options = options;
    this.state = new ReplicaState(options);
    this.#election = new Election(this.state);
    this.#followerRole = new FollowerRole(this.state);
    this.#nextHelloMs = options.nowMs;
    if (options.initialVoters === undefined) return;
    this.#formation = new Formation(this.state, options.initialVoters);
  }

  /** The leader's part, while this replica leads. */
  get leaderRole(): LeaderRole | undefined {
    return this.state.role === "leader" ? this.#leaderRole : undefined;
  }

  /** Commit index to apply before this replica counts as caught up; null if it isn't known. */
  get catchUpIndex(): number | null {
    const leadership = this.leaderRole;
    if (leadership !== undefined) return leadership.barrierIndex;
    return this.#followerRole.catchUpIndex;
  }

  /** Whether this replica has a seat that is known to be committed. */
  get isCommittedVoter(): boolean {
    const { index, change } = this.state.voterHistory.newest;
    if (index > this.state.committedIndex) return false;
    const { identity } = this.state;
    return change.after.some((seat) => seat.replica === identity);
  }

  /** When `tick` has to be called next. */
  nextTickMs(): Milliseconds {
    const leadership = this.leaderRole;
    if (leadership !== undefined) return leadership.nextTickMs;
    const { role, electionDueMs } = this.state;
    if (role === "learner") return this.#nextHelloMs;
    if (role === "follower") return electionDueMs;
    return Math.min(electionDueMs, this.#nextHelloMs);
  }

  /** Whether it leads under a lease, or has heard a leader within the time of an election. */
  hasLeaderContact(nowMs: Milliseconds): boolean {
    if (this.leaderRole !== undefined) return this.leaseUntilMs(nowMs) > nowMs;
    const { leader, lastLeaderContactMs: leaderHeardMs, timing } = this.state;
    const electionMs = timing.electionMinimumMs + timing.electionSpreadMs;
    return leader !== null && nowMs < leaderHeardMs + electionMs;
  }

  /** Does what is due. */
  tick(instant: Instant): void {
    const leadership = this.leaderRole;
    if (leadership !== undefined) {
      if (leadership.tick(instant.nowMs)) this.#tickVoterManager(instant);
      else this.#stepDown();
      return;
    }
    if (this.state.role !== "follower") this.#sendHellos(instant);
    if (this.state.role === "learner") return;
    if (this.#election.tick(instant.nowMs)) this.#becomeLeader(instant);
  }

  /** Takes a message from a VM. */
  receive(vm: string, message: Message, instant: Instant): void {
    const state = this.state;
    if (message.to !== null && message.to !== state.identity) return;
    if (message.kind === "hello") {
      this.#handleHello(vm, message, instant);
      return;
    }
    if (!this.#acceptsGroup(message)) return;
    const won = match(message)
      .with({ kind: "vote" }, (vote) => {
        this.#election.handleVoteRequest(vm, vote, instant.nowMs);
        return false;
      })
      .with(
        { kind: "voteReply" },
        (reply) => this.#election.handleVoteReply(reply),
      )
      .with({ kind: "append" }, (append) => {
        this.#followerRole.handleAppend(vm, append, instant.nowMs);
        return false;
      })
      .with({ kind: "appendReply" }, (reply) => {
        this.#handleAppendReply(reply, instant);
        return false;
      })
      .with(
        { kind: "handover" },
        (handover) => this.#election.handleHandover(handover, instant.nowMs),
      )
      .with({ kind: "chunk" }, (chunk) => {
        this.#followerRole.handleChunk(vm, chunk, instant.nowMs);
        return false;
      })
      .with({ kind: "chunkReply" }, (reply) => {
        if (reply.term === state.term) {
          this.leaderRole?.handleChunkReply(reply, instant.nowMs);
        }
        return false;
      })
      .exhaustive();
    if (won) this.#becomeLeader(instant);
  }

  /** Adds an entry if this replica leads. */
  appendEntry(
    kind: EntryKind,
    body: Uint8Array,
    instant: Instant,
  ): EntryPosition | undefined {
    return this.leaderRole?.appendEntry(kind, body, instant);
  }

  /** Until when this replica may act as leader; 0 if it may not. */
  leaseUntilMs(nowMs: Milliseconds): Milliseconds {
    const leadership = this.leaderRole;
    if (leadership === undefined) return 0;
    const untilMs = leadership.leaseUntilMs(nowMs);
    return untilMs > nowMs ? untilMs : 0;
  }

  /** Gives leadership up and asks the replica that has most of the log to lead; false if none can. */
  transferLeadership(nowMs: Milliseconds): boolean {
    const { state } = this;
    const best = this.#successor(nowMs);
    if (best === undefined) return false;
    const { replica, vm } = best.voter;
    this.#stepDown();
    state.send(vm, state.message("handover", { to: replica }));
    return true;
  }

  /** The next part of a snapshot to write to the disk. */
  nextChunk(): ReceivedChunk | undefined {
    return this.#followerRole.nextChunk();
  }

  /** Tells the leader how much of a snapshot is on the disk. */
  replyToChunk(received: ReceivedChunk, heldBytes: Bytes): void {
    this.#followerRole.replyToChunk(received, heldBytes);
  }

  /** Messages that may leave now. */
  drainReadyMessages(): readonly OutgoingMessage[] {
    return this.state.drainReadyMessages();
  }

  /** The next batch to sync, if anything changed; followers get the entries meanwhile. */
  nextSyncBatch(nowMs: Milliseconds): SyncBatch | undefined {
    if (!this.state.hasUnsynced()) return undefined;
    this.leaderRole?.replicate(nowMs);
    return this.state.nextSyncBatch();
  }

  /** Takes note that a batch is on the disk. */
  markSynced(taken: SyncBatch): void {
    this.state.markSynced(taken);
    this.leaderRole?.advanceCommitIndex();
    this.#followerRole.acknowledgeDurable();
  }

  /** The committed entry at an index. */
  committedEntry(index: number): LogEntry | undefined {
    if (index > this.state.committedIndex) return undefined;
    return this.state.log.get(index);
  }

  #becomeLeader(instant: Instant): void {
    const state = this.state;
    const last = state.log.get(state.log.lastIndex);
    this.#leaderRole = new LeaderRole(state, {
      instant,
      lastAtMs: last?.atMs ?? state.snapshot?.meta.atMs ?? 0,
    });
    this.#voterManager = new VoterManager(state, {
      leadership: this.#leaderRole,
      peers: this.#options.peers,
      report: this.#options.report,
    });
    this.#leaderRole.tick(instant.nowMs);
  }

  #handleAppendReply(
    message: MessageOf<"appendReply">,
    instant: Instant,
  ): void {
    const state = this.state;
    if (message.term > state.term) {
      state.becomeFollower(message.term, null);
      return;
    }
    if (message.term < state.term) return;
    this.leaderRole?.handleAppendReply(message, instant.nowMs);
  }

  #stepDown(): void {
    this.#leaderRole = undefined;
    this.state.becomeFollower(this.state.term, null);
  }

  #successor(nowMs: Milliseconds): ReplicaProgress | undefined {
    const { state } = this;
    let best: ReplicaProgress | undefined;
    for (const progress of this.leaderRole?.progress() ?? []) {
      if (!state.quorum().isVoter(progress.voter.replica)) continue;
      if (nowMs > progress.lastContactMs + state.timing.leaseMs) continue;
      if (best === undefined || progress.matchIndex > best.matchIndex) {
        best = progress;
      }
    }
    return best;
  }

  #tickVoterManager(instant: Instant): void {
    if (this.#voterManager?.tick(instant) !== "handover") return;
    this.transferLeadership(instant.nowMs);
  }

  /** A candidate says it too: the entry that gave it a seat may have been replaced by another. */
  #sendHellos(instant: Instant): void {
    if (instant.nowMs < this.#nextHelloMs) return;
    this.#nextHelloMs = instant.nowMs + HELLO_INTERVAL_MS;
    this.#formation?.requestIdentities();
    this.#tryForm(instant);
    if (this.#formation?.isCoordinator() === true) return;
    const { state } = this;
    for (const vm of this.#options.peers()) {
      if (vm === state.vm) continue;
      this.#sendHello(vm);
    }
  }

  #sendHello(vm: string): void {
    const fields = { to: null, formed: false, leader: null };
    this.state.send(vm, this.state.message("hello", fields));
  }

  #handleHello(
    vm: string,
    message: MessageOf<"hello">,
    instant: Instant,
  ): void {
    const state = this.state;
    if (message.to === null && vm !== state.vm) {
      const formed = state.group !== null;
      const leader = state.leader?.vm ?? null;
      const fields = { to: message.from, formed, leader };
      const answer = state.message("hello", fields);
      state.sendAfterSync(vm, answer);
      const joining = message.group === null || message.group === state.group;
      if (this.leaderRole !== undefined && joining) {
        this.#voterManager?.handleHello(vm, message, instant.nowMs);
      }
      return;
    }
    this.#formation?.handleHelloReply(vm, message);
    this.#greetLeader(vm, message);
    this.#tryForm(instant);
  }

  /** The leader may be a VM that is no longer named as a control VM. */
  #greetLeader(vm: string, message: MessageOf<"hello">): void {
    const { leader } = message;
    if (leader === null || leader === vm || leader === this.state.vm) return;
    if (this.state.role === "learner") this.#sendHello(leader);
  }

  #tryForm(instant: Instant): void {
    if (this.#formation?.tryForm(instant) !== true) return;
    if (this.#election.tick(instant.nowMs)) this.#becomeLeader(instant);
  }

  #acceptsGroup(message: Message): boolean {
    const state = this.state;
    if (message.group === null) return false;
    if (message.group === state.group) return true;
    if (state.group !== null) return false;
    const trial = message.kind === "vote" && message.trial;
    if (!trial) state.updateHardState({ group: message.group });
    return true;
  }
}
