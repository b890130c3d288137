/**
 * Engines that have orders and are no longer heard of.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Orders of an engine that was not heard of for this long are forgotten. */
const FORGET_MS: Milliseconds = 600_000;
const PERIOD_MS: Milliseconds = 30_000;

/** What is known now. */
export interface GoneEnginesInput {
  /** Engines that have orders. */
  readonly ordered: readonly string[];
  /** Engines that are heard of. */
  readonly known: ReadonlyMap<string, unknown>;
  readonly nowMs: Milliseconds;
}

/** Finds engines to forget. */
export class GoneEngines {
  readonly #missingSinceMs = new Map<string, Milliseconds>();
  #nextAtMs = 0;

  /** Names the engines that are gone for good; looks once in a period. */
  find(input: GoneEnginesInput): readonly string[] {
    const { ordered, known, nowMs } = input;
    if (nowMs < this.#nextAtMs) return [];
    this.#nextAtMs = nowMs + PERIOD_MS;
    const gone = new Set<string>();
    for (const upstream of ordered) {
      if (known.has(upstream)) {
        this.#missingSinceMs.delete(upstream);
        continue;
      }
      const sinceMs = this.#missingSinceMs.get(upstream) ?? nowMs;
      this.#missingSinceMs.set(upstream, sinceMs);
      if (nowMs - sinceMs >= FORGET_MS) gone.add(upstream);
    }
    return [...gone];
  }
}
