/**
 * Collects garbage by the bytes of buffers that were dropped. The runtime looks for memory outside its heap only after
 * tens of megabytes have been allocated, which is much of a small VM.
 *
 * @module
 */
import process from "node:process";
import { collectGarbage } from "./garbage_collection.ts";
import { type Bytes, KIBIBYTE, MEBIBYTE } from "./units.ts";

/** Dropped bytes after which garbage is collected; that blocks the process for some 15 ms. */
const COLLECTION_BYTES: Bytes = 16 * MEBIBYTE;
/** Smaller buffers are left to the runtime, so that ordinary traffic costs no collection. */
const MINIMUM_BUFFER_BYTES: Bytes = 16 * KIBIBYTE;

/** Dropped bytes, also of small buffers, after which the memory of a process with a limit is compared with it. */
const CHECK_BYTES: Bytes = 4 * MEBIBYTE;
/** What a buffer costs in addition: its objects, and the pages that it has to itself, as sockets read into 64 KB each. */
const BUFFER_OVERHEAD_BYTES: Bytes = 8 * KIBIBYTE;
/** Part of the limit from which on garbage is collected at each comparison. */
const TIGHT_RATIO = 0.7;

/** Options of `GarbageMeter`. */
export interface GarbageMeterOptions {
  /** Collects garbage; `collectGarbage` if absent. */
  readonly collect?: () => void;
  /** Returns the resident memory of the process; that of this process if absent. */
  readonly residentBytes?: () => Bytes;
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
  readonly #residentBytes: () => Bytes;
  /** Resident memory from which on garbage is collected early. */
  #tightBytes: Bytes = Infinity;
  #droppedBytes: Bytes = 0;
  #uncheckedBytes: Bytes = 0;
  #isDue = false;

  constructor(options: GarbageMeterOptions = {}) {
    this.#collect = options.collect ?? collectGarbage;
    this.#residentBytes = options.residentBytes ??
      (() => process.memoryUsage.rss());
  }

  /** Collects more often, and for small buffers as well, while the process is near this limit of its memory. */
  setMemoryLimit(limitBytes: Bytes): void {
    this.#tightBytes = limitBytes * TIGHT_RATIO;
  }

  /** Counts a buffer that nobody uses any more after this turn of the event loop. */
  drop(bytes: Bytes): void {
    const isTight = this.#isTightAfter(bytes);
    if (bytes >= MINIMUM_BUFFER_BYTES) this.#droppedBytes += bytes;
    if (this.#isDue) return;
    if (!isTight && this.#droppedBytes < COLLECTION_BYTES) return;
    this.#isDue = true;
    setImmediate(() => this.collectIfDue());
  }

  /**
   * Collects now, instead of after this turn of the event loop, if enough was dropped. For the start of work on bytes that
   * have just arrived: many connections together receive more in one turn than a small VM can wait for.
   */
  collectIfDue(): void {
    if (!this.#isDue) return;
    this.#isDue = false;
    this.#droppedBytes = 0;
    this.#collect();
  }

  #isTightAfter(bytes: Bytes): boolean {
    if (this.#tightBytes === Infinity) return false;
    this.#uncheckedBytes += bytes + BUFFER_OVERHEAD_BYTES;
    if (this.#uncheckedBytes < CHECK_BYTES) return false;
    this.#uncheckedBytes = 0;
    return this.#residentBytes() >= this.#tightBytes;
  }
}

/** The meter of this process. */
export const GARBAGE_METER: GarbageMeter = new GarbageMeter();
