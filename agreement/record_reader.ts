/**
 * Reads a file of records in windows of limited size.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type Bytes, MEBIBYTE } from "#core";
import type { DataFolder } from "./data_folder.ts";
import {
  checksum,
  decodeHeader,
  MAGIC,
  RECORD_HEADER_BYTES,
  type RecordHeader,
  StreamingHash,
} from "./record.ts";

const WINDOW_BYTES: Bytes = MEBIBYTE;

/** Why reading ended. `torn`: the last write is incomplete. `corrupt`: a valid record follows an invalid one. */
export type RecordFault = "none" | "torn" | "corrupt";

/** A file of a data folder. */
export interface FolderFile {
  readonly folder: DataFolder;
  readonly name: string;
}

/**
 * Reads the records of a file one after the other.
 *
 * @example
 * ```ts
 * const reader = await RecordReader.open({ folder, name: "log-000000000001" });
 * for (let payload = await reader.next(); payload !== undefined; payload = await reader.next()) {
 *   replay(decodeValue(payload));
 * }
 * if (await reader.fault() === "corrupt") throw corruptionError("...");
 * ```
 */
export class RecordReader {
  readonly #file: FolderFile;
  readonly #size: Bytes;
  #window: Buffer = Buffer.alloc(0);
  #windowStart: Bytes = 0;
  #validBytes: Bytes = 0;

  /** Opens a file; records appended later are not read. */
  static async open(file: FolderFile): Promise<RecordReader> {
    return new RecordReader(file, await file.folder.size(file.name));
  }

  private constructor(file: FolderFile, size: Bytes) {
    this.#file = file;
    this.#size = size;
  }

  /** Length of the file up to the end of the last record read. */
  get validBytes(): Bytes {
    return this.#validBytes;
  }

  /** Returns the payload of the next record, or undefined at the end or at an invalid record. */
  async next(): Promise<Uint8Array | undefined> {
    const payload = await this.#payloadAt(this.#validBytes);
    if (payload === undefined) return undefined;
    this.#validBytes += RECORD_HEADER_BYTES + payload.length;
    return payload;
  }

  /** Returns why `next` returned undefined. */
  async fault(): Promise<RecordFault> {
    if (this.#validBytes === this.#size) return "none";
    const isCorrupt = await this.#hasValidRecordAfter(this.#validBytes);
    return isCorrupt ? "corrupt" : "torn";
  }

  async #payloadAt(offset: Bytes): Promise<Uint8Array | undefined> {
    const start = offset + RECORD_HEADER_BYTES;
    if (start > this.#size) return undefined;
    const bytes = await this.#range(offset, RECORD_HEADER_BYTES);
    const header = decodeHeader(bytes);
    if (header === undefined || start + header.length > this.#size) {
      return undefined;
    }
    if (!await this.#isIntact(start, header)) return undefined;
    // A copy, since values decoded from it may refer to it and would retain the window.
    return new Uint8Array(await this.#range(start, header.length));
  }

  /** Whether a payload has its checksum; a large one is not held in memory, since its length may be damaged. */
  async #isIntact(start: Bytes, header: RecordHeader): Promise<boolean> {
    if (header.length <= WINDOW_BYTES) {
      const payload = await this.#range(start, header.length);
      return checksum(payload) === header.checksum;
    }
    const hash = new StreamingHash(BigInt(header.length));
    const end = start + header.length;
    for (let offset = start; offset < end; offset += WINDOW_BYTES) {
      const length = Math.min(WINDOW_BYTES, end - offset);
      hash.update(await this.#range(offset, length));
    }
    return hash.digest() === header.checksum;
  }

  async #hasValidRecordAfter(invalidOffset: Bytes): Promise<boolean> {
    let start = invalidOffset + 1;
    while (start + RECORD_HEADER_BYTES <= this.#size) {
      const length = Math.min(WINDOW_BYTES, this.#size - start);
      const window = Buffer.from(await this.#range(start, length));
      let found = window.indexOf(MAGIC);
      while (found !== -1) {
        if (await this.#payloadAt(start + found) !== undefined) return true;
        found = window.indexOf(MAGIC, found + 1);
      }
      // The magic number of a record may begin in one window and end in the next.
      start += length - MAGIC.length + 1;
    }
    return false;
  }

  async #range(offset: Bytes, length: Bytes): Promise<Buffer> {
    const start = offset - this.#windowStart;
    if (start < 0 || start + length > this.#window.length) {
      await this.#load(offset, Math.max(length, WINDOW_BYTES));
      return this.#window.subarray(0, length);
    }
    return this.#window.subarray(start, start + length);
  }

  async #load(offset: Bytes, length: Bytes): Promise<void> {
    const { folder, name } = this.#file;
    const available = Math.min(length, this.#size - offset);
    const bytes = await folder.readRange(name, { offset, length: available });
    this.#window = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
    this.#windowStart = offset;
  }
}

/** Returns the hash of a file in hexadecimal, equal to `hashHex` of its bytes. */
export async function hashFile(file: FolderFile): Promise<string> {
  const { folder, name } = file;
  const size = await folder.size(name);
  const hash = new StreamingHash();
  for (let offset = 0; offset < size; offset += WINDOW_BYTES) {
    hash.update(await folder.readRange(name, { offset, length: WINDOW_BYTES }));
  }
  return hash.digestHex();
}
