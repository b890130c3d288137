/**
 * Collects the chunks of a message body in one buffer, within the limits of the body and of the process.
 *
 * @module
 */
import type { ByteReservation } from "./byte_budget.ts";
import { BufferPool } from "./buffer_pool.ts";
import { GARBAGE_METER } from "./garbage_meter.ts";
import { type Bytes, KIBIBYTE, MEBIBYTE } from "./units.ts";

/** Large, so that few bytes are copied while a body grows. */
const GROWTH_FACTOR = 8;
/** Smallest buffer of a body of unknown size; the next sizes are multiples of it, so that buffers can be used again. */
const FIRST_CAPACITY_BYTES: Bytes = 64 * KIBIBYTE;
/** Buffers from this size on are used again, but for the largest, which the allocator gives back to the system itself. */
const MINIMUM_POOLED_BYTES: Bytes = 256 * KIBIBYTE;
const MAXIMUM_POOLED_BYTES: Bytes = 8 * MEBIBYTE;

/** Buffers of bodies that were dropped. */
const POOL = new BufferPool();

/** Limits of a `BodyBuffer`. */
export interface BodyBufferOptions {
  readonly maximumBytes: Bytes;
  /** Extended to the bytes of the body that have arrived, or to its announced size. */
  readonly reservation: ByteReservation;
}

/** Whether a chunk was appended, or why not. */
export type AppendOutcome = "appended" | "too_large" | "no_memory";

/**
 * A buffer that grows within the limits. Chunks are copied at once, so that the body is in memory only once.
 *
 * @example
 * ```ts
 * const buffer = new BodyBuffer({ maximumBytes, reservation: budget.open() });
 * if (!buffer.announce(contentLength)) return;
 * for await (const chunk of chunks) if (buffer.append(chunk) !== "appended") return;
 * const body = buffer.bytes();
 * ```
 */
export class BodyBuffer {
  readonly #options: BodyBufferOptions;
  #buffer: Buffer = Buffer.alloc(0);
  /** Whether the buffer may be used again for another body. */
  #isPooled = false;
  #length: Bytes = 0;

  constructor(options: BodyBufferOptions) {
    this.#options = options;
  }

  /** Reserves the announced size of the body, 0 if it is unknown; returns false if there is no memory for it. */
  announce(bytes: Bytes): boolean {
    if (bytes === 0) return true;
    if (!this.#options.reservation.extendTo(bytes)) return false;
    this.#buffer = Buffer.allocUnsafe(bytes);
    return true;
  }

  /** Appends a chunk if the limits allow it. */
  append(chunk: Uint8Array): AppendOutcome {
    const { maximumBytes, reservation } = this.#options;
    const length = this.#length + chunk.length;
    if (length > maximumBytes) return "too_large";
    if (!reservation.extendTo(length)) return "no_memory";
    this.#growTo(length);
    this.#buffer.set(chunk, this.#length);
    this.#length = length;
    return "appended";
  }

  /** Number of bytes appended so far. */
  get length(): Bytes {
    return this.#length;
  }

  /** Returns the bytes appended so far. */
  bytes(): Uint8Array {
    return this.#buffer.subarray(0, this.#length);
  }

  /** Drops the bytes appended so far; what `bytes` returned before must not be used any more. */
  clear(): void {
    this.#dropBuffer();
    this.#buffer = Buffer.alloc(0);
    this.#length = 0;
  }

  /** Pages of the capacity that no byte is written to use no memory, so only the length is reserved. */
  #growTo(length: Bytes): void {
    if (length <= this.#buffer.length) return;
    const capacity = this.#nextCapacity(length);
    const isPooled = capacity >= MINIMUM_POOLED_BYTES &&
      capacity <= MAXIMUM_POOLED_BYTES;
    const grown = isPooled ? POOL.take(capacity) : Buffer.allocUnsafe(capacity);
    grown.set(this.bytes());
    this.#dropBuffer();
    this.#buffer = grown;
    this.#isPooled = isPooled;
  }

  /** Most bodies come in one small chunk; those that go on grow in few sizes. */
  #nextCapacity(length: Bytes): Bytes {
    if (this.#length === 0 && length < FIRST_CAPACITY_BYTES) return length;
    let capacity = FIRST_CAPACITY_BYTES;
    while (capacity < length) capacity *= GROWTH_FACTOR;
    return Math.min(this.#options.maximumBytes, capacity);
  }

  /** Keeps the buffer for another body, or leaves it to the garbage collector. */
  #dropBuffer(): void {
    const isKept = this.#isPooled && POOL.give(this.#buffer);
    if (!isKept) GARBAGE_METER.drop(this.#length);
    this.#isPooled = false;
  }
}
