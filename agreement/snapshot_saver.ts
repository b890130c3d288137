/**
 * Writes the replica's own snapshots, part by part, and removes the entries that they include from the log.
 *
 * @module
 */
import { createHash } from "node:crypto";
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
/** The same while a leader has just been elected. */
const SETTLING_FACTOR = 1.5;
/** Share of the limits by which followers are earlier than the leader at most, so that not all are busy at once. */
const FOLLOWER_SPREAD = 0.4;
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
  /** The leader and its term, and since when they are known. */
  #leadership = "";
  #ledSinceMs: Milliseconds = -Infinity;

  /** A number from 0 to 1 that differs from one replica to the next. */
  readonly #place: number;

  constructor(options: SnapshotSaverOptions) {
    this.#options = options;
    this.#place = fractionOf(options.replica.state.identity);
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
    const factor = this.#limitFactor(nowMs);
    if (applier.entriesSinceSnapshot >= policy.entries * factor) return true;
    const limitBytes = policy.bytes * factor;
    if (applier.bytesSinceSnapshot >= limitBytes) return true;
    // An earlier build may have retained more entries before its last snapshot.
    const appliedBytes = replica.state.log.bytesThrough(applier.appliedIndex);
    return appliedBytes >= limitBytes + policy.retainedBytes;
  }

  /** Returns the factor on the limits of the policy. */
  #limitFactor(nowMs: Milliseconds): number {
    const { replica, policy } = this.#options;
    const { leader, term } = replica.state;
    const leadership = `${leader} ${term}`;
    if (leadership !== this.#leadership) {
      this.#leadership = leadership;
      this.#ledSinceMs = nowMs;
    }
    const transfers = replica.leaderRole?.snapshotTransfers;
    if (transfers?.isActive(nowMs) === true) return TRANSFER_SNAPSHOT_FACTOR;
    // Whatever was interrupted starts again then, on all replicas at once.
    if (nowMs - this.#ledSinceMs < policy.settleMs) return SETTLING_FACTOR;
    if (replica.leaderRole !== undefined) return 1;
    return 1 - FOLLOWER_SPREAD * this.#place;
  }
}

/** Returns a number from 0 to 1 that differs from one replica to the next. */
function fractionOf(identity: string): number {
  const hash = createHash("sha256").update(identity).digest();
  return hash.readUInt32BE(0) / 2 ** 32;
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
