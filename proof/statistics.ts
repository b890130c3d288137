/**
 * Statistics of repeated measurements.
 *
 * @module
 */

/**
 * Returns the smallest value that at least the given fraction of the values does not exceed.
 *
 * @example
 * ```ts
 * quantile([3, 1, 2], 0.5); // 2
 * ```
 */
export function quantile(values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.ceil(fraction * sorted.length) - 1;
  return sorted[Math.min(sorted.length - 1, Math.max(0, index))] ?? Number.NaN;
}

/** Returns the median; for an even count the lower of the middle two. */
export function median(values: readonly number[]): number {
  return quantile(values, 0.5);
}

/** A point in the plane. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** The line `y = slope * x + intercept`. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

/** Returns the least-squares line through the points. */
export function fitLine(points: readonly Point[]): Line {
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / points.length;
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / points.length;
  let across = 0;
  let square = 0;
  for (const point of points) {
    across += (point.x - meanX) * (point.y - meanY);
    square += (point.x - meanX) ** 2;
  }
  const slope = square === 0 ? 0 : across / square;
  return { slope, intercept: meanY - slope * meanX };
}

/** Rounds a number to `digits` significant digits. */
export function roundToDigits(value: number, digits = 3): number {
  return Number(value.toPrecision(digits));
}
