/**
 * Snapshot files: a header record, one record per part of the state of a state machine, and a closing record with
 * the number of parts. Earlier builds wrote a single record with the states of all state machines, which is still
 * read.
 *
 * @module
 */
import type { Bytes } from "#core";
import { decodeValue, encodeValue } from "#wire";
import { hashHex, RECORD_HEADER_BYTES, StreamingHash } from "./record.ts";
import type { RecordBuffer } from "./record_buffer.ts";
import { type FolderFile, hashFile, RecordReader } from "./record_reader.ts";
import {
  corruptionError,
  PARTS_FORMAT,
  SINGLE_VALUE_FORMAT,
  type SnapshotDescriptor,
  type SnapshotMeta,
} from "./stored_state.ts";

/** Part of the state of a state machine. */
export interface SnapshotPart {
  readonly machine: string;
  readonly part: unknown;
}

/** The state of the state machines after an entry is applied. */
export interface SnapshotCapture {
  readonly meta: SnapshotMeta;
  /** Names of the state machines, including those without parts. */
  readonly machines: readonly string[];
  readonly parts: Iterable<SnapshotPart>;
}

/** Receives the contents of a snapshot. */
export interface SnapshotReceiver {
  /** Names the state machines that the following parts belong to. */
  begin(machines: readonly string[]): void;
  /** Adds the next part. */
  add(part: SnapshotPart): void;
  /** Adds the states of a snapshot that is a single value, in the order of `MACHINE_NAMES`. */
  addStates(states: readonly unknown[]): void;
}

interface HeaderRecord {
  readonly format: number;
  readonly meta: SnapshotMeta;
  readonly machines: readonly string[];
}

type PartRecord = readonly [machine: string, part: unknown];

interface ClosingRecord {
  readonly parts: number;
}

interface SingleValue {
  readonly meta: SnapshotMeta;
  readonly states: readonly unknown[];
}

/** Writes a snapshot part by part to a new file. */
export class SnapshotWriter {
  readonly #file: FolderFile;
  readonly #writeBytes: Bytes;
  readonly #meta: SnapshotMeta;
  readonly #hash = new StreamingHash();
  readonly #buffer: RecordBuffer;
  #bytes: Bytes = 0;
  #parts = 0;

  constructor(
    file: FolderFile,
    options: {
      readonly capture: Omit<SnapshotCapture, "parts">;
      /** Records are collected until they have this size and then written at once. */
      readonly writeBytes: Bytes;
      /** Buffer that nothing else uses until the snapshot is finished or abandoned. */
      readonly buffer: RecordBuffer;
    },
  ) {
    this.#file = file;
    this.#writeBytes = options.writeBytes;
    this.#buffer = options.buffer;
    this.#buffer.clear();
    const { meta, machines } = options.capture;
    this.#meta = meta;
    const header: HeaderRecord = { format: PARTS_FORMAT, meta, machines };
    this.#addRecord(header);
  }

  /** Adds the next part; rejects with a `DiskFullError` if there is no space for it. */
  async add({ machine, part }: SnapshotPart): Promise<void> {
    const record: PartRecord = [machine, part];
    this.#addRecord(record);
    this.#parts += 1;
    if (this.#buffer.length >= this.#writeBytes) await this.#flush();
  }

  /** Writes the rest of the file and returns its descriptor. */
  async finish(): Promise<SnapshotDescriptor> {
    const closing: ClosingRecord = { parts: this.#parts };
    this.#addRecord(closing);
    await this.#flush();
    return {
      meta: this.#meta,
      bytes: this.#bytes,
      hash: this.#hash.digestHex(),
      format: PARTS_FORMAT,
    };
  }

  #addRecord(value: unknown): void {
    this.#buffer.add(encodeValue(value));
  }

  async #flush(): Promise<void> {
    const bytes = this.#buffer.bytes();
    await this.#file.folder.append(this.#file.name, bytes);
    this.#hash.update(bytes);
    this.#bytes += bytes.length;
    this.#buffer.clear();
  }
}

/** Checks a snapshot file and returns its descriptor; rejects with a `StorageError` if it is damaged. */
export async function describeSnapshot(
  file: FolderFile,
): Promise<SnapshotDescriptor> {
  const reader = await RecordReader.open(file);
  const first = await reader.next();
  if (first === undefined) throw damaged(file);
  const header = decodeValue(first) as HeaderRecord | SingleValue;
  if ("states" in header) {
    if (await reader.next() !== undefined) throw damaged(file);
    await checkEnd(file, reader);
    const { meta } = header;
    return describeSingleValue(meta, first);
  }
  if (header.format !== PARTS_FORMAT) throw unknownFormat(file, header.format);
  await checkParts(file, reader);
  const bytes = await file.folder.size(file.name);
  const hash = await hashFile(file);
  return { meta: header.meta, bytes, hash, format: PARTS_FORMAT };
}

/** Reads a snapshot file that `describeSnapshot` has checked. */
export async function readSnapshotFile(
  file: FolderFile,
  receiver: SnapshotReceiver,
): Promise<void> {
  const reader = await RecordReader.open(file);
  const first = await reader.next();
  if (first === undefined) throw damaged(file);
  const header = decodeValue(first) as HeaderRecord | SingleValue;
  if ("states" in header) {
    receiver.addStates(header.states);
    return;
  }
  receiver.begin(header.machines);
  for (
    let payload = await reader.next();
    payload !== undefined;
    payload = await reader.next()
  ) {
    const value = decodeValue(payload) as PartRecord | ClosingRecord;
    if ("parts" in value) return;
    const [machine, part] = value;
    receiver.add({ machine, part });
  }
  throw damaged(file);
}

/** Returns the descriptor of a snapshot that is a single value. */
export function describeSingleValue(
  meta: SnapshotMeta,
  payload: Uint8Array,
): SnapshotDescriptor {
  return {
    meta,
    bytes: payload.length,
    hash: hashHex(payload),
    format: SINGLE_VALUE_FORMAT,
  };
}

/** Returns the offset in its file of what a transfer sends of a snapshot. */
export function transferOffset(snapshot: SnapshotDescriptor): Bytes {
  return snapshot.format === SINGLE_VALUE_FORMAT ? RECORD_HEADER_BYTES : 0;
}

async function checkParts(
  file: FolderFile,
  reader: RecordReader,
): Promise<void> {
  let records = 0;
  let last: Uint8Array | undefined;
  for (
    let payload = await reader.next();
    payload !== undefined;
    payload = await reader.next()
  ) {
    last = payload;
    records += 1;
  }
  await checkEnd(file, reader);
  if (last === undefined) throw damaged(file);
  const closing = decodeValue(last) as Partial<ClosingRecord>;
  if (closing.parts !== records - 1) throw damaged(file);
}

async function checkEnd(file: FolderFile, reader: RecordReader): Promise<void> {
  if (await reader.fault() !== "none") throw damaged(file);
}

function damaged(file: FolderFile): Error {
  return corruptionError(`${file.name} is damaged`);
}

function unknownFormat(file: FolderFile, format: unknown): Error {
  return corruptionError(`${file.name} has the unknown format ${format}`);
}
