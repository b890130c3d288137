/**
 * Leader role of a replica: replicates entries, counts acknowledgements, and holds a lease as long as a
 * majority replies.
 *
 * @module
 */
import { type Bytes, MEBIBYTE, type Milliseconds } from "#core";
import type { EntryKind, EntryPosition, Voter } from "./entries.ts";
import { type MessageOf, packEntry } from "./messages.ts";
import {
  isInFlightLost,
  isWindowFull,
  newProgress,
  recordContact,
  recordInFlight,
  type ReplicaProgress,
  rewindToNamed,
} from "./replica_progress.ts";
import type { ReplicaState } from "./replica_state.ts";
import { SnapshotTransfers } from "./snapshot_transfers.ts";
import { SINGLE_VALUE_FORMAT } from "./stored_state.ts";

const MAXIMUM_APPEND_BYTES: Bytes = MEBIBYTE;
/** Limit of unacknowledged entries to one replica; above it only heartbeats are sent. */
const MAXIMUM_UNACKNOWLEDGED_ENTRIES = 8_192;

/** Current time on the monotonic clock and on the wall clock. */
export interface Instant {
  readonly nowMs: Milliseconds;
  readonly wallMs: Milliseconds;
}

/** Leader of one term. */
export class LeaderRole {
  readonly #state: ReplicaState;
  readonly #snapshotTransfers: SnapshotTransfers;
  readonly #progress = new Map<string, ReplicaProgress>();
  /** Replicas reported as unable to read the snapshot. */
  readonly #unreadable = new Set<string>();
  readonly #onUnreadable: (member: Voter) => void;
  readonly #barrierIndex: number;
  #heartbeatDueMs: Milliseconds;
  #latestQuorumContactMs: Milliseconds;
  /** How late the ticks since the latest contact were, together. */
  #busyMs: Milliseconds = 0;
  #lastEntryAtMs: Milliseconds;

  constructor(
    state: ReplicaState,
    options: {
      readonly instant: Instant;
      /** `atMs` of the last log entry; later entries must not have a lower one. */
      readonly lastEntryAtMs: Milliseconds;
      /** Called once for each replica that needs the snapshot but runs a build that can't read it. */
      readonly onUnreadable: (member: Voter) => void;
    },
  ) {
    this.#state = state;
    this.#onUnreadable = options.onUnreadable;
    this.#snapshotTransfers = new SnapshotTransfers(state.timing.heartbeatMs);
    this.#lastEntryAtMs = options.lastEntryAtMs;
    this.#latestQuorumContactMs = options.instant.nowMs;
    this.#heartbeatDueMs = options.instant.nowMs;
    state.role = "leader";
    state.leader = { replica: state.identity, vm: state.vm };
    const { index } = this.appendEntry(
      "barrier",
      new Uint8Array(0),
      options.instant,
    );
    this.#barrierIndex = index;
  }

  /** Time at which `tick` must be called next. */
  get nextTickMs(): Milliseconds {
    return this.#heartbeatDueMs;
  }

  /** Whether an entry of this term is committed, and with it every entry committed in earlier terms. */
  get hasCommittedInTerm(): boolean {
    return this.#state.committedIndex >= this.#barrierIndex;
  }

  /** Index of the barrier, the first entry of this term. */
  get barrierIndex(): number {
    return this.#barrierIndex;
  }

  /** Snapshot transfers to replicas that lag behind the log. */
  get snapshotTransfers(): SnapshotTransfers {
    return this.#snapshotTransfers;
  }

  /** Returns the progress of every replica that entries are sent to. */
  progress(): readonly ReplicaProgress[] {
    return [...this.#progress.values()];
  }

  /** Returns the progress of one replica. */
  progressOf(replica: string): ReplicaProgress | undefined {
    return this.#progress.get(replica);
  }

  /** Appends an entry to the log. */
  appendEntry(
    kind: EntryKind,
    body: Uint8Array,
    instant: Instant,
  ): EntryPosition {
    const state = this.#state;
    this.#lastEntryAtMs = Math.max(this.#lastEntryAtMs, instant.wallMs);
    const index = state.log.lastIndex + 1;
    const term = state.term;
    state.append([{ index, term, atMs: this.#lastEntryAtMs, kind, body }]);
    return { index, term };
  }

  /** Returns the time until which no other replica can become leader; in the past if the lease has expired. */
  leaseUntilMs(nowMs: Milliseconds): Milliseconds {
    return this.#quorumContactMs(nowMs) + this.#state.timing.leaseMs;
  }

  /** Sends heartbeats when they are due. Returns false if the leader has lost contact with a majority. */
  tick(nowMs: Milliseconds): boolean {
    const { timing } = this.#state;
    const contactMs = this.#quorumContactMs(nowMs);
    if (contactMs > this.#latestQuorumContactMs) {
      this.#latestQuorumContactMs = contactMs;
      this.#busyMs = 0;
    }
    // While its process was busy, the leader neither sent heartbeats nor read the replies that wait for it.
    this.#busyMs += Math.max(0, nowMs - this.#heartbeatDueMs);
    const silentMs = nowMs - this.#latestQuorumContactMs - this.#busyMs;
    if (silentMs > timing.electionMinimumMs) return false;
    if (nowMs < this.#heartbeatDueMs) return true;
    this.#heartbeatDueMs = nowMs + timing.heartbeatMs;
    this.#addVoterFollowers();
    for (const progress of this.#progress.values()) {
      if (isInFlightLost(progress, nowMs)) rewindToNamed(progress);
      this.#send(progress, nowMs);
    }
    return true;
  }

  /** Sends new entries to the replicas whose in-flight window is not full. */
  replicate(nowMs: Milliseconds): void {
    this.#addVoterFollowers();
    for (const progress of this.#progress.values()) {
      if (isWindowFull(progress)) continue;
      if (progress.nextIndex <= this.#state.log.lastIndex) {
        this.#send(progress, nowMs);
      }
    }
  }

  /** Handles an acknowledgement or rejection of entries. */
  handleAppendReply(
    message: MessageOf<"appendReply">,
    nowMs: Milliseconds,
  ): void {
    const progress = this.#progress.get(message.from);
    if (progress === undefined) return;
    recordContact(progress, message.sentMs);
    progress.committedIndex = message.committedIndex;
    progress.snapshotFormat = message.snapshotFormat ?? SINGLE_VALUE_FORMAT;
    if (message.matched) {
      if (message.index > progress.matchIndex) progress.lastAdvanceMs = nowMs;
      progress.matchIndex = Math.max(progress.matchIndex, message.index);
      progress.inFlight = progress.inFlight.filter((each) =>
        each.lastIndex > progress.matchIndex
      );
      progress.nextIndex = Math.max(
        progress.nextIndex,
        progress.matchIndex + 1,
      );
      this.advanceCommitIndex();
    } else {
      if (message.sentMs < progress.lastRewindMs) return;
      progress.lastRewindMs = nowMs;
      progress.hintIndex = message.index;
      rewindToNamed(progress);
    }
    if (progress.nextIndex > this.#state.log.lastIndex) return;
    if (isWindowFull(progress)) return;
    if (this.#needsSnapshot(progress, nowMs)) return;
    this.#send(progress, nowMs);
  }

  /** Continues a snapshot transfer after a reply. */
  handleChunkReply(
    message: MessageOf<"chunkReply">,
    nowMs: Milliseconds,
  ): void {
    const progress = this.#progress.get(message.from);
    if (progress === undefined) return;
    recordContact(progress, message.sentMs);
    const { lastIndex } = this.#state.log;
    const now = { nowMs, lastIndex };
    this.#snapshotTransfers.handleChunkReply(progress, message, now);
  }

  /** Commits the entries that a quorum has on disk, provided that the last of them is from this term. */
  advanceCommitIndex(): void {
    const state = this.#state;
    const index = state.quorum().quorumValue((replica) =>
      replica === state.identity
        ? state.durableIndex
        : this.#progress.get(replica)?.matchIndex ?? 0
    );
    if (index <= state.committedIndex) return;
    if (state.log.termAt(index) !== state.term) return;
    state.commit(index);
  }

  /** Starts sending entries to a replica. */
  addFollower(member: Voter): ReplicaProgress {
    const known = this.#progress.get(member.replica);
    if (known !== undefined) return known;
    const nextIndex = this.#state.log.lastIndex + 1;
    const progress = newProgress(member, nextIndex);
    this.#progress.set(member.replica, progress);
    return progress;
  }

  /** Stops sending entries to a replica. */
  removeFollower(replica: string): void {
    this.#progress.delete(replica);
  }

  #addVoterFollowers(): void {
    for (const voter of this.#state.quorum().voters()) {
      if (voter.replica !== this.#state.identity) this.addFollower(voter);
    }
  }

  #quorumContactMs(nowMs: Milliseconds): Milliseconds {
    const state = this.#state;
    return state.quorum().quorumValue((replica) =>
      replica === state.identity
        ? nowMs
        : this.#progress.get(replica)?.lastContactMs ?? -Infinity
    );
  }

  /** Sends the next entries, or only a heartbeat if the replica needs a snapshot. */
  #send(progress: ReplicaProgress, nowMs: Milliseconds): void {
    const index = this.#needsSnapshot(progress, nowMs)
      ? this.#state.log.lastIndex + 1
      : progress.nextIndex;
    this.#sendAppend(progress, { index, nowMs });
  }

  /** Whether the next entry is no longer in the log; if so, ensures that a snapshot transfer is running. */
  #needsSnapshot(progress: ReplicaProgress, nowMs: Milliseconds): boolean {
    const { log, snapshot } = this.#state;
    if (progress.nextIndex > log.base.index) return false;
    const { snapshotFormat } = progress;
    if (snapshot === null || snapshotFormat === null) return true;
    if (snapshotFormat < snapshot.format) this.#reportUnreadable(progress);
    else this.#snapshotTransfers.ensureTransfer(progress, { snapshot, nowMs });
    return true;
  }

  #reportUnreadable({ member }: ReplicaProgress): void {
    if (this.#unreadable.has(member.replica)) return;
    this.#unreadable.add(member.replica);
    this.#onUnreadable(member);
  }

  #sendAppend(
    progress: ReplicaProgress,
    start: { readonly index: number; readonly nowMs: Milliseconds },
  ): void {
    const state = this.#state;
    const unacknowledgedEntries = start.index - progress.matchIndex;
    const entries = unacknowledgedEntries > MAXIMUM_UNACKNOWLEDGED_ENTRIES ||
        isWindowFull(progress)
      ? []
      : state.log.entriesFrom(start.index, MAXIMUM_APPEND_BYTES);
    const previousIndex = start.index - 1;
    const message = state.message("append", {
      to: progress.member.replica,
      previousIndex,
      previousTerm: state.log.termAt(previousIndex) ?? 0,
      committedIndex: state.committedIndex,
      sentMs: start.nowMs,
      entries: entries.map(packEntry),
    });
    if (start.index === progress.nextIndex) {
      progress.nextIndex = start.index + entries.length;
      recordInFlight(progress, entries, start.nowMs);
    }
    state.send(progress.member.vm, message);
  }
}
