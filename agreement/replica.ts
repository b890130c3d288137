/**
 * Decision logic of one replica, without input or output. Its inputs are messages, the time and completed
 * syncs; its outputs are messages to send, batches to sync and the commit index.
 *
 * @module
 */
import type { Bytes, Milliseconds } from "#core";
import { match } from "ts-pattern";
import { Election } from "./election.ts";
import type { EntryKind, EntryPosition, LogEntry } from "./entries.ts";
import { FollowerRole, type ReceivedChunk } from "./follower_role.ts";
import { Formation, type InitialGroup } from "./formation.ts";
import { type Instant, LeaderRole } from "./leader_role.ts";
import type { Message, MessageOf } from "./messages.ts";
import type { ReplicaProgress } from "./replica_progress.ts";
import {
  type OutgoingMessage,
  ReplicaState,
  type ReplicaStateOptions,
  type SyncBatch,
} from "./replica_state.ts";
import { VoterManager, type VoterReport } from "./voter_manager.ts";

const HELLO_INTERVAL_MS: Milliseconds = 500;

/** Options of `Replica`. */
export interface ReplicaOptions extends ReplicaStateOptions {
  /** VMs that form a new group on an explicit first start; undefined to join an existing group. */
  readonly initialGroup: InitialGroup | undefined;
  /** Returns the names of the control VMs whose replicas should be voters. */
  readonly peers: () => readonly string[];
  readonly report: (report: VoterReport) => void;
  /** Whether another replica should lead if it can; by default this one may as well. */
  readonly prefersOtherLeader?: () => boolean;
}

/** Replica of the log; its driver performs the input and output. */
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
    this.#election = new Election(
      this.state,
      options.prefersOtherLeader ?? (() => false),
    );
    this.#followerRole = new FollowerRole(this.state);
    this.#nextHelloMs = options.nowMs;
    if (options.initialGroup === undefined) return;
    this.#formation = new Formation(this.state, options.initialGroup);
  }

  /** Leader role, or undefined while this replica is not the leader. */
  get leaderRole(): LeaderRole | undefined {
    return this.state.role === "leader" ? this.#leaderRole : undefined;
  }

  /** Index that must be applied before this replica counts as caught up; null while it is unknown. */
  get catchUpIndex(): number | null {
    const leaderRole = this.leaderRole;
    if (leaderRole !== undefined) return leaderRole.barrierIndex;
    return this.#followerRole.catchUpIndex;
  }

  /** Whether this replica is a voter and the voter change that added it is known to be committed. */
  get isCommittedVoter(): boolean {
    const { index, change } = this.state.voterHistory.newest;
    if (index > this.state.committedIndex) return false;
    const { identity } = this.state;
    return change.after.some((voter) => voter.replica === identity);
  }

  /** Returns the time at which `tick` must be called next. */
  nextTickMs(): Milliseconds {
    const leaderRole = this.leaderRole;
    if (leaderRole !== undefined) return leaderRole.nextTickMs;
    const { role, electionDueMs } = this.state;
    if (role === "learner") return this.#nextHelloMs;
    if (role === "follower") return electionDueMs;
    return Math.min(electionDueMs, this.#nextHelloMs);
  }

  /** Whether this replica holds a valid lease, or received a leader's message within an election timeout. */
  hasLeaderContact(nowMs: Milliseconds): boolean {
    if (this.leaderRole !== undefined) return this.leaseUntilMs(nowMs) > nowMs;
    const { leader, lastLeaderContactMs, timing } = this.state;
    const electionMs = timing.electionMinimumMs + timing.electionSpreadMs;
    return leader !== null && nowMs < lastLeaderContactMs + electionMs;
  }

  /** Runs the timers that are due. */
  tick(instant: Instant): void {
    const leaderRole = this.leaderRole;
    if (leaderRole !== undefined) {
      if (leaderRole.tick(instant.nowMs)) this.#tickVoterManager(instant);
      else this.#stepDown();
      return;
    }
    if (this.state.role !== "follower") this.#sendHellos(instant);
    if (this.state.role === "learner") return;
    if (this.#election.tick(instant.nowMs)) this.#becomeLeader(instant);
  }

  /** Handles a message received from a VM. */
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

  /** Appends an entry if this replica is the leader; returns undefined otherwise. */
  appendEntry(
    kind: EntryKind,
    body: Uint8Array,
    instant: Instant,
  ): EntryPosition | undefined {
    return this.leaderRole?.appendEntry(kind, body, instant);
  }

  /** Returns the end of the time during which this replica may act as leader; 0 if it may not. */
  leaseUntilMs(nowMs: Milliseconds): Milliseconds {
    const leaderRole = this.leaderRole;
    if (leaderRole === undefined) return 0;
    const untilMs = leaderRole.leaseUntilMs(nowMs);
    return untilMs > nowMs ? untilMs : 0;
  }

  /**
   * Steps down and asks the reachable voter with the highest match index to take over. Returns false, and
   * keeps leading, if no voter is reachable.
   */
  transferLeadership(nowMs: Milliseconds): boolean {
    const { state } = this;
    const successor = this.#successor(nowMs);
    if (successor === undefined) return false;
    const { replica, vm } = successor.member;
    this.#stepDown();
    state.send(vm, state.message("handover", { to: replica }));
    return true;
  }

  /** Returns the next received snapshot chunk to write to the disk. */
  nextChunk(): ReceivedChunk | undefined {
    return this.#followerRole.nextChunk();
  }

  /** Reports to the leader how much of a snapshot is on the disk. */
  replyToChunk(received: ReceivedChunk, storedBytes: Bytes): void {
    this.#followerRole.replyToChunk(received, storedBytes);
  }

  /** Removes and returns the messages that may be sent now. */
  drainReadyMessages(): readonly OutgoingMessage[] {
    return this.state.drainReadyMessages();
  }

  /** Returns the next batch to sync, if any; the leader sends its entries to the followers in parallel. */
  nextSyncBatch(nowMs: Milliseconds): SyncBatch | undefined {
    if (!this.state.hasUnsynced()) return undefined;
    this.leaderRole?.replicate(nowMs);
    return this.state.nextSyncBatch();
  }

  /** Records that a batch is on the disk. */
  markSynced(syncBatch: SyncBatch): void {
    this.state.markSynced(syncBatch);
    this.leaderRole?.advanceCommitIndex();
    this.#followerRole.acknowledgeDurable();
  }

  /** Returns the entry at an index, or undefined if it is not committed. */
  committedEntry(index: number): LogEntry | undefined {
    if (index > this.state.committedIndex) return undefined;
    return this.state.log.get(index);
  }

  #becomeLeader(instant: Instant): void {
    const state = this.state;
    const last = state.log.get(state.log.lastIndex);
    this.#leaderRole = new LeaderRole(state, {
      instant,
      lastEntryAtMs: last?.atMs ?? state.snapshot?.meta.atMs ?? 0,
      onUnreadable: (member) =>
        this.#options.report({ kind: "unreadable", seats: [member], index: 0 }),
    });
    this.#voterManager = new VoterManager(state, {
      leaderRole: this.#leaderRole,
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
      if (!state.quorum().isVoter(progress.member.replica)) continue;
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

  /** Candidates send hellos too: the entry that made one a voter may have been replaced by another entry. */
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
      const reply = state.message("hello", fields);
      state.sendAfterSync(vm, reply);
      const canJoin = message.group === null || message.group === state.group;
      if (this.leaderRole !== undefined && canJoin) {
        this.#voterManager?.handleHello(vm, message, instant.nowMs);
      }
      return;
    }
    this.#formation?.handleHelloReply(vm, message);
    this.#sendHelloToLeader(vm, message);
    this.#tryForm(instant);
  }

  /** Sends a hello to the reported leader, which may run on a VM that is no longer listed as a control VM. */
  #sendHelloToLeader(vm: string, message: MessageOf<"hello">): void {
    const { leader } = message;
    if (leader === null || leader === vm || leader === this.state.vm) return;
    const { role } = this.state;
    if (role === "learner" || role === "candidate") this.#sendHello(leader);
  }

  #tryForm(instant: Instant): void {
    if (this.#formation?.tryForm(instant) !== true) return;
    if (this.#election.tick(instant.nowMs)) this.#becomeLeader(instant);
  }

  /**
   * Whether a message belongs to this replica's group. A replica without a group joins the sender's group,
   * except on a trial vote request, which changes no state.
   */
  #acceptsGroup(message: Message): boolean {
    const state = this.state;
    if (message.group === null) return false;
    if (message.group === state.group) return true;
    if (state.group !== null) return false;
    const isTrialVote = message.kind === "vote" && message.trial;
    if (!isTrialVote) state.updateHardState({ group: message.group });
    return true;
  }
}
