/**
 * The durable state of a replica: its identity, term and vote, entries and snapshot.
 *
 * Files: `log-N` is one base record and then one record for each batch; the greatest N counts.
 * `snapshot-I` is one record with the state after entry I. `incoming-H` is a snapshot of hash H
 * on its way; it stays over a restart, so that the transfer can go on.
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
import type { PlacedSeats } from "./seats.ts";

const FORMAT = 1;
const LOG_PREFIX = "log-";
const SNAPSHOT_PREFIX = "snapshot-";
const INCOMING_PREFIX = "incoming-";

/** Term, vote and group of a replica. */
export interface HardState {
  readonly term: number;
  /** Replica that has this one's vote in the term. */
  readonly votedFor: string | null;
  /** Group that this replica belongs to, or null before it has one. */
  readonly group: string | null;
  /** Index of the newest change of voters known to be committed. */
  readonly committedSeatsIndex: number;
}

const NEW_HARD_STATE: HardState = {
  term: 0,
  votedFor: null,
  group: null,
  committedSeatsIndex: 0,
};

/** What a snapshot stands for. */
export interface SnapshotMeta extends EntryPosition {
  readonly atMs: Milliseconds;
  readonly seats: PlacedSeats;
}

/** The state of all machines after an entry. */
export interface Snapshot {
  readonly meta: SnapshotMeta;
  /** States of the machines, in the order of `MACHINE_NAMES`. */
  readonly states: readonly unknown[];
}

/** A snapshot as stored and sent: its CBOR and the hash of that. */
export interface SnapshotDescriptor {
  readonly meta: SnapshotMeta;
  readonly bytes: Bytes;
  readonly hash: string;
}

/** A snapshot with its CBOR. */
export interface SerializedSnapshot {
  readonly snapshot: Snapshot;
  readonly descriptor: SnapshotDescriptor;
  readonly payload: Uint8Array;
}

/** Part of a snapshot that the leader sends. */
export interface SnapshotChunk {
  readonly hash: string;
  readonly offset: Bytes;
  readonly total: Bytes;
  readonly bytes: Uint8Array;
}

/** How much of a snapshot is held, and the snapshot once it is whole. */
export interface ReceivedSnapshot {
  readonly bytes: Bytes;
  readonly complete: SerializedSnapshot | null;
}

/** Changes that one sync makes durable together. */
export interface DurableBatch {
  readonly hard: HardState | null;
  readonly entries: readonly LogEntry[];
}

/** What the log file starts from. */
export interface LogContents {
  readonly hard: HardState;
  /** Position before the first entry. */
  readonly base: EntryPosition;
  readonly entries: readonly LogEntry[];
}

/** What was found on the disk. */
export interface RecoveredState extends LogContents {
  readonly identity: string;
  /** Whether the folder was empty, so that the identity is new. */
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

/** Keeps the state of one replica in a data folder. Every method but `open` needs `open` first. */
export class LogStorage {
  readonly #folder: DataFolder;
  #identity = "";
  #sequence = 0;
  #snapshotIndex = 0;
  #incoming: string | null = null;
  #incomingBytes: Bytes = 0;

  constructor(folder: DataFolder) {
    this.#folder = folder;
  }

  /** Locks the folder and reads it; rejects with a `StorageError` if it is corrupt. */
  async open(newIdentity: () => string): Promise<RecoveredState> {
    await this.#folder.lock();
    const names = await this.#folder.list();
    const logs = names.filter((name) => name.startsWith(LOG_PREFIX)).sort();
    const newest = logs.at(-1);
    if (newest === undefined) return this.#create(names, newIdentity());
    this.#sequence = Number(newest.slice(LOG_PREFIX.length));
    const recovered = await this.#recover(newest);
    for (const name of names) {
      if (this.#isObsolete(name)) await this.#folder.remove(name);
    }
    return recovered;
  }

  /** Makes a batch durable with one sync. */
  append(batch: DurableBatch): Promise<void> {
    const record: BatchRecord = {
      hard: batch.hard,
      entries: batch.entries.map(packEntry),
    };
    const bytes = encodeRecord(encodeValue(record));
    return this.#folder.append(this.#logName(), bytes);
  }

  /** Stores a snapshot and starts a new log file behind it. */
  async saveSnapshot(
    snapshot: SerializedSnapshot,
    log: LogContents,
  ): Promise<void> {
    const { index } = snapshot.descriptor.meta;
    await this.#folder.replace(
      snapshotName(index),
      encodeRecord(snapshot.payload),
    );
    try {
      await this.#startLog(index, log);
    } catch (error) {
      // No log names it, so that it would only take room.
      const unused = index !== this.#snapshotIndex;
      if (unused) await this.#folder.remove(snapshotName(index));
      throw error;
    }
  }

  /** Keeps a chunk of a snapshot that the leader sends. Gives what is held, and the whole at the end. */
  async receiveChunk(chunk: SnapshotChunk): Promise<ReceivedSnapshot> {
    const name = INCOMING_PREFIX + chunk.hash;
    await this.#chooseIncoming(name);
    if (chunk.offset === this.#incomingBytes && chunk.bytes.length > 0) {
      await this.#folder.append(name, chunk.bytes);
      this.#incomingBytes += chunk.bytes.length;
    }
    if (this.#incomingBytes < chunk.total) {
      return { bytes: this.#incomingBytes, complete: null };
    }
    const payload = await this.#folder.read(name);
    await this.#folder.remove(name);
    this.#incoming = null;
    if (hashHex(payload) !== chunk.hash) return { bytes: 0, complete: null };
    return {
      bytes: chunk.total,
      complete: deserializeSnapshot(payload),
    };
  }

  async #chooseIncoming(name: string): Promise<void> {
    if (this.#incoming === name) return;
    const names = await this.#folder.list();
    for (const other of names) {
      if (!other.startsWith(INCOMING_PREFIX) || other === name) continue;
      await this.#folder.remove(other);
    }
    const held = names.includes(name) ? await this.#folder.read(name) : null;
    this.#incomingBytes = held?.length ?? 0;
    this.#incoming = name;
  }

  /** Reads part of the stored snapshot. */
  readSnapshot(
    snapshot: SnapshotDescriptor,
    part: { readonly offset: Bytes; readonly length: Bytes },
  ): Promise<Uint8Array> {
    return this.#folder.readRange(snapshotName(snapshot.meta.index), {
      offset: part.offset + RECORD_HEADER_BYTES,
      length: part.length,
    });
  }

  /** Closes the folder. */
  close(): Promise<void> {
    return this.#folder.close();
  }

  async #create(
    names: readonly string[],
    identity: string,
  ): Promise<RecoveredState> {
    if (names.some((name) => name.startsWith(SNAPSHOT_PREFIX))) {
      throw corrupt("the data folder has a snapshot but no log");
    }
    this.#identity = identity;
    const log: LogContents = {
      hard: NEW_HARD_STATE,
      base: { index: 0, term: 0 },
      entries: [],
    };
    await this.#startLog(0, log);
    return { ...log, identity, isNew: true, snapshot: null, descriptor: null };
  }

  async #recover(name: string): Promise<RecoveredState> {
    const scan = scanRecords(await this.#folder.read(name));
    const [first, ...rest] = scan.payloads;
    if (scan.fault === "corrupt" || first === undefined) {
      throw corrupt(`${name} has a bad record at byte ${scan.goodBytes}`);
    }
    if (scan.fault === "torn") {
      await this.#folder.truncate(name, scan.goodBytes);
    }
    const base = decodeValue(first) as BaseRecord;
    if (base.format !== FORMAT) {
      throw corrupt(`${name} has format ${base.format}, not ${FORMAT}`);
    }
    this.#identity = base.identity;
    this.#snapshotIndex = base.snapshotIndex;
    const replayed = replay(base, rest);
    const snapshot = await this.#readStoredSnapshot();
    return { ...replayed, ...snapshot, identity: base.identity, isNew: false };
  }

  async #readStoredSnapshot(): Promise<
    Pick<RecoveredState, "snapshot" | "descriptor">
  > {
    if (this.#snapshotIndex === 0) return { snapshot: null, descriptor: null };
    const name = snapshotName(this.#snapshotIndex);
    if (!(await this.#folder.list()).includes(name)) {
      throw corrupt(`${name} is missing`);
    }
    const scan = scanRecords(await this.#folder.read(name));
    const payload = scan.payloads[0];
    if (scan.fault !== "none" || payload === undefined) {
      throw corrupt(`${name} is damaged`);
    }
    const { snapshot, descriptor } = deserializeSnapshot(payload);
    return { snapshot, descriptor };
  }

  async #startLog(snapshotIndex: number, log: LogContents): Promise<void> {
    const record: BaseRecord = {
      format: FORMAT,
      identity: this.#identity,
      hard: log.hard,
      base: log.base,
      snapshotIndex,
      entries: log.entries.map(packEntry),
    };
    const oldLog = this.#logName();
    const oldSnapshot = snapshotName(this.#snapshotIndex);
    const bytes = encodeRecord(encodeValue(record));
    await this.#folder.replace(logName(this.#sequence + 1), bytes);
    this.#sequence += 1;
    this.#snapshotIndex = snapshotIndex;
    await this.#folder.remove(oldLog);
    if (oldSnapshot === snapshotName(snapshotIndex)) return;
    await this.#folder.remove(oldSnapshot);
  }

  #logName(): string {
    return logName(this.#sequence);
  }

  #isObsolete(name: string): boolean {
    if (name.startsWith(INCOMING_PREFIX)) return false;
    if (name.startsWith(LOG_PREFIX)) return name !== this.#logName();
    if (!name.startsWith(SNAPSHOT_PREFIX)) return false;
    return name !== snapshotName(this.#snapshotIndex);
  }
}

function replay(base: BaseRecord, batches: readonly Uint8Array[]): LogContents {
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

/** Encodes a snapshot. */
export function serializeSnapshot(snapshot: Snapshot): SerializedSnapshot {
  return describe(snapshot, encodeValue(snapshot));
}

function deserializeSnapshot(payload: Uint8Array): SerializedSnapshot {
  return describe(decodeValue(payload) as Snapshot, payload);
}

function describe(snapshot: Snapshot, payload: Uint8Array): SerializedSnapshot {
  const descriptor = {
    meta: snapshot.meta,
    bytes: payload.length,
    hash: hashHex(payload),
  };
  return { snapshot, descriptor, payload };
}

function logName(sequence: number): string {
  return LOG_PREFIX + String(sequence).padStart(12, "0");
}

function snapshotName(index: number): string {
  return SNAPSHOT_PREFIX + String(index).padStart(16, "0");
}

function corrupt(message: string): StorageError {
  return new StorageError(fail("storage_corrupt", message));
}
