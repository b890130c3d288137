/**
 * Writes the replica's own snapshots, part by part, and removes the entries that they include from the log.
 *
 * @module
 */
import type { Clock, EventLog, Milliseconds } from "#core";
import type { Applier } from "./applier.ts";
import { DiskFullError } from "./data_folder.ts";
import { AGREEMENT_EVENTS } from "./events.ts";
import type { LogStorage } from "./log_storage.ts";
import type { Replica } from "./replica.ts";
import type { SnapshotCapture } from "./snapshot_file.ts";
import type { SnapshotPolicy } from "./snapshot_policy.ts";
import type { LogContents, SnapshotDescriptor } from "./stored_state.ts";

/** Factor on the limits of the policy while the current snapshot is being transferred. */
const TRANSFER_SNAPSHOT_FACTOR = 4;
/** More than 1, so that a new log file is completed even if there is always a batch to write. */
const LOG_WRITES_PER_BATCH = 2;
/** Delay before a snapshot that did not fit on the disk is written again. */
const FULL_DISK_RETRY_MS: Milliseconds = 5_000;

/** Options of `SnapshotSaver`. */
export interface SnapshotSaverOptions {
  readonly replica: Replica;
  readonly storage: LogStorage;
  readonly applier: Applier;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly policy: SnapshotPolicy;
  /** Writes what became due during the last write; returns whether the snapshot should be continued. */
  readonly writePending: () => Promise<boolean>;
}

/** Writes snapshots when they are due. */
export class SnapshotSaver {
  readonly #options: SnapshotSaverOptions;
  #retryMs: Milliseconds = -Infinity;

  constructor(options: SnapshotSaverOptions) {
    this.#options = options;
  }

  /** Writes a snapshot if one is due; returns whether one was stored. */
  async saveIfDue(): Promise<boolean> {
    const { replica, applier, clock, events } = this.#options;
    if (!this.#isDue()) return false;
    const capture = applier.capture(replica);
    if (capture === undefined) return false;
    try {
      return await this.#save(capture);
    } catch (error) {
      if (!(error instanceof DiskFullError)) throw error;
      events.emit(AGREEMENT_EVENTS.diskFull, { ...error.failure });
      this.#retryMs = clock.nowMs() + FULL_DISK_RETRY_MS;
      await this.#options.storage.abandonSnapshot(capture.meta.index);
      return false;
    }
  }

  async #save(capture: SnapshotCapture): Promise<boolean> {
    const { replica, storage, applier, clock, events, policy } = this.#options;
    const startedMs = clock.nowMs();
    events.emit(AGREEMENT_EVENTS.snapshotStarted, {
      index: capture.meta.index,
      entries: applier.entriesSinceSnapshot,
      logBytes: applier.bytesSinceSnapshot,
    });
    const descriptor = await this.#writeSnapshot(capture);
    if (descriptor === undefined) return false;
    const { index } = capture.meta;
    const baseIndex = replica.state.log.retentionStart(index, {
      entries: policy.retainedEntries,
      bytes: policy.retainedBytes,
    });
    storage.startLog(descriptor, logContents(replica, baseIndex));
    if (!await this.#writeLog()) return false;
    await storage.finishLog();
    replica.state.snapshot = descriptor;
    applier.recordSnapshot(replica, index);
    replica.state.log.compact(baseIndex);
    const { bytes } = descriptor;
    const durationMs = Math.round(clock.nowMs() - startedMs);
    events.emit(AGREEMENT_EVENTS.snapshotSaved, { index, bytes, durationMs });
    return true;
  }

  async #writeSnapshot(
    capture: SnapshotCapture,
  ): Promise<SnapshotDescriptor | undefined> {
    const { storage } = this.#options;
    const writer = storage.startSnapshot(capture);
    for (const part of capture.parts) {
      await writer.add(part);
      if (!await this.#options.writePending()) return undefined;
    }
    return storage.storeSnapshot(writer);
  }

  /** Writes a new log file; each batch that is written meanwhile adds to it. */
  async #writeLog(): Promise<boolean> {
    const { storage, writePending } = this.#options;
    while (true) {
      for (let count = 0; count < LOG_WRITES_PER_BATCH; count += 1) {
        if (!await storage.writeLog()) return true;
      }
      if (!await writePending()) return false;
    }
  }

  #isDue(): boolean {
    const { replica, applier, policy, clock } = this.#options;
    const nowMs = clock.nowMs();
    if (nowMs < this.#retryMs) return false;
    // Without a leader nothing is applied, and votes would wait for the disk and the processor.
    if (replica.state.leader === null) return false;
    const isTransferring = replica.leaderRole?.snapshotTransfers.isActive(
      nowMs,
    ) ?? false;
    const factor = isTransferring ? TRANSFER_SNAPSHOT_FACTOR : 1;
    if (applier.entriesSinceSnapshot >= policy.entries * factor) return true;
    const limitBytes = policy.bytes * factor;
    if (applier.bytesSinceSnapshot >= limitBytes) return true;
    // An earlier build may have retained more entries before its last snapshot.
    const appliedBytes = replica.state.log.bytesThrough(applier.appliedIndex);
    return appliedBytes >= limitBytes + policy.retainedBytes;
  }
}

/** Returns the contents of a log file that starts after an index. */
export function logContents(replica: Replica, baseIndex: number): LogContents {
  const { state } = replica;
  return {
    hard: state.hardState,
    base: { index: baseIndex, term: state.log.termAt(baseIndex) ?? 0 },
    entries: state.log.entriesFrom(baseIndex + 1, Infinity),
  };
}
