/**
 * Estimates the time per event of one engine from the latest intervals between events of its runs.
 *
 * Occasionally an interval is long because the engine reads the prompt of another run, and then events arrive
 * close together. Each interval is therefore weighted by its length, and the estimate is the weighted median:
 * half of the time that runs waited was spent in intervals up to this length.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Total length of the intervals in the window, summed over the runs. */
const WINDOW_MS: Milliseconds = 1_500;
/** Maximum age of an interval; older ones do not describe the present speed. */
const MAXIMUM_AGE_MS: Milliseconds = 3_000;
const MAXIMUM_INTERVALS = 128;

interface EventInterval {
  readonly lengthMs: Milliseconds;
  readonly endedMs: Milliseconds;
}

/**
 * The latest intervals between events on one engine.
 *
 * @example
 * ```ts
 * const intervals = new EventIntervalWindow();
 * for (let at = 40; at <= 400; at += 40) intervals.record(40, at);
 * intervals.medianMs(); // 40
 * ```
 */
export class EventIntervalWindow {
  #intervals: EventInterval[] = [];
  #medianMs: Milliseconds | undefined;

  /** When the latest interval ended, or 0 without any. */
  get lastEndedMs(): Milliseconds {
    return this.#intervals.at(-1)?.endedMs ?? 0;
  }

  /** Adds an interval that ended at `nowMs`. */
  record(lengthMs: Milliseconds, nowMs: Milliseconds): void {
    this.#intervals.push({ lengthMs, endedMs: nowMs });
    this.#intervals = recentIntervals(this.#intervals, nowMs);
    this.#medianMs = undefined;
  }

  /** Replaces all intervals with this one. */
  reset(lengthMs: Milliseconds, nowMs: Milliseconds): void {
    this.#intervals = [];
    this.record(lengthMs, nowMs);
  }

  /** Returns the weighted median interval, or undefined without any. */
  medianMs(): Milliseconds | undefined {
    this.#medianMs ??= weightedMedianMs(this.#intervals);
    return this.#medianMs;
  }
}

function recentIntervals(
  intervals: readonly EventInterval[],
  nowMs: Milliseconds,
): EventInterval[] {
  let waitedMs = 0;
  let from = intervals.length;
  while (from > 0 && intervals.length - from < MAXIMUM_INTERVALS) {
    const interval = intervals[from - 1];
    if (interval === undefined || waitedMs >= WINDOW_MS) break;
    if (interval.endedMs < nowMs - MAXIMUM_AGE_MS) break;
    waitedMs += interval.lengthMs;
    from -= 1;
  }
  return intervals.slice(from);
}

function weightedMedianMs(
  intervals: readonly EventInterval[],
): Milliseconds | undefined {
  const lengths = intervals.map((each) => each.lengthMs).sort((a, b) => a - b);
  const halfMs = lengths.reduce((sum, each) => sum + each, 0) / 2;
  let waitedMs = 0;
  for (const lengthMs of lengths) {
    waitedMs += lengthMs;
    if (waitedMs >= halfMs) return lengthMs;
  }
  return undefined;
}
