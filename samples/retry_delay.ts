/**
 * Delays between attempts.
 *
 * @module
 */
import type { Milliseconds, RandomSource } from "#core";

const INITIAL_DELAY_MS: Milliseconds = 100;
const MAXIMUM_DELAY_MS: Milliseconds = 2_000;

/** Returns an exponential backoff delay with a maximum; half of the delay is random jitter. */
export function retryDelayMs(
  attempt: number,
  random: RandomSource,
): Milliseconds {
  const boundMs = Math.min(
    MAXIMUM_DELAY_MS,
    INITIAL_DELAY_MS * 2 ** Math.min(attempt, 10),
  );
  return boundMs / 2 + random.fraction() * boundMs / 2;
}
