/**
 * Collects garbage by the bytes of buffers that were dropped. The runtime looks for memory outside its heap only after
 * tens of megabytes have been allocated, which is much of a small VM.
 *
 * @module
 */
import { collectGarbage } from "./garbage_collection.ts";
import { type Bytes, KIBIBYTE, MEBIBYTE } from "./units.ts";

/** Dropped bytes after which garbage is collected; that blocks the process for some 15 ms. */
const COLLECTION_BYTES: Bytes = 16 * MEBIBYTE;
/** Smaller buffers are left to the runtime, so that ordinary traffic costs no collection. */
const MINIMUM_BUFFER_BYTES: Bytes = 16 * KIBIBYTE;

/** Options of `GarbageMeter`. */
export interface GarbageMeterOptions {
  /** Collects garbage; `collectGarbage` if absent. */
  readonly collect?: () => void;
}

/**
 * Counts dropped buffers.
 *
 * @example
 * ```ts
 * for await (const chunk of chunks) {
 *   buffer.append(chunk);
 *   GARBAGE_METER.drop(chunk.length);
 * }
 * ```
 */
export class GarbageMeter {
  readonly #collect: () => void;
  #droppedBytes: Bytes = 0;
  #isDue = false;

  constructor(options: GarbageMeterOptions = {}) {
    this.#collect = options.collect ?? collectGarbage;
  }

  /** Counts a buffer that nobody uses any more after this turn of the event loop. */
  drop(bytes: Bytes): void {
    if (bytes < MINIMUM_BUFFER_BYTES) return;
    this.#droppedBytes += bytes;
    if (this.#droppedBytes < COLLECTION_BYTES || this.#isDue) return;
    this.#isDue = true;
    setImmediate(() => {
      this.#isDue = false;
      this.#droppedBytes = 0;
      this.#collect();
    });
  }
}

/** The meter of this process. */
export const GARBAGE_METER: GarbageMeter = new GarbageMeter();
