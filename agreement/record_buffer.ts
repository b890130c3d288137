/**
 * Collects records in one buffer that is used again for every write, so that writing leaves no garbage of the size
 * of what is written.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { type Bytes, KIBIBYTE, MEBIBYTE } from "#core";
import { RECORD_HEADER_BYTES, writeHeader } from "./record.ts";

const INITIAL_BYTES: Bytes = 64 * KIBIBYTE;
/** A larger buffer is not used again. */
const MAXIMUM_REUSED_BYTES: Bytes = 2 * MEBIBYTE;

/** Records that are written together. */
export class RecordBuffer {
  #buffer = Buffer.allocUnsafeSlow(INITIAL_BYTES);
  #length: Bytes = 0;

  /** Size of the records. */
  get length(): Bytes {
    return this.#length;
  }

  /** Adds a record with this payload. */
  add(payload: Uint8Array): void {
    const start = this.#length;
    const end = start + RECORD_HEADER_BYTES + payload.length;
    this.#reserve(end);
    writeHeader(this.#buffer.subarray(start, end), payload);
    this.#buffer.set(payload, start + RECORD_HEADER_BYTES);
    this.#length = end;
  }

  /** Returns the records; valid until the next call of `add` or `clear`. */
  bytes(): Uint8Array {
    return this.#buffer.subarray(0, this.#length);
  }

  /** Removes all records. */
  clear(): void {
    this.#length = 0;
    if (this.#buffer.length <= MAXIMUM_REUSED_BYTES) return;
    this.#buffer = Buffer.allocUnsafeSlow(INITIAL_BYTES);
  }

  #reserve(length: Bytes): void {
    if (length <= this.#buffer.length) return;
    const larger = Buffer.allocUnsafeSlow(
      Math.max(length, 2 * this.#buffer.length),
    );
    larger.set(this.bytes());
    this.#buffer = larger;
  }
}
