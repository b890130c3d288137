/**
 * Leader role of a replica: replicates entries, counts acknowledgements, and holds a lease as long as a
 * majority replies.
 *
 * @module
 */
import { type Bytes, MEBIBYTE, type Milliseconds } from "#core";
import type { EntryKind, EntryPosition, LogEntry, Voter } from "./entries.ts";
import { type MessageOf, packEntry } from "./messages.ts";
import type { ReplicaState } from "./replica_state.ts";
import { SnapshotTransfers } from "./snapshot_transfers.ts";

const MAXIMUM_APPEND_BYTES: Bytes = MEBIBYTE;
/** Limit of unacknowledged entries to one replica; above it only heartbeats are sent. */
const MAXIMUM_UNACKNOWLEDGED_ENTRIES = 8_192;
/** Limit of unacknowledged bytes to one replica; no further entries are sent once it is reached. */
const IN_FLIGHT_WINDOW_BYTES: Bytes = MEBIBYTE;
/** Time without progress after which unacknowledged entries count as lost and are sent again. */
const IN_FLIGHT_TIMEOUT_MS: Milliseconds = 1_000;

/** Current time on the monotonic clock and on the wall clock. */
export interface Instant {
  readonly nowMs: Milliseconds;
  readonly wallMs: Milliseconds;
}

/** Replication progress of another replica, as known to the leader. */
export interface ReplicaProgress {
  /** Identity and VM of the replica, which is a voter or a learner. */
  readonly member: Voter;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Highest index that the replica has acknowledged as synced. */
  matchIndex: number;
  /** Commit index that the replica last reported. */
  committedIndex: number;
  /** Send time of the newest message that the replica has replied to. */
  lastContactMs: Milliseconds;
  /** When `nextIndex` last moved back after a rejection; rejections of messages sent earlier are stale. */
  lastRewindMs: Milliseconds;
  /** Batches sent but not acknowledged, oldest first. */
  inFlight: readonly InFlightBatch[];
  /** When `matchIndex` last advanced, or a batch was last sent while none was in flight. */
  lastAdvanceMs: Milliseconds;
}

/** Entries that were sent in one message. */
interface InFlightBatch {
  readonly lastIndex: number;
  readonly bytes: Bytes;
}

/** Leader of one term. */
export class LeaderRole {
  readonly #state: ReplicaState;
  readonly #snapshotTransfers: SnapshotTransfers;
  readonly #progress = new Map<string, ReplicaProgress>();
  readonly #barrierIndex: number;
  #heartbeatDueMs: Milliseconds;
  #latestQuorumContactMs: Milliseconds;
  #lastEntryAtMs: Milliseconds;

  constructor(
    state: ReplicaState,
    options: {
      readonly instant: Instant;
      /** `atMs` of the last log entry; later entries must not have a lower one. */
      readonly lastEntryAtMs: Milliseconds;
    },
  ) {
    this.#state = state;
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
    this.#latestQuorumContactMs = Math.max(
      this.#latestQuorumContactMs,
      contactMs,
    );
    if (nowMs > this.#latestQuorumContactMs + timing.electionMinimumMs) {
      return false;
    }
    if (nowMs < this.#heartbeatDueMs) return true;
    this.#heartbeatDueMs = nowMs + timing.heartbeatMs;
    this.#addVoterFollowers();
    for (const progress of this.#progress.values()) {
      if (isInFlightLost(progress, nowMs)) rewindToMatch(progress);
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
      progress.inFlight = [];
      progress.nextIndex = Math.max(progress.matchIndex, message.index) + 1;
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
    this.#snapshotTransfers.handleChunkReply(progress, message, nowMs);
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
    const progress: ReplicaProgress = {
      member: member,
      nextIndex: this.#state.log.lastIndex + 1,
      matchIndex: 0,
      committedIndex: 0,
      lastContactMs: -Infinity,
      lastRewindMs: -Infinity,
      inFlight: [],
      lastAdvanceMs: -Infinity,
    };
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
    if (snapshot !== null) {
      this.#snapshotTransfers.ensureTransfer(progress, { snapshot, nowMs });
    }
    return true;
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

/** Records a reply to a message that was sent at `sentMs`. */
function recordContact(progress: ReplicaProgress, sentMs: Milliseconds): void {
  progress.lastContactMs = Math.max(progress.lastContactMs, sentMs);
}

function isWindowFull(progress: ReplicaProgress): boolean {
  let bytes = 0;
  for (const each of progress.inFlight) bytes += each.bytes;
  return bytes >= IN_FLIGHT_WINDOW_BYTES;
}

function recordInFlight(
  progress: ReplicaProgress,
  entries: readonly LogEntry[],
  nowMs: Milliseconds,
): void {
  const last = entries.at(-1);
  if (last === undefined) return;
  if (progress.inFlight.length === 0) progress.lastAdvanceMs = nowMs;
  let bytes = 0;
  for (const entry of entries) bytes += entry.body.length;
  progress.inFlight = [...progress.inFlight, { lastIndex: last.index, bytes }];
}

function isInFlightLost(
  progress: ReplicaProgress,
  nowMs: Milliseconds,
): boolean {
  if (progress.inFlight.length === 0) return false;
  return nowMs >= progress.lastAdvanceMs + IN_FLIGHT_TIMEOUT_MS;
}

function rewindToMatch(progress: ReplicaProgress): void {
  progress.nextIndex = progress.matchIndex + 1;
  progress.inFlight = [];
}
