/**
 * The only writer to a replica's disk. Writes batches of entries, received snapshot chunks and the
 * replica's own snapshots, one after the other; batches are also written between the parts of a snapshot.
 *
 * @module
 */
import type { Clock, EventLog, Milliseconds } from "#core";
import type { Applier } from "./applier.ts";
import { DiskFullError } from "./data_folder.ts";
import { AGREEMENT_EVENTS } from "./events.ts";
import type { ReceivedChunk } from "./follower_role.ts";
import type { ReceivedSnapshot } from "./incoming_snapshot.ts";
import type { LogStorage } from "./log_storage.ts";
import type { Replica } from "./replica.ts";
import type { OutgoingMessage, SyncBatch } from "./replica_state.ts";
import type { SnapshotPolicy } from "./snapshot_policy.ts";
import { logContents, SnapshotSaver } from "./snapshot_saver.ts";

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
  readonly #saver: SnapshotSaver;
  #running = false;
  /** Whether `run` was called since the loop last looked for something to write. */
  #requested = false;
  #stopped = false;
  #stopWaiters: (() => void)[] = [];

  constructor(options: SyncLoopOptions) {
    this.#options = options;
    this.#saver = new SnapshotSaver({
      ...options,
      writePending: async () => {
        await this.#writeBatch();
        return !this.#stopped;
      },
    });
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
    const wroteBatch = await this.#writeBatch();
    const wroteChunk = await this.#storeNextChunk();
    if (this.#stopped) return false;
    const savedSnapshot = await this.#saver.saveIfDue();
    return wroteBatch || wroteChunk || savedSnapshot;
  }

  async #storeNextChunk(): Promise<boolean> {
    const chunk = this.#options.replica.nextChunk();
    if (chunk === undefined || this.#stopped) return false;
    await this.#storeChunk(chunk);
    return true;
  }

  /** Writes the next batch of entries; returns false if there is none. */
  async #writeBatch(): Promise<boolean> {
    const { replica, storage, clock, send } = this.#options;
    const syncBatch = replica.nextSyncBatch(clock.nowMs());
    send(replica.drainReadyMessages());
    if (syncBatch === undefined) return false;
    await this.#retryWhileFull(() => storage.append(syncBatch.batch));
    this.#completeBatch(syncBatch);
    return true;
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

  async #install(received: ReceivedSnapshot): Promise<void> {
    const { replica, storage, applier, events } = this.#options;
    const { state } = replica;
    const { descriptor } = received;
    const { index } = descriptor.meta;
    if (index <= state.committedIndex) {
      await storage.discardReceived(received);
      return;
    }
    await storage.storeReceived(received);
    const restoration = applier.startRestoration();
    await storage.readContents(descriptor, restoration);
    if (this.#stopped) return;
    // Entries that were committed meanwhile are applied to the state of the snapshot.
    const syncBatch = state.installSnapshot(descriptor);
    applier.finishRestoration(restoration, index);
    storage.startLog(descriptor, logContents(replica, state.log.base.index));
    while (await this.#retryWhileFull(() => storage.writeLog()));
    await storage.finishLog();
    this.#completeBatch(syncBatch);
    events.emit(AGREEMENT_EVENTS.snapshotInstalled, {
      index,
      bytes: received.descriptor.bytes,
    });
  }
}
