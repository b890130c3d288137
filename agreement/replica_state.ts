/**
 * The state that the roles of a replica share: term and vote, log, voters, and what is to be sent and
 * synced.
 *
 * @module
 */
import type { Milliseconds, RandomSource } from "#core";
import type { EntryPosition, LogEntry, Voter } from "./entries.ts";
import { EntryLog } from "./entry_log.ts";
import type {
  DurableBatch,
  HardState,
  RecoveredState,
  SnapshotDescriptor,
} from "./log_storage.ts";
import type { Message, MessageKind, MessageOf } from "./messages.ts";
import { NO_VOTERS, VoterHistory, VoterQuorum } from "./voters.ts";
import type { LogTiming } from "./timing.ts";

/** Role of a replica. */
export type Role = "leader" | "follower" | "candidate" | "learner";

/** A message and the VM it goes to. */
export interface OutgoingMessage {
  readonly vm: string;
  readonly message: Message;
}

/** A batch and what it makes durable. */
export interface SyncBatch {
  readonly batch: DurableBatch;
  /** Messages that may leave once the batch is synced. */
  readonly messagesAfterSync: readonly OutgoingMessage[];
  /** Last entry of the log when the batch was taken. */
  readonly last: EntryPosition;
  readonly hardStateVersion: number;
}

/** Fields of a message that its sender chooses. */
export type MessageFields<Kind extends MessageKind> = Omit<
  MessageOf<Kind>,
  "kind" | "group" | "from" | "to" | "term"
>;

/** What the state is built from. */
export interface ReplicaStateOptions {
  readonly vm: string;
  readonly recovered: RecoveredState;
  readonly timing: LogTiming;
  readonly random: RandomSource;
  readonly nowMs: Milliseconds;
}

/** State shared by the roles of one replica. */
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
  /** When this replica last heard a leader; voters hold to it for a while. */
  lastLeaderContactMs: Milliseconds;
  electionDueMs: Milliseconds;
  #hard: HardState;
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
    const seats = recovered.snapshot?.meta.seats ?? NO_VOTERS;
    const snapshotIndex = recovered.snapshot?.meta.index ?? 0;
    this.voterHistory = new VoterHistory(
      seats,
      recovered.entries.filter((entry) => entry.index > snapshotIndex),
    );
    this.snapshot = recovered.descriptor;
    this.#committedIndex = Math.max(
      snapshotIndex,
      recovered.hard.committedSeatsIndex,
    );
    this.#hard = recovered.hard;
    this.#durableIndex = this.log.lastIndex;
    this.#firstUnsyncedIndex = this.log.lastIndex + 1;
    this.lastLeaderContactMs = recovered.isNew ? -Infinity : options.nowMs;
    this.electionDueMs = options.nowMs;
    this.resetElectionTimer(options.nowMs);
    this.role = this.isVoter() ? "follower" : "learner";
  }

  get term(): number {
    return this.#hard.term;
  }

  get votedFor(): string | null {
    return this.#hard.votedFor;
  }

  get group(): string | null {
    return this.#hard.group;
  }

  /** Term, vote and group. */
  get hard(): HardState {
    return this.#hard;
  }

  /** Last index known to be committed. */
  get committedIndex(): number {
    return this.#committedIndex;
  }

  /** Last index of which this disk holds everything. */
  get durableIndex(): number {
    return this.#durableIndex;
  }

  /** The lists of voters that decide now. */
  quorum(): VoterQuorum {
    return this.voterHistory.quorum(this.committedIndex);
  }

  /** Whether this replica has a seat. */
  isVoter(): boolean {
    return this.quorum().isVoter(this.identity);
  }

  /** Starts to follow in a term, at least as high as the current one. */
  becomeFollower(term: number, leader: Voter | null): void {
    if (term > this.term) this.updateHardState({ term, votedFor: null });
    this.role = this.isVoter() ? "follower" : "learner";
    this.leader = leader;
  }

  /** Changes term, vote or group; promises made from now on wait for the sync. */
  updateHardState(change: Partial<HardState>): void {
    this.#hard = { ...this.#hard, ...change };
    this.#hardStateVersion += 1;
  }

  /** Sets the next time to try to lead. */
  resetElectionTimer(nowMs: Milliseconds): void {
    const { electionMinimumMs, electionSpreadMs } = this.timing;
    this.electionDueMs = nowMs + electionMinimumMs +
      this.random.fraction() * electionSpreadMs;
  }

  /**
   * Takes note that entries up to an index are committed. That a change of voters is committed is kept on
   * the disk: after a restart the replica must not need the voters before it.
   */
  commit(index: number): void {
    if (index <= this.#committedIndex) return;
    this.#committedIndex = index;
    const seatsIndex = this.voterHistory.at(index).index;
    if (seatsIndex <= this.#hard.committedSeatsIndex) return;
    this.updateHardState({ committedSeatsIndex: seatsIndex });
  }

  /** Adds entries to the log, replacing those at and after the first one's index. */
  append(entries: readonly LogEntry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    if (first.index <= this.committedIndex) {
      throw new Error(`committed entry ${first.index} would be replaced`);
    }
    this.log.append(entries);
    this.voterHistory.append(entries);
    this.#firstUnsyncedIndex = Math.min(this.#firstUnsyncedIndex, first.index);
    this.#durableIndex = Math.min(this.#durableIndex, first.index - 1);
  }

  /**
   * Replaces the log up to a snapshot's index. The result goes to `synced` once the snapshot is on the
   * disk; nothing counts as durable before.
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
    return this.nextSyncBatch();
  }

  /** Builds a message from this replica. */
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

  /** Sends at once. */
  send(vm: string, message: Message): void {
    this.#readyMessages.push({ vm, message });
  }

  /** Sends a promise once term, vote and group are on the disk. */
  sendAfterSync(vm: string, message: Message): void {
    const durable = this.#hardStateVersion === this.#durableHardStateVersion;
    (durable ? this.#readyMessages : this.#messagesAfterSync).push({
      vm,
      message,
    });
  }

  /** Messages that may leave now. */
  drainReadyMessages(): readonly OutgoingMessage[] {
    const ready = this.#readyMessages;
    this.#readyMessages = [];
    return ready;
  }

  /** Whether something waits for a sync. */
  hasUnsynced(): boolean {
    if (this.#hardStateVersion > this.#batchedHardStateVersion) return true;
    return this.#firstUnsyncedIndex <= this.log.lastIndex;
  }

  /** Everything to be synced next; a log file that is written anew holds it as well. */
  nextSyncBatch(): SyncBatch {
    const entries = this.log.entriesFrom(this.#firstUnsyncedIndex, Infinity);
    const batch: DurableBatch = {
      hard: this.#hardStateVersion > this.#batchedHardStateVersion
        ? this.#hard
        : null,
      entries: this.#firstUnsyncedIndex <= this.log.lastIndex ? entries : [],
    };
    const held = this.#messagesAfterSync;
    this.#messagesAfterSync = [];
    this.#batchedHardStateVersion = this.#hardStateVersion;
    this.#firstUnsyncedIndex = this.log.lastIndex + 1;
    const last = { index: this.log.lastIndex, term: this.log.lastTerm };
    return {
      batch,
      messagesAfterSync: held,
      last,
      hardStateVersion: this.#hardStateVersion,
    };
  }

  /** Takes note that a batch is on the disk. */
  markSynced(taken: SyncBatch): void {
    this.#durableHardStateVersion = taken.hardStateVersion;
    const { index, term } = taken.last;
    if (this.log.termAt(index) !== term) return;
    this.#durableIndex = Math.max(this.#durableIndex, index);
  }
}
