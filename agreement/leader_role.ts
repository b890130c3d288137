/**
 * What a replica does while it leads: it sends entries, counts acknowledgements, and holds a lease as
 * long as a majority answers.
 *
 * @module
 */
import { type Bytes, MEBIBYTE, type Milliseconds } from "#core";
import type { EntryKind, EntryPosition, LogEntry, Voter } from "./entries.ts";
import { type MessageOf, packEntry } from "./messages.ts";
import type { ReplicaState } from "./replica_state.ts";
import { SnapshotTransfers } from "./snapshot_transfers.ts";

const MAXIMUM_APPEND_BYTES: Bytes = MEBIBYTE;
const MAXIMUM_UNACKNOWLEDGED_ENTRIES = 8_192;
/** Bytes of entries on the way to one replica. */
const IN_FLIGHT_WINDOW_BYTES: Bytes = MEBIBYTE;
/** Time without progress after which entries on the way count as lost. */
const IN_FLIGHT_TIMEOUT_MS: Milliseconds = 1_000;

/** Both clocks of the leader. */
export interface Instant {
  readonly nowMs: Milliseconds;
  readonly wallMs: Milliseconds;
}

/** What the leader knows of another replica. */
export interface ReplicaProgress {
  readonly voter: Voter;
  /** Next entry to send. */
  nextIndex: number;
  /** Last entry that is on its disk. */
  matchIndex: number;
  /** Commit index that it has on its disk or in memory. */
  committedIndex: number;
  /** When the newest message that it answered was sent. */
  lastContactMs: Milliseconds;
  /** When entries were last sent again; refusals of older messages are out of date. */
  lastRewindMs: Milliseconds;
  /** Entries on the way, oldest first. */
  inFlight: readonly InFlightBatch[];
  /** When its last entry on the disk last changed, or entries were last sent with none on the way. */
  lastAdvanceMs: Milliseconds;
}

/** Entries that were sent together. */
interface InFlightBatch {
  readonly lastIndex: number;
  readonly bytes: Bytes;
}

/** Leads one term. */
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
      readonly lastAtMs: Milliseconds;
    },
  ) {
    this.#state = state;
    this.#snapshotTransfers = new SnapshotTransfers(state.timing.heartbeatMs);
    this.#lastEntryAtMs = options.lastAtMs;
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

  /** When `tick` has to be called next. */
  get nextTickMs(): Milliseconds {
    return this.#heartbeatDueMs;
  }

  /** Whether an entry of this term is committed, so that the state holds all that ever was. */
  get hasCommittedInTerm(): boolean {
    return this.#state.committedIndex >= this.#barrierIndex;
  }

  /** Index of the first entry of this term. */
  get barrierIndex(): number {
    return this.#barrierIndex;
  }

  /** Transfers of snapshots. */
  get snapshotTransfers(): SnapshotTransfers {
    return this.#snapshotTransfers;
  }

  /** Every replica that gets entries. */
  progress(): readonly ReplicaProgress[] {
    return [...this.#progress.values()];
  }

  /** What is known of one replica. */
  progressOf(replica: string): ReplicaProgress | undefined {
    return this.#progress.get(replica);
  }

  /** Adds an entry to the log. */
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

  /** Until when no other replica can lead; in the past if that isn't known. */
  leaseUntilMs(nowMs: Milliseconds): Milliseconds {
    return this.#quorumContactMs(nowMs) + this.#state.timing.leaseMs;
  }

  /** Sends heartbeats when they are due; false if the leader has lost its majority. */
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

  /** Sends new entries to those that have the ones before. */
  replicate(nowMs: Milliseconds): void {
    this.#addVoterFollowers();
    for (const progress of this.#progress.values()) {
      if (isWindowFull(progress)) continue;
      if (progress.nextIndex <= this.#state.log.lastIndex) {
        this.#send(progress, nowMs);
      }
    }
  }

  /** Counts an acknowledgement. */
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

  /** Goes on with the transfer of a snapshot. */
  handleChunkReply(
    message: MessageOf<"chunkReply">,
    nowMs: Milliseconds,
  ): void {
    const progress = this.#progress.get(message.from);
    if (progress === undefined) return;
    recordContact(progress, message.sentMs);
    this.#snapshotTransfers.handleChunkReply(progress, message, nowMs);
  }

  /** Commits what a majority has on its disks; only entries of this term are counted. */
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

  /** Starts to send entries to a replica. */
  addFollower(seat: Voter): ReplicaProgress {
    const known = this.#progress.get(seat.replica);
    if (known !== undefined) return known;
    const progress: ReplicaProgress = {
      voter: seat,
      nextIndex: this.#state.log.lastIndex + 1,
      matchIndex: 0,
      committedIndex: 0,
      lastContactMs: -Infinity,
      lastRewindMs: -Infinity,
      inFlight: [],
      lastAdvanceMs: -Infinity,
    };
    this.#progress.set(seat.replica, progress);
    return progress;
  }

  /** Stops to send entries to a replica. */
  removeFollower(replica: string): void {
    this.#progress.delete(replica);
  }

  #addVoterFollowers(): void {
    for (const seat of this.#state.quorum().voters()) {
      if (seat.replica !== this.#state.identity) this.addFollower(seat);
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

  #send(progress: ReplicaProgress, nowMs: Milliseconds): void {
    const index = this.#needsSnapshot(progress, nowMs)
      ? this.#state.log.lastIndex + 1
      : progress.nextIndex;
    this.#append(progress, { index, nowMs });
  }

  /** Whether the next entry is in the snapshot only; starts to send that then. */
  #needsSnapshot(progress: ReplicaProgress, nowMs: Milliseconds): boolean {
    const { log, snapshot } = this.#state;
    if (progress.nextIndex > log.base.index) return false;
    if (snapshot !== null) {
      this.#snapshotTransfers.ensureTransfer(progress, { snapshot, nowMs });
    }
    return true;
  }

  #append(
    progress: ReplicaProgress,
    from: { readonly index: number; readonly nowMs: Milliseconds },
  ): void {
    const state = this.#state;
    const waiting = from.index - progress.matchIndex;
    const entries = waiting > MAXIMUM_UNACKNOWLEDGED_ENTRIES ||
        isWindowFull(progress)
      ? []
      : state.log.entriesFrom(from.index, MAXIMUM_APPEND_BYTES);
    const previousIndex = from.index - 1;
    const message = state.message("append", {
      to: progress.voter.replica,
      previousIndex,
      previousTerm: state.log.termAt(previousIndex) ?? 0,
      committedIndex: state.committedIndex,
      sentMs: from.nowMs,
      entries: entries.map(packEntry),
    });
    if (from.index === progress.nextIndex) {
      progress.nextIndex = from.index + entries.length;
      recordInFlight(progress, entries, from.nowMs);
    }
    state.send(progress.voter.vm, message);
  }
}

/** Takes note of an answer to a message sent at `sentMs`. */
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
