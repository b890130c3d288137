/**
 * Keeps large buffers whose contents nobody needs any more, for the next body that grows. Buffers of such sizes that come
 * and go would leave the allocator with memory in pieces, which it keeps.
 *
 * @module
 */
import type { Bytes } from "./units.ts";

/** Buffers kept of each size; there are few sizes. */
const KEPT_BUFFERS = 1;

/**
 * Buffers by their size.
 *
 * @example
 * ```ts
 * const pool = new BufferPool();
 * const buffer = pool.take(4 * MEBIBYTE);
 * pool.give(buffer);
 * ```
 */
export class BufferPool {
  readonly #kept = new Map<Bytes, Buffer[]>();

  /** Returns a buffer of a size, with any contents. */
  take(bytes: Bytes): Buffer {
    return this.#kept.get(bytes)?.pop() ?? Buffer.allocUnsafeSlow(bytes);
  }

  /** Keeps a buffer that nobody refers to; returns false if enough of its size are kept. */
  give(buffer: Buffer): boolean {
    const kept = this.#kept.get(buffer.length) ?? [];
    if (kept.length >= KEPT_BUFFERS) return false;
    this.#kept.set(buffer.length, kept);
    kept.push(buffer);
    return true;
  }
}
