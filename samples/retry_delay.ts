/**
 * Waits between attempts.
 *
 * @module
 */
import type { Milliseconds, RandomSource } from "#core";

const FIRST_MS: Milliseconds = 100;
const LONGEST_MS: Milliseconds = 2_000;

/** Doubles with each attempt up to a maximum; half of it is random. */
export function retryDelayMs(
  attempt: number,
  random: RandomSource,
): Milliseconds {
  const fullMs = Math.min(LONGEST_MS, FIRST_MS * 2 ** Math.min(attempt, 10));
  return fullMs / 2 + random.fraction() * fullMs / 2;
}
