/**
 * Detection of departed engines: engines that have orders but are no longer registered.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Orders of an engine that has not been registered for this long are removed. */
const DEPARTED_AFTER_MS: Milliseconds = 600_000;
const CHECK_INTERVAL_MS: Milliseconds = 30_000;

/** Current orders and registered engines. */
export interface DepartedEnginesInput {
  /** Engines that have orders; an engine may occur several times. */
  readonly orderedEngines: readonly string[];
  /** Engines that are currently registered. */
  readonly registeredEngines: ReadonlyMap<string, unknown>;
  readonly nowMs: Milliseconds;
}

/** Finds engines whose orders are to be removed. */
export class DepartedEngineDetector {
  readonly #missingSinceMs = new Map<string, Milliseconds>();
  #nextCheckMs = 0;

  /** Returns the departed engines; returns none until the check interval has passed since the last check. */
  findDeparted(input: DepartedEnginesInput): readonly string[] {
    const {
      orderedEngines,
      registeredEngines,
      nowMs,
    } = input;
    if (nowMs < this.#nextCheckMs) return [];
    this.#nextCheckMs = nowMs + CHECK_INTERVAL_MS;
    const departed = new Set<string>();
    for (const upstream of orderedEngines) {
      if (registeredEngines.has(upstream)) {
        this.#missingSinceMs.delete(upstream);
        continue;
      }
      const sinceMs = this.#missingSinceMs.get(upstream) ?? nowMs;
      this.#missingSinceMs.set(upstream, sinceMs);
      if (nowMs - sinceMs >= DEPARTED_AFTER_MS) departed.add(upstream);
    }
    return [...departed];
  }
}
