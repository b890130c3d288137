/**
 * The share of an engine's latest runs that failed. Runs count less as they get older, so that an engine that has
 * recovered is used again.
 *
 * @module
 */
import type { Milliseconds } from "#core";

const HALF_LIFE_MS: Milliseconds = 5_000;
/** Sound runs that an engine counts with before any is known, so that one failure says little. */
const ASSUMED_SOUND_RUNS = 2;

/** Counts the sound and the failed runs of one engine. */
export class ErrorShare {
  #sound = 0;
  #failed = 0;
  #countedMs: Milliseconds = 0;

  /** Counts a run that ended. */
  record(isFailed: boolean, nowMs: Milliseconds): void {
    const weight = this.#weightAt(nowMs);
    this.#sound = this.#sound * weight + (isFailed ? 0 : 1);
    this.#failed = this.#failed * weight + (isFailed ? 1 : 0);
    this.#countedMs = nowMs;
  }

  /** Returns the share of failed runs, 0 to 1. */
  at(nowMs: Milliseconds): number {
    if (this.#failed === 0) return 0;
    const weight = this.#weightAt(nowMs);
    const failed = this.#failed * weight;
    return failed / (failed + this.#sound * weight + ASSUMED_SOUND_RUNS);
  }

  #weightAt(nowMs: Milliseconds): number {
    return 0.5 ** ((nowMs - this.#countedMs) / HALF_LIFE_MS);
  }
}
