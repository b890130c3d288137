/**
 * The adaptive limit on work outstanding at one upstream: additive increase while the limit is reached and
 * latency stays near its floor, multiplicative decrease when latency rises.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** The latency of one completed call. */
export interface LatencySample {
  /** Time per unit of work, such as milliseconds per token. */
  readonly latencyMs: Milliseconds;
  /** Whether the limit was reached when the call was dispatched. */
  readonly saturated: boolean;
}

/** Ratio of latency to its floor above which the limit decreases. */
export const LATENCY_TOLERANCE_FACTOR = 2;

const SHRINK_FACTOR = 0.9;
const FLOOR_RISE_FACTOR = 1.01;
const WINDOW_SAMPLES = 4;

/** The limit of one upstream. */
export class AdaptiveLimit {
  readonly #minimum = 1;
  #maximum: number;
  #limit: number;
  #floorMs = Number.POSITIVE_INFINITY;
  #sumMs = 0;
  #count = 0;
  #saturated = 0;

  /** Starts at the capacity that the upstream announces; the maximum is `maximumFactor` times that. */
  constructor(capacity: number, maximumFactor: number) {
    this.#limit = Math.max(this.#minimum, capacity);
    this.#maximum = Math.max(this.#minimum, capacity * maximumFactor);
  }

  /** The limit, an integer of at least 1. */
  get value(): number {
    return Math.max(this.#minimum, Math.floor(this.#limit));
  }

  /** Records a sample; the limit changes by at most one step per window of samples. */
  record(sample: LatencySample): void {
    if (!Number.isFinite(sample.latencyMs) || sample.latencyMs < 0) return;
    this.#sumMs += sample.latencyMs;
    this.#count += 1;
    if (sample.saturated) this.#saturated += 1;
    if (this.#count >= Math.max(WINDOW_SAMPLES, this.#limit)) this.#adapt();
  }

  /** Decreases the limit, after rising latency or a failure that overload can explain. */
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
