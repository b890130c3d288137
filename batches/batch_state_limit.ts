/**
 * The memory that the state of the batches may occupy in a store process.
 *
 * @module
 */
import type { Bytes } from "#core";

/** Memory of a store process that has just started. */
const PROCESS_BYTES: Bytes = 70_000_000;
/** Memory of the log's entries. */
const LOG_BYTES: Bytes = 24_000_000;
/** Memory of requests, pages and parts of snapshots: the runtime releases buffers late, in amounts of up to 64 MB. */
const SLACK_BYTES: Bytes = 64_000_000;
/** Limit of a process with little memory, in which two batches of the greatest size still fit. */
const MINIMUM_LIMIT_BYTES: Bytes = 16_000_000;

/**
 * Returns the limit for a process with this memory; without a known memory there is none.
 *
 * @example
 * ```ts
 * batchStateLimit(230_000_000); // 72_000_000
 * ```
 */
export function batchStateLimit(memoryBytes: Bytes | null): Bytes {
  if (memoryBytes === null) return Infinity;
  const left = memoryBytes - PROCESS_BYTES - LOG_BYTES - SLACK_BYTES;
  return Math.max(MINIMUM_LIMIT_BYTES, left);
}
