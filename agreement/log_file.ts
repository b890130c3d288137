/**
 * Log files: a base record, followed by one record per batch.
 *
 * @module
 */
import type { Bytes } from "#core";
import { decodeValue, encodeValue } from "#wire";
import type { EntryPosition, LogEntry } from "./entries.ts";
import { packEntry, unpackEntry, type WireEntry } from "./messages.ts";
import { encodeRecord } from "./record.ts";
import type { RecordBuffer } from "./record_buffer.ts";
import { type FolderFile, RecordReader } from "./record_reader.ts";
import {
  corruptionError,
  type DurableBatch,
  type HardState,
  type LogContents,
  PARTS_FORMAT,
  SINGLE_VALUE_FORMAT,
} from "./stored_state.ts";

/** Identity and snapshot that a log file names beside its contents. */
export interface LogOwner {
  readonly identity: string;
  /** Index of the snapshot that precedes the log; 0 if there is none. */
  readonly snapshotIndex: number;
  /** Format of that snapshot: a build that can't read the snapshot must not use the log either. */
  readonly format: number;
}

interface BaseRecord extends LogOwner {
  readonly hard: HardState;
  readonly base: EntryPosition;
  /** Empty since batch records follow; earlier builds wrote all entries here at a compaction. */
  readonly entries: readonly WireEntry[];
}

interface BatchRecord {
  readonly hard: HardState | null;
  readonly entries: readonly WireEntry[];
}

/** Contents of a log file. */
export interface RecoveredLog extends LogContents {
  readonly owner: LogOwner;
}

/** Encodes the first record of a log file. */
export function encodeBase(
  owner: LogOwner,
  log: Omit<LogContents, "entries">,
): Uint8Array {
  const { hard, base } = log;
  const record: BaseRecord = { ...owner, hard, base, entries: [] };
  return encodeRecord(encodeValue(record));
}

/** Encodes the payload of the record of a batch. */
function encodeBatch(batch: DurableBatch): Uint8Array {
  const record: BatchRecord = {
    hard: batch.hard,
    entries: batch.entries.map(packEntry),
  };
  return encodeValue(record);
}

/** Appends the record of a batch to a log file; `buffer` must be unused, and is when the promise settles. */
export async function appendBatch(
  file: FolderFile,
  batch: DurableBatch,
  buffer: RecordBuffer,
): Promise<void> {
  buffer.add(encodeBatch(batch));
  try {
    await file.folder.append(file.name, buffer.bytes());
  } finally {
    buffer.clear();
  }
}

/** Reads a log file and truncates an incomplete last record; rejects with a `StorageError` if it is corrupt. */
export async function recoverLog(file: FolderFile): Promise<RecoveredLog> {
  const reader = await RecordReader.open(file);
  const first = await reader.next();
  if (first === undefined) throw invalidRecord(file, reader);
  const { hard, base, entries, ...owner } = decodeValue(first) as BaseRecord;
  if (![SINGLE_VALUE_FORMAT, PARTS_FORMAT].includes(owner.format)) {
    throw corruptionError(
      `${file.name} has the unknown format version ${owner.format}`,
    );
  }
  const replay = new Replay({ hard, base, entries: entries.map(unpackEntry) });
  for (
    let payload = await reader.next();
    payload !== undefined;
    payload = await reader.next()
  ) {
    replay.add(decodeValue(payload) as BatchRecord);
  }
  const fault = await reader.fault();
  if (fault === "corrupt") throw invalidRecord(file, reader);
  if (fault === "torn") {
    await file.folder.truncate(file.name, reader.validBytes);
  }
  return { ...replay.contents(), owner };
}

/** Applies the batches of a log file in their order. */
class Replay {
  readonly #base: EntryPosition;
  readonly #entries: LogEntry[];
  #hard: HardState;

  constructor(log: LogContents) {
    this.#base = log.base;
    this.#hard = log.hard;
    this.#entries = [...log.entries];
  }

  add(batch: BatchRecord): void {
    this.#hard = batch.hard ?? this.#hard;
    const first = batch.entries[0];
    if (first === undefined) return;
    this.#entries.length = first[0] - this.#base.index - 1;
    for (const packed of batch.entries) this.#entries.push(unpackEntry(packed));
  }

  contents(): LogContents {
    return { hard: this.#hard, base: this.#base, entries: this.#entries };
  }
}

/** Writes a new log file piece by piece, while batches are still appended to the old one. */
export class LogRewrite {
  readonly #file: FolderFile;
  readonly #owner: LogOwner;
  readonly #log: LogContents;
  readonly #writeBytes: Bytes;
  readonly #buffer: RecordBuffer;
  /** Batches appended to the old file since the rewrite began. */
  readonly #batches: DurableBatch[] = [];
  #hasBase = false;
  #writtenEntries = 0;

  constructor(
    file: FolderFile,
    options: {
      readonly owner: LogOwner;
      readonly log: LogContents;
      /** Approximate size of each write. */
      readonly writeBytes: Bytes;
      readonly buffer: RecordBuffer;
    },
  ) {
    this.#file = file;
    this.#owner = options.owner;
    this.#log = options.log;
    this.#writeBytes = options.writeBytes;
    this.#buffer = options.buffer;
  }

  /** Index of the snapshot that the new file names. */
  get snapshotIndex(): number {
    return this.#owner.snapshotIndex;
  }

  /** Adds a batch that was appended to the old file. */
  addBatch(batch: DurableBatch): void {
    this.#batches.push(batch);
  }

  /** Writes the next piece; returns false if there is none. A write that failed on a full disk can be repeated. */
  async writeNext(): Promise<boolean> {
    const { folder, name } = this.#file;
    if (!this.#hasBase) {
      await folder.replace(name, encodeBase(this.#owner, this.#log));
      this.#hasBase = true;
      return true;
    }
    const entries = this.#nextEntries();
    if (entries.length > 0) {
      await appendBatch(this.#file, { hard: null, entries }, this.#buffer);
      this.#writtenEntries += entries.length;
      return true;
    }
    const batch = this.#batches[0];
    if (batch === undefined) return false;
    await appendBatch(this.#file, batch, this.#buffer);
    this.#batches.shift();
    return true;
  }

  #nextEntries(): readonly LogEntry[] {
    const { entries } = this.#log;
    const start = this.#writtenEntries;
    let bytes = 0;
    let end = start;
    while (end < entries.length) {
      bytes += entries[end]?.body.length ?? 0;
      if (bytes > this.#writeBytes && end > start) break;
      end += 1;
    }
    return entries.slice(start, end);
  }
}

function invalidRecord(file: FolderFile, reader: RecordReader): Error {
  return corruptionError(
    `${file.name} has an invalid record at byte ${reader.validBytes}`,
  );
}
