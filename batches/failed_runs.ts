/**
 * The engines at which runs of one item failed, and when it may be sent again. An engine that failed an item gets it
 * once more only if no other one has room, and after a pause: a failure that does not count against the item must not be
 * repeated without an end and at once.
 *
 * @module
 */
import type { Milliseconds } from "#core";

const INITIAL_ENGINE_PAUSE_MS: Milliseconds = 400;
/** Pause after the second failure in a row; the first one is followed by a run at another engine at once. */
const INITIAL_ITEM_PAUSE_MS: Milliseconds = 50;
const MAXIMUM_PAUSE_MS: Milliseconds = 1_000;

interface FailuresAt {
  readonly count: number;
  readonly retryMs: Milliseconds;
}

/** What the plan of an item needs to know of its failed runs. */
export interface KnownFailedRuns {
  /** Whether no run has failed, so that the item may start anywhere. */
  readonly isEmpty: boolean;
  /** Returns the number of failed runs at an engine, by its incarnation. */
  countAt(engine: string): number;
  /** Returns whether the item may be sent to an engine now. */
  mayStart(engine: string, nowMs: Milliseconds): boolean;
}

/** The failed runs of an item whose runs have not failed. */
export const NO_FAILED_RUNS: KnownFailedRuns = {
  isEmpty: true,
  countAt: () => 0,
  mayStart: () => true,
};

/**
 * Records the failed runs of one item.
 *
 * @example
 * ```ts
 * const failedRuns = new FailedRuns();
 * failedRuns.record("engine:1", 0);
 * failedRuns.mayStart("engine:1", 0); // false
 * failedRuns.mayStart("other:1", 0); // true
 * ```
 */
export class FailedRuns implements KnownFailedRuns {
  readonly #byEngine = new Map<string, FailuresAt>();
  /** Failed runs since the last event. */
  #inARow = 0;
  #retryMs: Milliseconds = -Infinity;

  get isEmpty(): boolean {
    return this.#byEngine.size === 0;
  }

  /** Records that a run failed at an engine. */
  record(engine: string, nowMs: Milliseconds): void {
    const count = this.countAt(engine) + 1;
    const pauseMs = growingPauseMs(INITIAL_ENGINE_PAUSE_MS, count);
    this.#byEngine.set(engine, { count, retryMs: nowMs + pauseMs });
    this.#inARow += 1;
    if (this.#inARow < 2) return;
    this.#retryMs = nowMs +
      growingPauseMs(INITIAL_ITEM_PAUSE_MS, this.#inARow - 1);
  }

  /** Records that an engine has generated an event. */
  recordProgress(): void {
    this.#inARow = 0;
  }

  countAt(engine: string): number {
    return this.#byEngine.get(engine)?.count ?? 0;
  }

  mayStart(engine: string, nowMs: Milliseconds): boolean {
    if (nowMs < this.#retryMs) return false;
    return nowMs >= (this.#byEngine.get(engine)?.retryMs ?? -Infinity);
  }
}

/** Returns a pause that doubles with each failure. */
function growingPauseMs(initialMs: Milliseconds, count: number): Milliseconds {
  return Math.min(MAXIMUM_PAUSE_MS, initialMs * 2 ** (count - 1));
}
