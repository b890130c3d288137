/**
 * Types and constants for durations and sizes.
 *
 * @module
 */

/** A duration or a point in time, in milliseconds. */
export type Milliseconds = number;
/** A size in bytes. */
export type Bytes = number;
/** One second. */
export const SECOND_MS: Milliseconds = 1_000;
/** One minute. */
export const MINUTE_MS: Milliseconds = 60_000;
/** One kibibyte. */
export const KIBIBYTE: Bytes = 1_024;
/** One mebibyte. */
export const MEBIBYTE: Bytes = 1_048_576;
