/**
 * The only writer to a replica's disk. Writes batches of entries, received snapshot chunks and the
 * replica's own snapshots, one after the other.
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

/** When snapshots are taken, and how much of the log is retained before them. */
export interface SnapshotPolicy {
  /** Number of entries after which a snapshot is taken. */
  readonly entries: number;
  /** Size of the entries after which a snapshot is taken. */
  readonly bytes: Bytes;
  /** Number of entries retained before the snapshot, so that replicas that lag slightly need no snapshot. */
  readonly retainedEntries: number;
}

/** Default policy. */
export const DEFAULT_SNAPSHOT_POLICY: SnapshotPolicy = {
  entries: 8_192,
  bytes: 32 * MEBIBYTE,
  retainedEntries: 1_024,
};

/** Factor on the limits of the policy while the current snapshot is being transferred. */
const TRANSFER_SNAPSHOT_FACTOR = 4;
/** Delay before a write that failed on a full disk is retried. */
const FULL_DISK_RETRY_MS: Milliseconds = 250;

/** Options of `SyncLoop`. */
export interface SyncLoopOptions {
  readonly replica: Replica;
  readonly storage: LogStorage;
  readonly applier: Applier;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly policy: SnapshotPolicy;
  /** Sends messages. */
  readonly send: (messages: readonly OutgoingMessage[]) => void;
  /** Called after each completed write. */
  readonly afterSync: () => void;
  /** Called when a write fails for a reason other than a full disk; the loop has stopped. */
  readonly onStorageError: (error: unknown) => void;
}

/** Writes to the disk as long as there is something to write. */
export class SyncLoop {
  readonly #options: SyncLoopOptions;
  #running = false;
  /** Whether `run` was called since the loop last looked for something to write. */
  #requested = false;
  #stopped = false;
  #stopWaiters: (() => void)[] = [];

  constructor(options: SyncLoopOptions) {
    this.#options = options;
  }

  /** Stops the loop; resolves once the write in progress has finished. */
  stop(): Promise<void> {
    this.#stopped = true;
    if (!this.#running) return Promise.resolve();
    return new Promise((resolve) => this.#stopWaiters.push(resolve));
  }

  /** Starts the loop; a running loop looks once more for something to write before it ends. */
  async run(): Promise<void> {
    this.#requested = true;
    if (this.#running) return;
    this.#running = true;
    try {
      while (this.#requested && !this.#stopped) {
        this.#requested = false;
        await this.#writeAll();
      }
    } catch (error) {
      // A write that `stop` abandoned because the disk was full has not been acknowledged to anyone.
      const abandoned = this.#stopped && error instanceof DiskFullError;
      this.#stopped = true;
      if (!abandoned) this.#options.onStorageError(error);
    } finally {
      this.#running = false;
    }
    for (const resolve of this.#stopWaiters) resolve();
    this.#stopWaiters = [];
  }

  async #writeAll(): Promise<void> {
    while (!this.#stopped && await this.#writeNext());
  }

  async #writeNext(): Promise<boolean> {
    const { replica, clock, send } = this.#options;
    const syncBatch = replica.nextSyncBatch(clock.nowMs());
    send(replica.drainReadyMessages());
    if (syncBatch !== undefined) {
      await this.#retryWhileFull(() =>
        this.#options.storage.append(syncBatch.batch)
      );
      this.#completeBatch(syncBatch);
      return true;
    }
    const chunk = replica.nextChunk();
    if (chunk !== undefined) {
      await this.#storeChunk(chunk);
      return true;
    }
    return this.#saveSnapshot();
  }

  /** Runs a write, and retries it while the disk is full. */
  async #retryWhileFull<Value>(write: () => Promise<Value>): Promise<Value> {
    const { clock, events } = this.#options;
    let full = false;
    while (true) {
      try {
        const value = await write();
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

  #completeBatch(syncBatch: SyncBatch): void {
    if (this.#stopped) return;
    this.#options.replica.markSynced(syncBatch);
    this.#options.send(syncBatch.messagesAfterSync);
    this.#options.afterSync();
  }

  async #storeChunk(received: ReceivedChunk): Promise<void> {
    const { replica, storage, afterSync } = this.#options;
    const { bytes, complete: completed } = await this.#retryWhileFull(() =>
      storage.receiveChunk(received.chunk)
    );
    if (this.#stopped) return;
    if (completed !== null) await this.#install(completed);
    if (this.#stopped) return;
    replica.replyToChunk(received, bytes);
    afterSync();
  }

  async #install(received: SerializedSnapshot): Promise<void> {
    const { replica, storage, applier, events } = this.#options;
    const { state } = replica;
    const { index } = received.descriptor.meta;
    if (index <= state.committedIndex) return;
    const syncBatch = state.installSnapshot(received.descriptor);
    applier.restore(received.snapshot);
    const log = this.#logContents(state.log.base.index);
    await this.#retryWhileFull(() => storage.saveSnapshot(received, log));
    this.#completeBatch(syncBatch);
    events.emit(AGREEMENT_EVENTS.snapshotInstalled, {
      index,
      bytes: received.descriptor.bytes,
    });
  }

  async #saveSnapshot(): Promise<boolean> {
    const { replica, applier, events, policy } = this.#options;
    if (!this.#snapshotDue()) return false;
    const startedMs = this.#options.clock.nowMs();
    events.emit(AGREEMENT_EVENTS.snapshotStarted, {
      index: applier.appliedIndex,
      entries: applier.entriesSinceSnapshot,
      logBytes: applier.bytesSinceSnapshot,
    });
    const snapshot = applier.snapshot(replica);
    if (snapshot === undefined) return false;
    const { state } = replica;
    const { index } = snapshot.meta;
    const baseIndex = Math.max(
      state.log.base.index,
      index - policy.retainedEntries,
    );
    const serialized = serializeSnapshot(snapshot);
    if (!await this.#save(serialized, baseIndex)) return false;
    state.snapshot = serialized.descriptor;
    state.log.compact(baseIndex);
    const { bytes } = serialized.descriptor;
    const durationMs = Math.round(this.#options.clock.nowMs() - startedMs);
    events.emit(AGREEMENT_EVENTS.snapshotSaved, { index, bytes, durationMs });
    return true;
  }

  /** Returns whether the disk had space; if not, the next snapshot is due after the usual number of entries. */
  async #save(
    serialized: SerializedSnapshot,
    baseIndex: number,
  ): Promise<boolean> {
    const { storage, events } = this.#options;
    try {
      await storage.saveSnapshot(serialized, this.#logContents(baseIndex));
      return true;
    } catch (error) {
      if (!(error instanceof DiskFullError)) throw error;
      events.emit(AGREEMENT_EVENTS.diskFull, { ...error.failure });
      return false;
    }
  }

  #snapshotDue(): boolean {
    const { replica, applier, policy, clock } = this.#options;
    const isTransferring =
      replica.leaderRole?.snapshotTransfers.isActive(clock.nowMs()) ?? false;
    const factor = isTransferring ? TRANSFER_SNAPSHOT_FACTOR : 1;
    if (applier.entriesSinceSnapshot >= policy.entries * factor) return true;
    return applier.bytesSinceSnapshot >= policy.bytes * factor;
  }

  #logContents(baseIndex: number): LogContents {
    const { state } = this.#options.replica;
    return {
      hard: state.hardState,
      base: { index: baseIndex, term: state.log.termAt(baseIndex) ?? 0 },
      entries: state.log.entriesFrom(baseIndex + 1, Infinity),
    };
  }
}
