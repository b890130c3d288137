/**
 * Estimates the requests per second that a VM receives for a service.
 *
 * @module
 */
import { type Milliseconds, SECOND_MS } from "#core";

/** Time over which older requests count less and less. */
const MEMORY_MS: Milliseconds = 2 * SECOND_MS;

/** A moving estimate of a rate of requests. */
export class DemandMeter {
  #weight = 0;
  #atMs: Milliseconds = 0;

  /** Counts a request. */
  record(nowMs: Milliseconds): void {
    this.#weight = this.#decayed(nowMs) + 1;
    this.#atMs = nowMs;
  }

  /** Returns the requests that are likely to arrive within a span. */
  expectedWithin(spanMs: Milliseconds, nowMs: Milliseconds): number {
    return this.#decayed(nowMs) * spanMs / MEMORY_MS;
  }

  #decayed(nowMs: Milliseconds): number {
    return this.#weight * Math.exp(-(nowMs - this.#atMs) / MEMORY_MS);
  }
}
