/**
 * Checksummed records, as files hold them: 4 bytes mark, 4 bytes length, 8 bytes xxHash64 of the
 * payload, then the payload. One record is one write, so a crash can only spoil the last one.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import xxhash from "xxhash-wasm";
import type { Bytes } from "#core";

const MARK = Buffer.from([0xc1, 0xca, 0xda, 0x01]);
const LENGTH_OFFSET = 4;
const HASH_OFFSET = 8;

/** Bytes before the payload of a record. */
export const RECORD_HEADER_BYTES: Bytes = 16;

const hasher = await xxhash();

/** Hash of bytes, in hexadecimal. */
export function hashHex(bytes: Uint8Array): string {
  return hasher.h64Raw(bytes).toString(16).padStart(16, "0");
}

/** Builds the record of a payload. */
export function encodeRecord(payload: Uint8Array): Uint8Array {
  const record = Buffer.allocUnsafe(RECORD_HEADER_BYTES + payload.length);
  record.set(MARK, 0);
  record.writeUInt32BE(payload.length, LENGTH_OFFSET);
  record.writeBigUInt64BE(checksum(payload), HASH_OFFSET);
  record.set(payload, RECORD_HEADER_BYTES);
  return record;
}

/** What a file of records holds. */
export interface RecordScan {
  readonly payloads: readonly Uint8Array[];
  /** Bytes up to the end of the last good record. */
  readonly goodBytes: Bytes;
  /** `torn`: the last write is incomplete. `corrupt`: a good record follows a bad one. */
  readonly fault: "none" | "torn" | "corrupt";
}

/** Reads records until the end of the bytes or the first bad one. */
export function scanRecords(bytes: Uint8Array): RecordScan {
  const file = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  const payloads: Uint8Array[] = [];
  let at = 0;
  while (at < file.length) {
    const payload = recordAt(file, at);
    if (payload === undefined) {
      const fault = hasRecordAfter(file, at) ? "corrupt" : "torn";
      return { payloads, goodBytes: at, fault };
    }
    payloads.push(payload);
    at += RECORD_HEADER_BYTES + payload.length;
  }
  return { payloads, goodBytes: at, fault: "none" };
}

function recordAt(file: Buffer, at: number): Uint8Array | undefined {
  const start = at + RECORD_HEADER_BYTES;
  if (start > file.length) return undefined;
  if (MARK.compare(file, at, at + MARK.length) !== 0) return undefined;
  const end = start + file.readUInt32BE(at + LENGTH_OFFSET);
  if (end > file.length) return undefined;
  const payload = file.subarray(start, end);
  const stored = file.readBigUInt64BE(at + HASH_OFFSET);
  return stored === checksum(payload) ? payload : undefined;
}

function hasRecordAfter(file: Buffer, badAt: number): boolean {
  let at = file.indexOf(MARK, badAt + 1);
  while (at !== -1) {
    if (recordAt(file, at) !== undefined) return true;
    at = file.indexOf(MARK, at + 1);
  }
  return false;
}

function checksum(payload: Uint8Array): bigint {
  return hasher.h64Raw(payload, BigInt(payload.length));
}
