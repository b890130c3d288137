/**
 * State shared by the roles of a replica: term and vote, log, voters, and the pending messages and
 * batches.
 *
 * @module
 */
import {
  type Bytes,
  MEBIBYTE,
  type Milliseconds,
  type RandomSource,
} from "#core";
import type { EntryPosition, LogEntry, Voter } from "./entries.ts";
import { EntryLog } from "./entry_log.ts";
import type {
  DurableBatch,
  HardState,
  RecoveredState,
  SnapshotDescriptor,
} from "./stored_state.ts";
import type { Message, MessageKind, MessageOf } from "./messages.ts";
import { NO_VOTERS, VoterHistory, VoterQuorum } from "./voters.ts";
import type { LogTiming } from "./timing.ts";

/** Limit of the entries in one write to the log. */
const MAXIMUM_BATCH_BYTES: Bytes = MEBIBYTE;
/** Limit of the messages that wait for a sync, which a full disk can delay for long; the oldest are dropped. */
const MAXIMUM_WAITING_MESSAGES = 1_024;

/** Role of a replica; a learner receives the log but doesn't vote. */
export type Role = "leader" | "follower" | "candidate" | "learner";

/** Message and the VM that it is sent to. */
export interface OutgoingMessage {
  readonly vm: string;
  readonly message: Message;
}

/** Batch to sync, and the state that becomes durable with it. */
export interface SyncBatch {
  readonly batch: DurableBatch;
  /** Messages that may be sent only after the batch is synced. */
  readonly messagesAfterSync: readonly OutgoingMessage[];
  /** Position of the last log entry when the batch was created. */
  readonly last: EntryPosition;
  readonly hardStateVersion: number;
}

/** Fields of a message other than the header that `ReplicaState.message` fills in. */
export type MessageFields<Kind extends MessageKind> = Omit<
  MessageOf<Kind>,
  "kind" | "group" | "from" | "to" | "term"
>;

/** Options of `ReplicaState`. */
export interface ReplicaStateOptions {
  readonly vm: string;
  readonly recovered: RecoveredState;
  readonly timing: LogTiming;
  readonly random: RandomSource;
  readonly nowMs: Milliseconds;
  /** When the replica began to read its disk, and after its last contact with a leader; `nowMs` by default. */
  readonly startedMs?: Milliseconds;
  /** Size of the log in memory above which no further commands are accepted; unlimited by default. */
  readonly maximumLogBytes?: Bytes;
}

/** State shared by the roles of a replica. */
export class ReplicaState {
  readonly vm: string;
  readonly identity: string;
  readonly timing: LogTiming;
  readonly random: RandomSource;
  readonly log: EntryLog;
  readonly voterHistory: VoterHistory;
  /** The newest snapshot on this replica's disk. */
  snapshot: SnapshotDescriptor | null;
  role: Role = "follower";
  leader: Voter | null = null;
  /** When this replica last received a leader's message; a voter rejects other candidates for a while after. */
  lastLeaderContactMs: Milliseconds;
  electionDueMs: Milliseconds;
  readonly #maximumLogBytes: Bytes;
  #hardState: HardState;
  #hardStateVersion = 0;
  #batchedHardStateVersion = 0;
  #durableHardStateVersion = 0;
  #committedIndex: number;
  #firstUnsyncedIndex: number;
  #durableIndex: number;
  #readyMessages: OutgoingMessage[] = [];
  #messagesAfterSync: OutgoingMessage[] = [];

  constructor(options: ReplicaStateOptions) {
    const { recovered } = options;
    this.vm = options.vm;
    this.identity = recovered.identity;
    this.timing = options.timing;
    this.random = options.random;
    this.log = new EntryLog(recovered.base, recovered.entries);
    const voters = recovered.snapshot?.meta.seats ?? NO_VOTERS;
    const snapshotIndex = recovered.snapshot?.meta.index ?? 0;
    this.voterHistory = new VoterHistory(
      voters,
      recovered.entries.filter((entry) => entry.index > snapshotIndex),
    );
    this.snapshot = recovered.snapshot;
    this.#maximumLogBytes = options.maximumLogBytes ?? Infinity;
    this.#committedIndex = Math.max(
      snapshotIndex,
      recovered.hard.committedSeatsIndex,
    );
    this.#hardState = recovered.hard;
    this.#durableIndex = this.log.lastIndex;
    this.#firstUnsyncedIndex = this.log.lastIndex + 1;
    const { nowMs, startedMs = nowMs } = options;
    this.lastLeaderContactMs = recovered.isNew ? -Infinity : startedMs;
    this.electionDueMs = nowMs;
    this.resetElectionTimer(startedMs);
    if (startedMs < nowMs) this.#spreadElection(nowMs);
    this.role = this.isVoter() ? "follower" : "learner";
  }

  get term(): number {
    return this.#hardState.term;
  }

  get votedFor(): string | null {
    return this.#hardState.votedFor;
  }

  get group(): string | null {
    return this.#hardState.group;
  }

  /** Term, vote, group and committed voter change; synced before any message that depends on them is sent. */
  get hardState(): HardState {
    return this.#hardState;
  }

  /** Highest index known to be committed. */
  get committedIndex(): number {
    return this.#committedIndex;
  }

  /** Highest index up to which all entries are on this replica's disk. */
  get durableIndex(): number {
    return this.#durableIndex;
  }

  /** Whether the log in memory exceeds its limit, since no snapshot can be written. */
  get isLogFull(): boolean {
    return this.log.bytes > this.#maximumLogBytes;
  }

  /**
   * Whether the committed entries after the snapshot exceed the limit of the log. Entries that are not committed
   * don't count: they must be accepted until they are.
   */
  get isCommittedLogFull(): boolean {
    const { log, snapshot } = this;
    const bytes = log.bytesThrough(this.committedIndex) -
      log.bytesThrough(snapshot?.meta.index ?? 0);
    return bytes > this.#maximumLogBytes;
  }

  /** Returns the quorum that is active at the current commit index. */
  quorum(): VoterQuorum {
    return this.voterHistory.quorum(this.committedIndex);
  }

  /** Whether this replica is a voter. */
  isVoter(): boolean {
    return this.quorum().isVoter(this.identity);
  }

  /** Becomes a follower (or learner) in a term that is not below the current one. */
  becomeFollower(term: number, leader: Voter | null): void {
    if (term > this.term) this.updateHardState({ term, votedFor: null });
    this.role = this.isVoter() ? "follower" : "learner";
    this.leader = leader;
  }

  /** Changes the hard state; messages passed to `sendAfterSync` from now on wait until it is synced. */
  updateHardState(change: Partial<HardState>): void {
    this.#hardState = { ...this.#hardState, ...change };
    this.#hardStateVersion += 1;
  }

  /** Postpones an election that became due while the disk was read, since other replicas may start just now. */
  #spreadElection(nowMs: Milliseconds): void {
    const spreadMs = this.random.fraction() * this.timing.electionSpreadMs;
    this.electionDueMs = Math.max(this.electionDueMs, nowMs + spreadMs);
  }

  /** Restarts the election timer with a random timeout. */
  resetElectionTimer(nowMs: Milliseconds): void {
    const { electionMinimumMs, electionSpreadMs } = this.timing;
    this.electionDueMs = nowMs + electionMinimumMs +
      this.random.fraction() * electionSpreadMs;
  }

  /**
   * Records that entries up to an index are committed. The index of a committed voter change is persisted:
   * after a restart the replica must not require the voters from before the change.
   */
  commit(index: number): void {
    if (index <= this.#committedIndex) return;
    this.#committedIndex = index;
    const seatsIndex = this.voterHistory.changeAt(index).index;
    if (seatsIndex <= this.#hardState.committedSeatsIndex) return;
    this.updateHardState({ committedSeatsIndex: seatsIndex });
  }

  /** Appends entries to the log, replacing existing entries from the first one's index on. */
  append(entries: readonly LogEntry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    if (first.index <= this.committedIndex) {
      throw new Error(`cannot replace committed entry ${first.index}`);
    }
    this.log.append(entries);
    this.voterHistory.append(entries);
    this.#firstUnsyncedIndex = Math.min(this.#firstUnsyncedIndex, first.index);
    this.#durableIndex = Math.min(this.#durableIndex, first.index - 1);
  }

  /**
   * Replaces the log up to a snapshot's index. The caller passes the result to `markSynced` once the
   * snapshot is on the disk; until then no entry counts as durable.
   */
  installSnapshot(snapshot: SnapshotDescriptor): SyncBatch {
    const { index, term, seats } = snapshot.meta;
    if (this.log.termAt(index) === term) {
      this.log.compact(index);
    } else {
      this.log.reset({ index, term });
    }
    this.voterHistory.reset(seats);
    this.voterHistory.append(this.log.entriesFrom(index + 1, Infinity));
    this.snapshot = snapshot;
    this.commit(index);
    this.#durableIndex = 0;
    return this.nextSyncBatch(Infinity);
  }

  /** Creates a message with this replica as the sender. */
  message<Kind extends MessageKind>(
    kind: Kind,
    fields: MessageFields<Kind> & {
      readonly to: string | null;
      readonly group?: string | null;
      readonly term?: number;
    },
  ): MessageOf<Kind> {
    const header = {
      kind,
      group: this.group,
      from: this.identity,
      term: this.term,
    };
    return { ...header, ...fields } as unknown as MessageOf<Kind>;
  }

  /** Queues a message to be sent immediately. */
  send(vm: string, message: Message): void {
    this.#readyMessages.push({ vm, message });
  }

  /** Queues a message that depends on the hard state (such as a vote), to be sent once that is on the disk. */
  sendAfterSync(vm: string, message: Message): void {
    const durable = this.#hardStateVersion === this.#durableHardStateVersion;
    (durable ? this.#readyMessages : this.#messagesAfterSync).push({
      vm,
      message,
    });
    const tooMany = this.#messagesAfterSync.length > MAXIMUM_WAITING_MESSAGES;
    if (tooMany) this.#messagesAfterSync.shift();
  }

  /** Removes and returns the messages that may be sent now. */
  drainReadyMessages(): readonly OutgoingMessage[] {
    const ready = this.#readyMessages;
    this.#readyMessages = [];
    return ready;
  }

  /** Whether there are entries or a hard state to sync. */
  hasUnsynced(): boolean {
    if (this.#hardStateVersion > this.#batchedHardStateVersion) return true;
    return this.#firstUnsyncedIndex <= this.log.lastIndex;
  }

  /** Returns what to sync next: the hard state, and entries of at most `maximumBytes` but at least one. */
  nextSyncBatch(maximumBytes: Bytes = MAXIMUM_BATCH_BYTES): SyncBatch {
    const entries = this.log.entriesFrom(
      this.#firstUnsyncedIndex,
      maximumBytes,
    );
    const batch: DurableBatch = {
      hard: this.#hardStateVersion > this.#batchedHardStateVersion
        ? this.#hardState
        : null,
      entries: this.#firstUnsyncedIndex <= this.log.lastIndex ? entries : [],
    };
    const lastEntry = batch.entries.at(-1);
    const messagesAfterSync = this.#messagesAfterSync;
    this.#messagesAfterSync = [];
    this.#batchedHardStateVersion = this.#hardStateVersion;
    const { index, term } = lastEntry ??
      { index: this.log.lastIndex, term: this.log.lastTerm };
    this.#firstUnsyncedIndex = index + 1;
    const last = { index, term };
    return {
      batch,
      messagesAfterSync,
      last,
      hardStateVersion: this.#hardStateVersion,
    };
  }

  /** Records that a batch is on the disk. */
  markSynced(syncBatch: SyncBatch): void {
    this.#durableHardStateVersion = syncBatch.hardStateVersion;
    const { index, term } = syncBatch.last;
    if (this.log.termAt(index) !== term) return;
    this.#durableIndex = Math.max(this.#durableIndex, index);
  }
}
