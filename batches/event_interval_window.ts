/**
 * The pace of one engine: the time that it takes for an event of a text, from the last gaps between
 * events of its runs.
 *
 * Now and then a gap is long because the engine reads the prompt of another run, and then events come
 * close together. So each gap counts by its length, and the pace is the middle one: half of the time that
 * runs have waited was in gaps up to it.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Time of waiting that is looked back at, summed over the runs. */
const WINDOW_MS: Milliseconds = 1_500;
/** Gaps that ended longer ago say nothing of the present. */
const MAXIMUM_AGE_MS: Milliseconds = 3_000;
const MAXIMUM_INTERVALS = 128;

interface EventInterval {
  readonly lengthMs: Milliseconds;
  readonly endedMs: Milliseconds;
}

/**
 * The last gaps of one engine.
 *
 * @example
 * ```ts
 * const pace = new PaceWindow();
 * for (let at = 40; at <= 400; at += 40) pace.note(40, at);
 * pace.middleMs(); // 40
 * ```
 */
export class EventIntervalWindow {
  #intervals: EventInterval[] = [];
  #medianMs: Milliseconds | undefined;

  /** When the last gap ended. */
  get lastEndedMs(): Milliseconds {
    return this.#intervals.at(-1)?.endedMs ?? 0;
  }

  /** Takes a gap that ended at `nowMs`. */
  record(lengthMs: Milliseconds, nowMs: Milliseconds): void {
    this.#intervals.push({ lengthMs, endedMs: nowMs });
    this.#intervals = recentIntervals(this.#intervals, nowMs);
    this.#medianMs = undefined;
  }

  /** Forgets all gaps but this one. */
  reset(lengthMs: Milliseconds, nowMs: Milliseconds): void {
    this.#intervals = [];
    this.record(lengthMs, nowMs);
  }

  /** The middle gap, or undefined without any. */
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
