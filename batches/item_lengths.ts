/**
 * Lengths of items as trainers submit them, for the tests that play item plans on virtual time.
 *
 * @module
 */
import type { RandomSource } from "#core";

const MEDIAN_TOKENS = 1_000;
const MAXIMUM_TOKENS = 9_000;
/** Standard deviation of the logarithm of the length. */
const LENGTH_DEVIATION = 0.9;

/**
 * Returns the number of tokens of an item, with a log-normal distribution.
 *
 * @example
 * ```ts
 * const tokens = drawTokens(new SeededRandom(1));
 * ```
 */
export function drawTokens(random: RandomSource): number {
  const tokens = MEDIAN_TOKENS *
    Math.exp(LENGTH_DEVIATION * drawNormal(random));
  return Math.min(MAXIMUM_TOKENS, tokens);
}

/**
 * Returns a number with a standard normal distribution, as the sum of uniform ones.
 *
 * @example
 * ```ts
 * const hinted = tokens * Math.exp(0.4 * drawNormal(random));
 * ```
 */
export function drawNormal(random: RandomSource): number {
  let sum = 0;
  for (let at = 0; at < 12; at += 1) sum += random.fraction();
  return sum - 6;
}
