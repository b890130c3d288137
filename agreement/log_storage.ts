/**
 * Durable storage of a replica: its identity, term, vote, log entries and snapshot.
 *
 * Files: `log-N` contains a base record followed by one record per batch; the log with the highest N
 * is current. `snapshot-I` contains the state after entry I. `partial-*` files are being written and obsolete after a
 * restart. `incoming-H` is a partially received snapshot with hash H; it is kept across restarts so that the transfer
 * can resume.
 *
 * @module
 */
import { type Bytes, KIBIBYTE } from "#core";
import type { DataFolder } from "./data_folder.ts";
import {
  INCOMING_PREFIX,
  IncomingSnapshot,
  type ReceivedSnapshot,
  type SnapshotChunk,
  type SnapshotProgress,
} from "./incoming_snapshot.ts";
import { appendBatch, encodeBase, LogRewrite, recoverLog } from "./log_file.ts";
import { RecordBuffer } from "./record_buffer.ts";
import {
  describeSnapshot,
  readSnapshotFile,
  type SnapshotCapture,
  type SnapshotReceiver,
  SnapshotWriter,
  transferOffset,
} from "./snapshot_file.ts";
import {
  corruptionError,
  type DurableBatch,
  INITIAL_HARD_STATE,
  type LogContents,
  type RecoveredState,
  SINGLE_VALUE_FORMAT,
  type SnapshotDescriptor,
} from "./stored_state.ts";

const LOG_PREFIX = "log-";
const SNAPSHOT_PREFIX = "snapshot-";
const PARTIAL_PREFIX = "partial-";
const PARTIAL_LOG = `${PARTIAL_PREFIX}log`;
const PARTIAL_SNAPSHOT = `${PARTIAL_PREFIX}snapshot`;
const PARTIAL_CONVERSION = `${PARTIAL_PREFIX}conversion`;

/** Default approximate size of each write of a snapshot and of a rewritten log. */
export const DEFAULT_WRITE_BYTES: Bytes = 256 * KIBIBYTE;

/** Stores the state of one replica in a data folder. Call `open` before any other method. */
export class LogStorage {
  readonly #folder: DataFolder;
  readonly #writeBytes: Bytes;
  readonly #incoming: IncomingSnapshot;
  readonly #logBuffer = new RecordBuffer();
  readonly #snapshotBuffer = new RecordBuffer();
  #identity = "";
  #sequence = 0;
  #snapshotIndex = 0;
  #rewrite: LogRewrite | undefined;

  constructor(folder: DataFolder, writeBytes: Bytes = DEFAULT_WRITE_BYTES) {
    this.#folder = folder;
    this.#writeBytes = writeBytes;
    this.#incoming = new IncomingSnapshot(folder, PARTIAL_CONVERSION);
  }

  /** Locks the folder and recovers its state; rejects with a `StorageError` if it is locked or corrupt. */
  async open(createIdentity: () => string): Promise<RecoveredState> {
    await this.#folder.lock();
    const names = await this.#folder.list();
    const logs = names.filter((name) => name.startsWith(LOG_PREFIX)).sort();
    const newest = logs.at(-1);
    if (newest === undefined) return this.#initialize(names, createIdentity());
    this.#sequence = Number(newest.slice(LOG_PREFIX.length));
    const recovered = await this.#recover(newest);
    for (const name of names) {
      if (this.#isObsolete(name)) await this.#folder.remove(name);
    }
    return recovered;
  }

  /** Appends a batch to the log and makes it durable with one sync. */
  async append(batch: DurableBatch): Promise<void> {
    const file = { folder: this.#folder, name: this.#logFileName() };
    await appendBatch(file, batch, this.#logBuffer);
    this.#rewrite?.addBatch(batch);
  }

  /** Starts to write a snapshot; `storeSnapshot` or `abandonSnapshot` follows. */
  startSnapshot(capture: Omit<SnapshotCapture, "parts">): SnapshotWriter {
    const file = { folder: this.#folder, name: PARTIAL_SNAPSHOT };
    return new SnapshotWriter(file, {
      capture,
      writeBytes: this.#writeBytes,
      buffer: this.#snapshotBuffer,
    });
  }

  /** Stores a snapshot that is written completely. It counts only once a log file refers to it. */
  async storeSnapshot(writer: SnapshotWriter): Promise<SnapshotDescriptor> {
    const descriptor = await writer.finish();
    const name = snapshotFileName(descriptor.meta.index);
    await this.#folder.rename(PARTIAL_SNAPSHOT, name);
    return descriptor;
  }

  /** Stores a received snapshot. It counts only once a log file refers to it. */
  storeReceived(received: ReceivedSnapshot): Promise<void> {
    const name = snapshotFileName(received.descriptor.meta.index);
    return this.#folder.rename(received.name, name);
  }

  /** Removes a received snapshot that is not needed. */
  discardReceived(received: ReceivedSnapshot): Promise<void> {
    return this.#folder.remove(received.name);
  }

  /**
   * Starts to write a log file that refers to a stored snapshot. Batches appended meanwhile go to both files.
   * `writeLog` must follow until it returns false, then `finishLog`.
   */
  startLog(snapshot: SnapshotDescriptor, log: LogContents): void {
    const file = { folder: this.#folder, name: PARTIAL_LOG };
    const owner = {
      identity: this.#identity,
      snapshotIndex: snapshot.meta.index,
      format: snapshot.format,
    };
    this.#rewrite = new LogRewrite(file, {
      owner,
      log,
      writeBytes: this.#writeBytes,
      buffer: this.#logBuffer,
    });
  }

  /** Writes the next piece of the new log file; returns false if nothing remains. */
  writeLog(): Promise<boolean> {
    return this.#rewrite?.writeNext() ?? Promise.resolve(false);
  }

  /** Replaces the log file and the snapshot by the new ones. */
  async finishLog(): Promise<void> {
    const rewrite = this.#rewrite;
    if (rewrite === undefined) return;
    const oldLog = this.#logFileName();
    const oldSnapshot = snapshotFileName(this.#snapshotIndex);
    await this.#folder.rename(PARTIAL_LOG, logFileName(this.#sequence + 1));
    this.#rewrite = undefined;
    this.#sequence += 1;
    this.#snapshotIndex = rewrite.snapshotIndex;
    await this.#folder.remove(oldLog);
    if (oldSnapshot === snapshotFileName(this.#snapshotIndex)) return;
    await this.#folder.remove(oldSnapshot);
  }

  /** Removes a snapshot that no log file refers to, and the unfinished files of it and its log. */
  async abandonSnapshot(index: number): Promise<void> {
    this.#rewrite = undefined;
    await this.#folder.remove(PARTIAL_SNAPSHOT);
    await this.#folder.remove(PARTIAL_LOG);
    if (index === this.#snapshotIndex) return;
    await this.#folder.remove(snapshotFileName(index));
  }

  /**
   * Stores a chunk of a snapshot sent by the leader and returns the progress of the transfer. If the
   * completed snapshot does not match its hash, it is discarded and the transfer restarts at 0 bytes.
   */
  receiveChunk(chunk: SnapshotChunk): Promise<SnapshotProgress> {
    return this.#incoming.receive(chunk);
  }

  /** Reads the contents of a stored snapshot, part by part. */
  readContents(
    snapshot: SnapshotDescriptor,
    receiver: SnapshotReceiver,
  ): Promise<void> {
    const name = snapshotFileName(snapshot.meta.index);
    return readSnapshotFile({ folder: this.#folder, name }, receiver);
  }

  /** Reads a range of bytes of what a transfer sends of the stored snapshot. */
  readSnapshot(
    snapshot: SnapshotDescriptor,
    range: { readonly offset: Bytes; readonly length: Bytes },
  ): Promise<Uint8Array> {
    return this.#folder.readRange(snapshotFileName(snapshot.meta.index), {
      offset: range.offset + transferOffset(snapshot),
      length: range.length,
    });
  }

  /** Closes the data folder and releases its lock. */
  close(): Promise<void> {
    return this.#folder.close();
  }

  async #initialize(
    names: readonly string[],
    identity: string,
  ): Promise<RecoveredState> {
    if (names.some((name) => name.startsWith(SNAPSHOT_PREFIX))) {
      throw corruptionError(
        "the data folder contains a snapshot but no log file",
      );
    }
    this.#identity = identity;
    const log: LogContents = {
      hard: INITIAL_HARD_STATE,
      base: { index: 0, term: 0 },
      entries: [],
    };
    const owner = { identity, snapshotIndex: 0, format: SINGLE_VALUE_FORMAT };
    const name = logFileName(this.#sequence + 1);
    await this.#folder.replace(name, encodeBase(owner, log));
    this.#sequence += 1;
    return { ...log, identity, isNew: true, snapshot: null };
  }

  async #recover(name: string): Promise<RecoveredState> {
    const log = await recoverLog({ folder: this.#folder, name });
    const { owner, ...contents } = log;
    this.#identity = owner.identity;
    this.#snapshotIndex = owner.snapshotIndex;
    const snapshot = await this.#describeStoredSnapshot();
    const { identity } = owner;
    return { ...contents, snapshot, identity, isNew: false };
  }

  async #describeStoredSnapshot(): Promise<SnapshotDescriptor | null> {
    if (this.#snapshotIndex === 0) return null;
    const name = snapshotFileName(this.#snapshotIndex);
    if (!(await this.#folder.list()).includes(name)) {
      throw corruptionError(`${name} is missing`);
    }
    return describeSnapshot({ folder: this.#folder, name });
  }

  #logFileName(): string {
    return logFileName(this.#sequence);
  }

  #isObsolete(name: string): boolean {
    if (name.startsWith(PARTIAL_PREFIX)) return true;
    if (name.startsWith(INCOMING_PREFIX)) return false;
    if (name.startsWith(LOG_PREFIX)) return name !== this.#logFileName();
    if (!name.startsWith(SNAPSHOT_PREFIX)) return false;
    return name !== snapshotFileName(this.#snapshotIndex);
  }
}

function logFileName(sequence: number): string {
  return LOG_PREFIX + String(sequence).padStart(12, "0");
}

function snapshotFileName(index: number): string {
  return SNAPSHOT_PREFIX + String(index).padStart(16, "0");
}
