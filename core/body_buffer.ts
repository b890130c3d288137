/**
 * Collects the chunks of a message body in one buffer, within the limits of the body and of the process.
 *
 * @module
 */
import type { ByteReservation } from "./byte_budget.ts";
import { GARBAGE_METER } from "./garbage_meter.ts";
import type { Bytes } from "./units.ts";

/** Large, so that few bytes are copied and left to the garbage collector while a body grows. */
const GROWTH_FACTOR = 8;

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
  #buffer = Buffer.alloc(0);
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

  /** Drops the bytes appended so far, for a reader that lives longer than the body. */
  clear(): void {
    this.#buffer = Buffer.alloc(0);
    this.#length = 0;
  }

  /** Pages of the capacity that no byte is written to use no memory, so only the length is reserved. */
  #growTo(length: Bytes): void {
    if (length <= this.#buffer.length) return;
    const enlarged = Math.max(length, this.#buffer.length * GROWTH_FACTOR);
    const capacity = Math.min(this.#options.maximumBytes, enlarged);
    const grown = Buffer.allocUnsafe(capacity);
    grown.set(this.bytes());
    GARBAGE_METER.drop(this.#length);
    this.#buffer = grown;
  }
}
