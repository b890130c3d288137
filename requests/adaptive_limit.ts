/**
 * The adaptive bound on work outstanding at one upstream: it grows by one while it is used up and latency
 * keeps near its floor, and shrinks by a part when latency rises.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** What one finished call tells about the upstream's latency. */
export interface LatencySample {
  /** Time per unit of work, such as milliseconds per token. */
  readonly latencyMs: Milliseconds;
  /** Whether the bound was used up while the call ran. */
  readonly saturated: boolean;
}

/** Latency over its floor at which the bound shrinks. */
export const LATENCY_TOLERANCE_FACTOR = 2;

const SHRINK_FACTOR = 0.9;
const FLOOR_RISE_FACTOR = 1.01;
const WINDOW_SAMPLES = 4;

/** The bound of one upstream. */
export class AdaptiveLimit {
  readonly #minimum = 1;
  #maximum: number;
  #limit: number;
  #floorMs = Number.POSITIVE_INFINITY;
  #sumMs = 0;
  #count = 0;
  #saturated = 0;

  /** Starts at the capacity that the upstream announces and stays below `maximumFactor` times it. */
  constructor(capacity: number, maximumFactor: number) {
    this.#limit = Math.max(this.#minimum, capacity);
    this.#maximum = Math.max(this.#minimum, capacity * maximumFactor);
  }

  /** The bound, a whole number of at least 1. */
  get value(): number {
    return Math.max(this.#minimum, Math.floor(this.#limit));
  }

  /** Takes a sample; a window of samples moves the bound at most one step. */
  record(sample: LatencySample): void {
    if (!Number.isFinite(sample.latencyMs) || sample.latencyMs < 0) return;
    this.#sumMs += sample.latencyMs;
    this.#count += 1;
    if (sample.saturated) this.#saturated += 1;
    if (this.#count >= Math.max(WINDOW_SAMPLES, this.#limit)) this.#adapt();
  }

  /** Shrinks the bound after a failure that overload explains. */
  shrink(): void {
    this.#limit = Math.max(this.#minimum, this.#limit * SHRINK_FACTOR);
  }

  #adapt(): void {
    const meanMs = this.#sumMs / this.#count;
    this.#floorMs = Math.min(this.#floorMs * FLOOR_RISE_FACTOR, meanMs);
    const isSaturated = this.#saturated * 2 >= this.#count;
    this.#sumMs = 0;
    this.#count = 0;
    this.#saturated = 0;
    if (meanMs > this.#floorMs * LATENCY_TOLERANCE_FACTOR) {
      this.shrink();
      return;
    }
    if (isSaturated) this.#limit = Math.min(this.#maximum, this.#limit + 1);
  }
}
