/**
 * The speeds of the engines that a leader logged last, for its successor. They are hints: no snapshot holds them, and
 * they decide no result.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import type { EngineSpeed } from "./engine_observations.ts";

/** The speeds in the log, with the time at which they were logged. */
export class LoggedSpeeds {
  #speeds: readonly EngineSpeed[] = [];
  #atMs: Milliseconds = 0;

  /** Replaces all speeds. */
  set(speeds: readonly EngineSpeed[], atMs: Milliseconds): void {
    this.#speeds = speeds;
    this.#atMs = atMs;
  }

  /** Returns the speeds with their age at a time of the wall clock. */
  at(wallMs: Milliseconds): readonly EngineSpeed[] {
    const loggedMs = Math.max(0, wallMs - this.#atMs);
    return this.#speeds.map((each) => ({
      ...each,
      ageMs: each.ageMs + loggedMs,
    }));
  }
}
