/**
 * The one writer of a replica's disk: batches of entries, chunks of snapshots that arrive, and own
 * snapshots, one after the other.
 *
 * @module
 */
import {
  type Bytes,
  type Clock,
  type EventLog,
  MEBIBYTE,
  type Milliseconds,
} from "#core";
import type { Applier } from "./applier.ts";
import { DiskFullError } from "./data_folder.ts";
import { AGREEMENT_EVENTS } from "./events.ts";
import type { ReceivedChunk } from "./follower_role.ts";
import {
  type LogContents,
  type LogStorage,
  type SerializedSnapshot,
  serializeSnapshot,
} from "./log_storage.ts";
import type { Replica } from "./replica.ts";
import type { OutgoingMessage, SyncBatch } from "./replica_state.ts";

/** When snapshots are taken, and how much of the log stays behind them. */
export interface SnapshotPolicy {
  /** Entries after which a snapshot is taken. */
  readonly entries: number;
  /** Bytes of entries after which a snapshot is taken. */
  readonly bytes: Bytes;
  /** Entries that stay before the snapshot, for replicas that lag a little. */
  readonly retainedEntries: number;
}

/** Policy of the programs. */
export const DEFAULT_SNAPSHOT_POLICY: SnapshotPolicy = {
  entries: 8_192,
  bytes: 32 * MEBIBYTE,
  retainedEntries: 1_024,
};

const TRANSFER_SNAPSHOT_FACTOR = 4;
/** Pause before a change that found no room is tried again. */
const FULL_DISK_RETRY_MS: Milliseconds = 250;

/** What the loop is built from. */
export interface SyncLoopOptions {
  readonly replica: Replica;
  readonly storage: LogStorage;
  readonly applier: Applier;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly policy: SnapshotPolicy;
  /** Sends messages that may leave. */
  readonly send: (messages: readonly OutgoingMessage[]) => void;
  /** Called after each change of the disk. */
  readonly afterSync: () => void;
  /** Called when the disk fails. */
  readonly onStorageError: (error: unknown) => void;
}

/** Writes while there is something to write. */
export class SyncLoop {
  readonly #options: SyncLoopOptions;
  #running = false;
  #stopped = false;
  #stopWaiters: (() => void)[] = [];

  constructor(options: SyncLoopOptions) {
    this.#options = options;
  }

  /** Stops after the write that is under way; resolves then. */
  stop(): Promise<void> {
    this.#stopped = true;
    if (!this.#running) return Promise.resolve();
    return new Promise((resolve) => this.#stopWaiters.push(resolve));
  }

  /** Starts to write unless it does already. */
  async run(): Promise<void> {
    if (this.#running) return;
    this.#running = true;
    try {
      while (!this.#stopped && await this.#writeNext());
    } catch (error) {
      // What found no room before a stop was told to nobody.
      const givenUp = this.#stopped && error instanceof DiskFullError;
      this.#stopped = true;
      if (!givenUp) this.#options.onStorageError(error);
    } finally {
      this.#running = false;
    }
    for (const resolve of this.#stopWaiters) resolve();
    this.#stopWaiters = [];
  }

  async #writeNext(): Promise<boolean> {
    const { replica, clock, send } = this.#options;
    const taken = replica.nextSyncBatch(clock.nowMs());
    send(replica.drainReadyMessages());
    if (taken !== undefined) {
      await this.#retryWhileFull(() =>
        this.#options.storage.append(taken.batch)
      );
      this.#completeBatch(taken);
      return true;
    }
    const chunk = replica.nextChunk();
    if (chunk !== undefined) {
      await this.#storeChunk(chunk);
      return true;
    }
    return this.#saveSnapshot();
  }

  /** Does a change, again and again while the disk is full. */
  async #retryWhileFull<Value>(change: () => Promise<Value>): Promise<Value> {
    const { clock, events } = this.#options;
    let full = false;
    while (true) {
      try {
        const value = await change();
        if (full) events.emit(AGREEMENT_EVENTS.diskHasRoom);
        return value;
      } catch (error) {
        if (!(error instanceof DiskFullError) || this.#stopped) throw error;
        if (!full) events.emit(AGREEMENT_EVENTS.diskFull, { ...error.failure });
        full = true;
      }
      await clock.sleep(FULL_DISK_RETRY_MS);
    }
  }

  #completeBatch(taken: SyncBatch): void {
    if (this.#stopped) return;
    this.#options.replica.markSynced(taken);
    this.#options.send(taken.messagesAfterSync);
    this.#options.afterSync();
  }

  async #storeChunk(received: ReceivedChunk): Promise<void> {
    const { replica, storage, afterSync } = this.#options;
    const { bytes, complete } = await this.#retryWhileFull(() =>
      storage.receiveChunk(received.chunk)
    );
    if (this.#stopped) return;
    if (complete !== null) await this.#install(complete);
    if (this.#stopped) return;
    replica.replyToChunk(received, bytes);
    afterSync();
  }

  async #install(whole: SerializedSnapshot): Promise<void> {
    const { replica, storage, applier, events } = this.#options;
    const { state } = replica;
    const { index } = whole.descriptor.meta;
    if (index <= state.committedIndex) return;
    const taken = state.installSnapshot(whole.descriptor);
    applier.restore(whole.snapshot);
    const base = this.#logBase(state.log.base.index);
    await this.#retryWhileFull(() => storage.saveSnapshot(whole, base));
    this.#completeBatch(taken);
    events.emit(AGREEMENT_EVENTS.snapshotInstalled, { index });
  }

  async #saveSnapshot(): Promise<boolean> {
    const { replica, applier, events, policy } = this.#options;
    if (!this.#snapshotDue()) return false;
    const snapshot = applier.snapshot(replica);
    if (snapshot === undefined) return false;
    const { state } = replica;
    const { index } = snapshot.meta;
    const base = Math.max(state.log.base.index, index - policy.retainedEntries);
    const packed = serializeSnapshot(snapshot);
    if (!await this.#save(packed, base)) return false;
    state.snapshot = packed.descriptor;
    state.log.compact(base);
    const { bytes } = packed.descriptor;
    events.emit(AGREEMENT_EVENTS.snapshotSaved, { index, bytes });
    return true;
  }

  /** Whether there was room; if not, the next snapshot is taken after as many entries as usual. */
  async #save(packed: SerializedSnapshot, base: number): Promise<boolean> {
    const { storage, events } = this.#options;
    try {
      await storage.saveSnapshot(packed, this.#logBase(base));
      return true;
    } catch (error) {
      if (!(error instanceof DiskFullError)) throw error;
      events.emit(AGREEMENT_EVENTS.diskFull, { ...error.failure });
      return false;
    }
  }

  #snapshotDue(): boolean {
    const { replica, applier, policy, clock } = this.#options;
    const sending =
      replica.leaderRole?.snapshotTransfers.isActive(clock.nowMs()) ?? false;
    const factor = sending ? TRANSFER_SNAPSHOT_FACTOR : 1;
    if (applier.entriesSinceSnapshot >= policy.entries * factor) return true;
    return applier.bytesSinceSnapshot >= policy.bytes * factor;
  }

  #logBase(baseIndex: number): LogContents {
    const { state } = this.#options.replica;
    return {
      hard: state.hard,
      base: { index: baseIndex, term: state.log.termAt(baseIndex) ?? 0 },
      entries: state.log.entriesFrom(baseIndex + 1, Infinity),
    };
  }
}
