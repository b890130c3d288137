/**
 * Durable storage of a replica: its identity, term, vote, log entries and snapshot.
 *
 * Files: `log-N` contains a base record followed by one record per batch; the log with the highest N
 * is current. `snapshot-I` is a single record with the state after entry I. `incoming-H` is a partially
 * received snapshot with hash H; it is kept across restarts so that the transfer can resume.
 *
 * @module
 */
import { type Bytes, fail, type Milliseconds } from "#core";
import { decodeValue, encodeValue } from "#wire";
import { type DataFolder, StorageError } from "./data_folder.ts";
import type { EntryPosition, LogEntry } from "./entries.ts";
import { packEntry, unpackEntry, type WireEntry } from "./messages.ts";
import { encodeRecord, RECORD_HEADER_BYTES, scanRecords } from "./record.ts";
import { hashHex } from "./record.ts";
import type { IndexedVoterChange } from "./voters.ts";

const FORMAT_VERSION = 1;
const LOG_PREFIX = "log-";
const SNAPSHOT_PREFIX = "snapshot-";
const INCOMING_PREFIX = "incoming-";

/** Raft hard state of a replica: term, vote, group and committed voter change. */
export interface HardState {
  readonly term: number;
  /** Replica that this one voted for in the term, or null if it has not voted. */
  readonly votedFor: string | null;
  /** Group that this replica belongs to, or null before it joins one. */
  readonly group: string | null;
  /** Index of the latest voter change known to be committed. */
  readonly committedSeatsIndex: number;
}

const INITIAL_HARD_STATE: HardState = {
  term: 0,
  votedFor: null,
  group: null,
  committedSeatsIndex: 0,
};

/** Position, time and voters at the last entry that a snapshot includes. */
export interface SnapshotMeta extends EntryPosition {
  readonly atMs: Milliseconds;
  readonly seats: IndexedVoterChange;
}

/** The state of all state machines after an entry is applied. */
export interface Snapshot {
  readonly meta: SnapshotMeta;
  /** States of the state machines, in the order of `MACHINE_NAMES`. */
  readonly states: readonly unknown[];
}

/** Describes a serialized snapshot: its metadata and the size and hash of its CBOR encoding. */
export interface SnapshotDescriptor {
  readonly meta: SnapshotMeta;
  readonly bytes: Bytes;
  readonly hash: string;
}

/** A snapshot together with its descriptor and CBOR encoding. */
export interface SerializedSnapshot {
  readonly snapshot: Snapshot;
  readonly descriptor: SnapshotDescriptor;
  readonly payload: Uint8Array;
}

/** A chunk of a snapshot sent by the leader. */
export interface SnapshotChunk {
  readonly hash: string;
  readonly offset: Bytes;
  readonly total: Bytes;
  readonly bytes: Uint8Array;
}

/** Progress of a snapshot transfer. */
export interface SnapshotProgress {
  /** Number of bytes received and stored so far. */
  readonly bytes: Bytes;
  /** The snapshot, once all of its bytes have been received and match the hash. */
  readonly complete: SerializedSnapshot | null;
}

/** Changes that become durable together with one sync. */
export interface DurableBatch {
  readonly hard: HardState | null;
  readonly entries: readonly LogEntry[];
}

/** Hard state and entries of a log, with the position that precedes the entries. */
export interface LogContents {
  readonly hard: HardState;
  /** Position immediately before the first entry. */
  readonly base: EntryPosition;
  readonly entries: readonly LogEntry[];
}

/** State read from the data folder at startup. */
export interface RecoveredState extends LogContents {
  readonly identity: string;
  /** Whether the folder contained no log, so that the identity was newly generated. */
  readonly isNew: boolean;
  readonly snapshot: Snapshot | null;
  readonly descriptor: SnapshotDescriptor | null;
}

interface BaseRecord {
  readonly format: number;
  readonly identity: string;
  readonly hard: HardState;
  readonly base: EntryPosition;
  readonly snapshotIndex: number;
  readonly entries: readonly WireEntry[];
}

interface BatchRecord {
  readonly hard: HardState | null;
  readonly entries: readonly WireEntry[];
}

/** Stores the state of one replica in a data folder. Call `open` before any other method. */
export class LogStorage {
  readonly #folder: DataFolder;
  #identity = "";
  #sequence = 0;
  #snapshotIndex = 0;
  #incomingName: string | null = null;
  #incomingBytes: Bytes = 0;

  constructor(folder: DataFolder) {
    this.#folder = folder;
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
  append(batch: DurableBatch): Promise<void> {
    const record: BatchRecord = {
      hard: batch.hard,
      entries: batch.entries.map(packEntry),
    };
    const bytes = encodeRecord(encodeValue(record));
    return this.#folder.append(this.#logFileName(), bytes);
  }

  /** Stores a snapshot and replaces the log file by a new one that refers to it. */
  async saveSnapshot(
    snapshot: SerializedSnapshot,
    log: LogContents,
  ): Promise<void> {
    const { index } = snapshot.descriptor.meta;
    await this.#folder.replace(
      snapshotFileName(index),
      encodeRecord(snapshot.payload),
    );
    try {
      await this.#startLogFile(index, log);
    } catch (error) {
      // No log file refers to the new snapshot, so it would only use disk space.
      const unused = index !== this.#snapshotIndex;
      if (unused) await this.#folder.remove(snapshotFileName(index));
      throw error;
    }
  }

  /**
   * Stores a chunk of a snapshot sent by the leader and returns the progress of the transfer. If the
   * completed snapshot does not match its hash, it is discarded and the transfer restarts at 0 bytes.
   */
  async receiveChunk(chunk: SnapshotChunk): Promise<SnapshotProgress> {
    const name = INCOMING_PREFIX + chunk.hash;
    await this.#openIncoming(name);
    if (chunk.offset === this.#incomingBytes && chunk.bytes.length > 0) {
      await this.#folder.append(name, chunk.bytes);
      this.#incomingBytes += chunk.bytes.length;
    }
    if (this.#incomingBytes < chunk.total) {
      return { bytes: this.#incomingBytes, complete: null };
    }
    const payload = await this.#folder.read(name);
    await this.#folder.remove(name);
    this.#incomingName = null;
    if (hashHex(payload) !== chunk.hash) return { bytes: 0, complete: null };
    return {
      bytes: chunk.total,
      complete: deserializeSnapshot(payload),
    };
  }

  async #openIncoming(name: string): Promise<void> {
    if (this.#incomingName === name) return;
    const names = await this.#folder.list();
    for (const other of names) {
      if (!other.startsWith(INCOMING_PREFIX) || other === name) continue;
      await this.#folder.remove(other);
    }
    const stored = names.includes(name) ? await this.#folder.read(name) : null;
    this.#incomingBytes = stored?.length ?? 0;
    this.#incomingName = name;
  }

  /** Reads a range of bytes of the stored snapshot. */
  readSnapshot(
    snapshot: SnapshotDescriptor,
    range: { readonly offset: Bytes; readonly length: Bytes },
  ): Promise<Uint8Array> {
    return this.#folder.readRange(snapshotFileName(snapshot.meta.index), {
      offset: range.offset + RECORD_HEADER_BYTES,
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
    await this.#startLogFile(0, log);
    return { ...log, identity, isNew: true, snapshot: null, descriptor: null };
  }

  async #recover(name: string): Promise<RecoveredState> {
    const scan = scanRecords(await this.#folder.read(name));
    const [first, ...rest] = scan.payloads;
    if (scan.fault === "corrupt" || first === undefined) {
      throw corruptionError(
        `${name} has an invalid record at byte ${scan.validBytes}`,
      );
    }
    if (scan.fault === "torn") {
      await this.#folder.truncate(name, scan.validBytes);
    }
    const base = decodeValue(first) as BaseRecord;
    if (base.format !== FORMAT_VERSION) {
      throw corruptionError(
        `${name} has format version ${base.format}, expected ${FORMAT_VERSION}`,
      );
    }
    this.#identity = base.identity;
    this.#snapshotIndex = base.snapshotIndex;
    const replayed = replayBatches(base, rest);
    const snapshot = await this.#readStoredSnapshot();
    return { ...replayed, ...snapshot, identity: base.identity, isNew: false };
  }

  async #readStoredSnapshot(): Promise<
    Pick<RecoveredState, "snapshot" | "descriptor">
  > {
    if (this.#snapshotIndex === 0) return { snapshot: null, descriptor: null };
    const name = snapshotFileName(this.#snapshotIndex);
    if (!(await this.#folder.list()).includes(name)) {
      throw corruptionError(`${name} is missing`);
    }
    const scan = scanRecords(await this.#folder.read(name));
    const payload = scan.payloads[0];
    if (scan.fault !== "none" || payload === undefined) {
      throw corruptionError(`${name} is damaged`);
    }
    const { snapshot, descriptor } = deserializeSnapshot(payload);
    return { snapshot, descriptor };
  }

  async #startLogFile(snapshotIndex: number, log: LogContents): Promise<void> {
    const record: BaseRecord = {
      format: FORMAT_VERSION,
      identity: this.#identity,
      hard: log.hard,
      base: log.base,
      snapshotIndex,
      entries: log.entries.map(packEntry),
    };
    const oldLog = this.#logFileName();
    const oldSnapshot = snapshotFileName(this.#snapshotIndex);
    const bytes = encodeRecord(encodeValue(record));
    await this.#folder.replace(logFileName(this.#sequence + 1), bytes);
    this.#sequence += 1;
    this.#snapshotIndex = snapshotIndex;
    await this.#folder.remove(oldLog);
    if (oldSnapshot === snapshotFileName(snapshotIndex)) return;
    await this.#folder.remove(oldSnapshot);
  }

  #logFileName(): string {
    return logFileName(this.#sequence);
  }

  #isObsolete(name: string): boolean {
    if (name.startsWith(INCOMING_PREFIX)) return false;
    if (name.startsWith(LOG_PREFIX)) return name !== this.#logFileName();
    if (!name.startsWith(SNAPSHOT_PREFIX)) return false;
    return name !== snapshotFileName(this.#snapshotIndex);
  }
}

function replayBatches(
  base: BaseRecord,
  batches: readonly Uint8Array[],
): LogContents {
  let hard = base.hard;
  const entries: LogEntry[] = base.entries.map(unpackEntry);
  for (const payload of batches) {
    const batch = decodeValue(payload) as BatchRecord;
    hard = batch.hard ?? hard;
    const first = batch.entries[0];
    if (first !== undefined) entries.length = first[0] - base.base.index - 1;
    for (const packed of batch.entries) entries.push(unpackEntry(packed));
  }
  return { hard, base: base.base, entries };
}

/** Encodes a snapshot as CBOR and computes its descriptor. */
export function serializeSnapshot(snapshot: Snapshot): SerializedSnapshot {
  return withDescriptor(snapshot, encodeValue(snapshot));
}

function deserializeSnapshot(payload: Uint8Array): SerializedSnapshot {
  return withDescriptor(decodeValue(payload) as Snapshot, payload);
}

function withDescriptor(
  snapshot: Snapshot,
  payload: Uint8Array,
): SerializedSnapshot {
  const descriptor = {
    meta: snapshot.meta,
    bytes: payload.length,
    hash: hashHex(payload),
  };
  return { snapshot, descriptor, payload };
}

function logFileName(sequence: number): string {
  return LOG_PREFIX + String(sequence).padStart(12, "0");
}

function snapshotFileName(index: number): string {
  return SNAPSHOT_PREFIX + String(index).padStart(16, "0");
}

function corruptionError(message: string): StorageError {
  return new StorageError(fail("storage_corrupt", message));
}
