/**
 * Reads the clocks of a VM.
 *
 * @module
 */
import { type ClockReading, type Milliseconds, readSystemClocks } from "#core";

/** A process that is interrupted between two readings must not see that as a step of a clock. */
const MAXIMUM_SPREAD_MS: Milliseconds = 5;
const MAXIMUM_READINGS = 4;

/**
 * Reads the clocks at one moment; again if the process was interrupted meanwhile.
 *
 * @example
 * ```ts
 * const sent = readClocks();
 * const elapsedMs = readClocks().steadyMs - sent.steadyMs;
 * ```
 */
export function readClocks(): ClockReading {
  let reading = readSystemClocks();
  for (let count = 1; count < MAXIMUM_READINGS; count += 1) {
    const next = readSystemClocks();
    if (next.steadyMs - reading.steadyMs <= MAXIMUM_SPREAD_MS) break;
    reading = next;
  }
  return reading;
}
