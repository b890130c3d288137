/**
 * Statistics of repeated measurements.
 *
 * @module
 */

/**
 * The value below which a part of the values lies.
 *
 * @example
 * ```ts
 * quantile([3, 1, 2], 0.5); // 2
 * ```
 */
export function quantile(values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const place = Math.ceil(part * sorted.length) - 1;
  return sorted[Math.min(sorted.length - 1, Math.max(0, place))] ?? Number.NaN;
}

/** The middle value. */
export function median(values: readonly number[]): number {
  return quantile(values, 0.5);
}

/** A point of a measured line. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

/** The line of least squares through points. */
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

/** A number with few digits, for pages. */
export function rounded(value: number, digits = 3): number {
  return Number(value.toPrecision(digits));
}
