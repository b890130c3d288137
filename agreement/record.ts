/**
 * Checksummed records of the storage files. A record consists of a 4-byte magic number, a 4-byte length,
 * the 8-byte xxHash64 of the payload (seeded with its length), and the payload. Each record is one write,
 * so a crash can only damage the last record of a file.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import xxhash from "xxhash-wasm";
import type { Bytes } from "#core";

/** Bytes that every record starts with. */
export const MAGIC = Buffer.from([0xc1, 0xca, 0xda, 0x01]);
const LENGTH_OFFSET = 4;
const HASH_OFFSET = 8;

/** Length of the header that precedes the payload of a record. */
export const RECORD_HEADER_BYTES: Bytes = 16;

const hasher = await xxhash();

/** Returns the xxHash64 of bytes in hexadecimal. */
export function hashHex(bytes: Uint8Array): string {
  return formatHash(hasher.h64Raw(bytes));
}

/** Encodes a payload as a record. */
export function encodeRecord(payload: Uint8Array): Uint8Array {
  const record = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length);
  writeHeader(record, payload);
  record.set(payload, RECORD_HEADER_BYTES);
  return record;
}

/** Writes the header of a record with this payload to the start of `target`. */
export function writeHeader(target: Buffer, payload: Uint8Array): void {
  target.set(MAGIC, 0);
  target.writeUInt32BE(payload.length, LENGTH_OFFSET);
  target.writeBigUInt64BE(checksum(payload), HASH_OFFSET);
}

/** Length and checksum in the header of a record. */
export interface RecordHeader {
  readonly length: Bytes;
  readonly checksum: bigint;
}

/** Decodes the header of a record; returns undefined if the bytes are not a header. */
export function decodeHeader(bytes: Uint8Array): RecordHeader | undefined {
  if (bytes.length < RECORD_HEADER_BYTES) return undefined;
  const header = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  if (!isRecord(header)) return undefined;
  return {
    length: header.readUInt32BE(LENGTH_OFFSET),
    checksum: header.readBigUInt64BE(HASH_OFFSET),
  };
}

/** Whether bytes start like a record. */
export function isRecord(bytes: Uint8Array): boolean {
  return MAGIC.equals(bytes.subarray(0, MAGIC.length));
}

/** Returns the checksum of the payload of a record. */
export function checksum(payload: Uint8Array): bigint {
  return hasher.h64Raw(payload, BigInt(payload.length));
}

/** Computes a hash of bytes that arrive in several pieces. */
export class StreamingHash {
  readonly #hash: ReturnType<typeof hasher.create64>;

  /** A seed of the length of a payload results in its `checksum`, no seed in the value of `hashHex`. */
  constructor(seed = 0n) {
    this.#hash = hasher.create64(seed);
  }

  /** Adds the next piece. */
  update(bytes: Uint8Array): void {
    this.#hash.update(bytes);
  }

  /** Returns the hash of all pieces. */
  digest(): bigint {
    return this.#hash.digest();
  }

  /** Returns the hash of all pieces in hexadecimal. */
  digestHex(): string {
    return formatHash(this.digest());
  }
}

function formatHash(hash: bigint): string {
  return hash.toString(16).padStart(16, "0");
}
