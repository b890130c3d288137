/**
 * Whether a service can't run all calls, by the attempts of this VM.
 *
 * @module
 */
import { type Milliseconds, SECOND_MS } from "#core";

/** A VM sees a few attempts a second, so that a shorter time shows chance only. */
const SMOOTHING_MS: Milliseconds = 1.5 * SECOND_MS;
/** Share of the attempts that are rejected or late from which on calls are rejected. */
const BEGIN_SHARE = 0.15;
/** Rejected or late attempts without which there is no overload: a single one shows nothing. */
const MINIMUM_OVERLOADED = 2;
/** Attempts added to the observed ones, so that a few of them show little. */
const PRIOR_ATTEMPTS = 1;
/** Time without a rejected or late attempt after which there is no overload; a VM with few calls learns of its end in no other way. */
const OVER_MS: Milliseconds = 10 * SECOND_MS;
/** Share of rejected or late attempts that bursts cause at a service which is used well. */
const ACCEPTABLE_SHARE = 0.05;
/** Factor on what ran lately while nothing is rejected or late; a service that recovers doubles its calls in a few seconds. */
const MAXIMUM_FACTOR = 1.3;
/** Factor while everything is rejected or late; calls that wait need capacity too. */
const MINIMUM_FACTOR = 0.7;

/** The overload of one service. */
export class ServiceOverload {
  #attempts = 0;
  #overloaded = 0;
  #atMs: Milliseconds = 0;
  #overloadAtMs: Milliseconds = -Infinity;
  #isActive = false;

  /** Whether calls are to be rejected. */
  isActive(nowMs: Milliseconds): boolean {
    if (nowMs - this.#overloadAtMs > OVER_MS) this.#isActive = false;
    return this.#isActive;
  }

  /** Records an attempt; `isOverload` if the upstream rejected it as not run, or it took longer than the objective. */
  record(isOverload: boolean, nowMs: Milliseconds): void {
    this.#decay(nowMs);
    this.#attempts += 1;
    if (!isOverload) return;
    this.#overloaded += 1;
    this.#overloadAtMs = nowMs;
    if (this.#overloaded < MINIMUM_OVERLOADED) return;
    if (this.#share() >= BEGIN_SHARE) this.#isActive = true;
  }

  /** Ends the rejections unless there still is overload; to be called when all demand fits. */
  endIfOver(nowMs: Milliseconds): void {
    this.#decay(nowMs);
    if (this.#share() < ACCEPTABLE_SHARE) this.#isActive = false;
  }

  /** Returns how many calls may run, in multiples of those that ran lately. */
  capacityFactor(nowMs: Milliseconds): number {
    this.#decay(nowMs);
    const share = this.#share();
    if (share > ACCEPTABLE_SHARE) {
      const excess = (share - ACCEPTABLE_SHARE) / (1 - ACCEPTABLE_SHARE);
      return 1 - (1 - MINIMUM_FACTOR) * excess;
    }
    const spare = 1 - share / ACCEPTABLE_SHARE;
    return 1 + (MAXIMUM_FACTOR - 1) * spare;
  }

  #share(): number {
    return this.#overloaded / (this.#attempts + PRIOR_ATTEMPTS);
  }

  #decay(nowMs: Milliseconds): void {
    const elapsedMs = Math.max(0, nowMs - this.#atMs);
    const factor = Math.exp(-elapsedMs / SMOOTHING_MS);
    this.#attempts *= factor;
    this.#overloaded *= factor;
    this.#atMs = nowMs;
  }
}
