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

const MAGIC = Buffer.from([0xc1, 0xca, 0xda, 0x01]);
const LENGTH_OFFSET = 4;
const HASH_OFFSET = 8;

/** Length of the header that precedes the payload of a record. */
export const RECORD_HEADER_BYTES: Bytes = 16;

const hasher = await xxhash();

/** Returns the xxHash64 of bytes in hexadecimal. */
export function hashHex(bytes: Uint8Array): string {
  return hasher.h64Raw(bytes).toString(16).padStart(16, "0");
}

/** Encodes a payload as a record. */
export function encodeRecord(payload: Uint8Array): Uint8Array {
  const record = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length);
  record.set(MAGIC, 0);
  record.writeUInt32BE(payload.length, LENGTH_OFFSET);
  record.writeBigUInt64BE(checksum(payload), HASH_OFFSET);
  record.set(payload, RECORD_HEADER_BYTES);
  return record;
}

/** Result of scanning a file of records. */
export interface RecordScan {
  readonly payloads: readonly Uint8Array[];
  /** Length of the file up to the end of the last valid record. */
  readonly validBytes: Bytes;
  /** `torn`: the last write is incomplete. `corrupt`: a valid record follows an invalid one. */
  readonly fault: "none" | "torn" | "corrupt";
}

/** Reads records up to the end of the bytes or the first invalid record. */
export function scanRecords(bytes: Uint8Array): RecordScan {
  const file = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  const payloads: Uint8Array[] = [];
  let offset = 0;
  while (offset < file.length) {
    const payload = readPayloadAt(file, offset);
    if (payload === undefined) {
      const fault = hasValidRecordAfter(file, offset) ? "corrupt" : "torn";
      return { payloads, validBytes: offset, fault };
    }
    payloads.push(payload);
    offset += RECORD_HEADER_BYTES + payload.length;
  }
  return { payloads, validBytes: offset, fault: "none" };
}

function readPayloadAt(file: Buffer, start: number): Uint8Array | undefined {
  const payloadStart = start + RECORD_HEADER_BYTES;
  if (payloadStart > file.length) return undefined;
  if (MAGIC.compare(file, start, start + MAGIC.length) !== 0) return undefined;
  const end = payloadStart + file.readUInt32BE(start + LENGTH_OFFSET);
  if (end > file.length) return undefined;
  const payload = file.subarray(payloadStart, end);
  const storedChecksum = file.readBigUInt64BE(start + HASH_OFFSET);
  return storedChecksum === checksum(payload) ? payload : undefined;
}

function hasValidRecordAfter(file: Buffer, invalidOffset: number): boolean {
  let offset = file.indexOf(MAGIC, invalidOffset + 1);
  while (offset !== -1) {
    if (readPayloadAt(file, offset) !== undefined) return true;
    offset = file.indexOf(MAGIC, offset + 1);
  }
  return false;
}

function checksum(payload: Uint8Array): bigint {
  return hasher.h64Raw(payload, BigInt(payload.length));
}
