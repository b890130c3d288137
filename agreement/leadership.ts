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
import { SnapshotSending } from "./snapshot_sending.ts";

const MAXIMUM_APPEND_BYTES: Bytes = MEBIBYTE;
const MAXIMUM_UNACKNOWLEDGED_ENTRIES = 8_192;
/** Bytes of entries on the way to one replica. */
const WINDOW_BYTES: Bytes = MEBIBYTE;
/** Time without progress after which entries on the way count as lost. */
const LOST_MS: Milliseconds = 1_000;

/** Both clocks of the leader. */
export interface Instant {
  readonly nowMs: Milliseconds;
  readonly wallMs: Milliseconds;
}

/** What the leader knows of another replica. */
export interface Progress {
  readonly seat: Voter;
  /** Next entry to send. */
  next: number;
  /** Last entry that is on its disk. */
  match: number;
  /** Commit index that it has on its disk or in memory. */
  committedIndex: number;
  /** When the newest message that it answered was sent. */
  contactMs: Milliseconds;
  /** When entries were last sent again; refusals of older messages are out of date. */
  retriedMs: Milliseconds;
  /** Entries on the way, oldest first. */
  sent: readonly SentEntries[];
  /** When its last entry on the disk last changed, or entries were last sent with none on the way. */
  movedMs: Milliseconds;
}

/** Entries that were sent together. */
interface SentEntries {
  readonly lastIndex: number;
  readonly bytes: Bytes;
}

/** Leads one term. */
export class Leadership {
  readonly #state: ReplicaState;
  readonly #sending: SnapshotSending;
  readonly #progress = new Map<string, Progress>();
  readonly #barrierIndex: number;
  #heartbeatDueMs: Milliseconds;
  #quorumSeenMs: Milliseconds;
  #lastAtMs: Milliseconds;

  constructor(
    state: ReplicaState,
    options: {
      readonly instant: Instant;
      readonly lastAtMs: Milliseconds;
    },
  ) {
    this.#state = state;
    this.#sending = new SnapshotSending(state.timing.heartbeatMs);
    this.#lastAtMs = options.lastAtMs;
    this.#quorumSeenMs = options.instant.nowMs;
    this.#heartbeatDueMs = options.instant.nowMs;
    state.role = "leader";
    state.leader = { replica: state.identity, vm: state.vm };
    const { index } = this.add("barrier", new Uint8Array(0), options.instant);
    this.#barrierIndex = index;
  }

  /** When `tick` has to be called next. */
  get dueMs(): Milliseconds {
    return this.#heartbeatDueMs;
  }

  /** Whether an entry of this term is committed, so that the state holds all that ever was. */
  get established(): boolean {
    return this.#state.committedIndex >= this.#barrierIndex;
  }

  /** Index of the first entry of this term. */
  get barrierIndex(): number {
    return this.#barrierIndex;
  }

  /** Transfers of snapshots. */
  get sending(): SnapshotSending {
    return this.#sending;
  }

  /** Every replica that gets entries. */
  progress(): readonly Progress[] {
    return [...this.#progress.values()];
  }

  /** What is known of one replica. */
  progressOf(replica: string): Progress | undefined {
    return this.#progress.get(replica);
  }

  /** Adds an entry to the log. */
  add(kind: EntryKind, body: Uint8Array, instant: Instant): EntryPosition {
    const state = this.#state;
    this.#lastAtMs = Math.max(this.#lastAtMs, instant.wallMs);
    const index = state.log.lastIndex + 1;
    const term = state.term;
    state.append([{ index, term, atMs: this.#lastAtMs, kind, body }]);
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
    this.#quorumSeenMs = Math.max(this.#quorumSeenMs, contactMs);
    if (nowMs > this.#quorumSeenMs + timing.electionMinimumMs) return false;
    if (nowMs < this.#heartbeatDueMs) return true;
    this.#heartbeatDueMs = nowMs + timing.heartbeatMs;
    this.#addVoterFollowers();
    for (const progress of this.#progress.values()) {
      if (isLost(progress, nowMs)) resend(progress);
      this.#send(progress, nowMs);
    }
    return true;
  }

  /** Sends new entries to those that have the ones before. */
  replicate(nowMs: Milliseconds): void {
    this.#addVoterFollowers();
    for (const progress of this.#progress.values()) {
      if (isWindowFull(progress)) continue;
      if (progress.next <= this.#state.log.lastIndex) {
        this.#send(progress, nowMs);
      }
    }
  }

  /** Counts an acknowledgement. */
  takeReply(message: MessageOf<"appendReply">, nowMs: Milliseconds): void {
    const progress = this.#progress.get(message.from);
    if (progress === undefined) return;
    heard(progress, message.sentMs);
    progress.committedIndex = message.committedIndex;
    if (message.matched) {
      if (message.index > progress.match) progress.movedMs = nowMs;
      progress.match = Math.max(progress.match, message.index);
      progress.sent = progress.sent.filter((each) =>
        each.lastIndex > progress.match
      );
      progress.next = Math.max(progress.next, progress.match + 1);
      this.advance();
    } else {
      if (message.sentMs < progress.retriedMs) return;
      progress.retriedMs = nowMs;
      progress.sent = [];
      progress.next = Math.max(progress.match, message.index) + 1;
    }
    if (progress.next > this.#state.log.lastIndex) return;
    if (isWindowFull(progress)) return;
    if (this.#needsSnapshot(progress, nowMs)) return;
    this.#send(progress, nowMs);
  }

  /** Goes on with the transfer of a snapshot. */
  takeChunkReply(message: MessageOf<"chunkReply">, nowMs: Milliseconds): void {
    const progress = this.#progress.get(message.from);
    if (progress === undefined) return;
    heard(progress, message.sentMs);
    this.#sending.takeReply(progress, message, nowMs);
  }

  /** Commits what a majority has on its disks; only entries of this term are counted. */
  advance(): void {
    const state = this.#state;
    const index = state.quorum().quorumValue((replica) =>
      replica === state.identity
        ? state.durableIndex
        : this.#progress.get(replica)?.match ?? 0
    );
    if (index <= state.committedIndex) return;
    if (state.log.termAt(index) !== state.term) return;
    state.commit(index);
  }

  /** Starts to send entries to a replica. */
  follow(seat: Voter): Progress {
    const known = this.#progress.get(seat.replica);
    if (known !== undefined) return known;
    const progress: Progress = {
      seat,
      next: this.#state.log.lastIndex + 1,
      match: 0,
      committedIndex: 0,
      contactMs: -Infinity,
      retriedMs: -Infinity,
      sent: [],
      movedMs: -Infinity,
    };
    this.#progress.set(seat.replica, progress);
    return progress;
  }

  /** Stops to send entries to a replica. */
  unfollow(replica: string): void {
    this.#progress.delete(replica);
  }

  #addVoterFollowers(): void {
    for (const seat of this.#state.quorum().voters()) {
      if (seat.replica !== this.#state.identity) this.follow(seat);
    }
  }

  #quorumContactMs(nowMs: Milliseconds): Milliseconds {
    const state = this.#state;
    return state.quorum().quorumValue((replica) =>
      replica === state.identity
        ? nowMs
        : this.#progress.get(replica)?.contactMs ?? -Infinity
    );
  }

  #send(progress: Progress, nowMs: Milliseconds): void {
    const index = this.#needsSnapshot(progress, nowMs)
      ? this.#state.log.lastIndex + 1
      : progress.next;
    this.#append(progress, { index, nowMs });
  }

  /** Whether the next entry is in the snapshot only; starts to send that then. */
  #needsSnapshot(progress: Progress, nowMs: Milliseconds): boolean {
    const { log, snapshot } = this.#state;
    if (progress.next > log.base.index) return false;
    if (snapshot !== null) this.#sending.needed(progress, { snapshot, nowMs });
    return true;
  }

  #append(
    progress: Progress,
    from: { readonly index: number; readonly nowMs: Milliseconds },
  ): void {
    const state = this.#state;
    const waiting = from.index - progress.match;
    const entries = waiting > MAXIMUM_UNACKNOWLEDGED_ENTRIES ||
        isWindowFull(progress)
      ? []
      : state.log.entriesFrom(from.index, MAXIMUM_APPEND_BYTES);
    const previousIndex = from.index - 1;
    const message = state.message("append", {
      to: progress.seat.replica,
      previousIndex,
      previousTerm: state.log.termAt(previousIndex) ?? 0,
      committedIndex: state.committedIndex,
      sentMs: from.nowMs,
      entries: entries.map(packEntry),
    });
    if (from.index === progress.next) {
      progress.next = from.index + entries.length;
      noteSent(progress, entries, from.nowMs);
    }
    state.send(progress.seat.vm, message);
  }
}

/** Takes note of an answer to a message sent at `sentMs`. */
function heard(progress: Progress, sentMs: Milliseconds): void {
  progress.contactMs = Math.max(progress.contactMs, sentMs);
}

function isWindowFull(progress: Progress): boolean {
  let bytes = 0;
  for (const each of progress.sent) bytes += each.bytes;
  return bytes >= WINDOW_BYTES;
}

function noteSent(
  progress: Progress,
  entries: readonly LogEntry[],
  nowMs: Milliseconds,
): void {
  const last = entries.at(-1);
  if (last === undefined) return;
  if (progress.sent.length === 0) progress.movedMs = nowMs;
  let bytes = 0;
  for (const entry of entries) bytes += entry.body.length;
  progress.sent = [...progress.sent, { lastIndex: last.index, bytes }];
}

function isLost(progress: Progress, nowMs: Milliseconds): boolean {
  if (progress.sent.length === 0) return false;
  return nowMs >= progress.movedMs + LOST_MS;
}

function resend(progress: Progress): void {
  progress.next = progress.match + 1;
  progress.sent = [];
}
