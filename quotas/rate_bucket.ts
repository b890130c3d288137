/**
 * A token bucket: the requests that an upstream accepts, which add up over time to a small depth.
 *
 * @module
 */
import { type Milliseconds, SECOND_MS } from "#core";

/** Time of the limit that may be used at once, beside one request. */
const DEPTH_MS: Milliseconds = 750;
/** Lowest rate, so that an upstream that named no requests at all is asked again whether that still holds. */
const MINIMUM_PER_SECOND = 0.2;
/** Rounding errors of the level that don't matter. */
const TOLERANCE = 1e-9;

/**
 * Counts the permits that may be issued for one upstream.
 *
 * @example
 * ```ts
 * const bucket = new RateBucket({ perSecond: 2, nowMs: 0, isFull: false });
 * bucket.available(500); // 1
 * bucket.take(1);
 * ```
 */
export class RateBucket {
  #perSecond: number;
  #level: number;
  #atMs: Milliseconds;

  constructor(options: {
    readonly perSecond: number;
    readonly nowMs: Milliseconds;
    /** Whether it starts full; empty if another VM may have issued permits just before. */
    readonly isFull: boolean;
  }) {
    this.#perSecond = Math.max(MINIMUM_PER_SECOND, options.perSecond);
    this.#atMs = options.nowMs;
    this.#level = options.isFull ? this.depth : 0;
  }

  /** Requests per second. */
  get perSecond(): number {
    return this.#perSecond;
  }

  /** The most permits that add up. */
  get depth(): number {
    return 1 + this.#perSecond * DEPTH_MS / SECOND_MS;
  }

  /** Sets another rate from now on. */
  setRate(perSecond: number, nowMs: Milliseconds): void {
    this.#fill(nowMs);
    this.#perSecond = Math.max(MINIMUM_PER_SECOND, perSecond);
    this.#level = Math.min(this.#level, this.depth);
  }

  /** Returns the whole number of permits that may be issued now. */
  available(nowMs: Milliseconds): number {
    this.#fill(nowMs);
    return Math.floor(this.#level + TOLERANCE);
  }

  /** Uses permits that are available. */
  take(count: number): void {
    this.#level -= count;
  }

  /** Returns the time until a number of permits is available. */
  delayMs(count: number, nowMs: Milliseconds): Milliseconds {
    this.#fill(nowMs);
    const missing = Math.max(0, count - this.#level - TOLERANCE);
    return missing / this.#perSecond * SECOND_MS;
  }

  #fill(nowMs: Milliseconds): void {
    const passedMs = Math.max(0, nowMs - this.#atMs);
    this.#atMs = Math.max(this.#atMs, nowMs);
    const added = this.#perSecond * passedMs / SECOND_MS;
    this.#level = Math.min(this.depth, this.#level + added);
  }
}
