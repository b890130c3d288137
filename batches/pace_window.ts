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
const OLDEST_MS: Milliseconds = 3_000;
const MOST_GAPS = 128;

interface Gap {
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
export class PaceWindow {
  #gaps: Gap[] = [];
  #middleMs: Milliseconds | undefined;

  /** When the last gap ended. */
  get lastMs(): Milliseconds {
    return this.#gaps.at(-1)?.endedMs ?? 0;
  }

  /** Takes a gap that ended at `nowMs`. */
  note(lengthMs: Milliseconds, nowMs: Milliseconds): void {
    this.#gaps.push({ lengthMs, endedMs: nowMs });
    this.#gaps = recent(this.#gaps, nowMs);
    this.#middleMs = undefined;
  }

  /** Forgets all gaps but this one. */
  replace(lengthMs: Milliseconds, nowMs: Milliseconds): void {
    this.#gaps = [];
    this.note(lengthMs, nowMs);
  }

  /** The middle gap, or undefined without any. */
  middleMs(): Milliseconds | undefined {
    this.#middleMs ??= middleOf(this.#gaps);
    return this.#middleMs;
  }
}

function recent(gaps: readonly Gap[], nowMs: Milliseconds): Gap[] {
  let waitedMs = 0;
  let from = gaps.length;
  while (from > 0 && gaps.length - from < MOST_GAPS) {
    const gap = gaps[from - 1];
    if (gap === undefined || waitedMs >= WINDOW_MS) break;
    if (gap.endedMs < nowMs - OLDEST_MS) break;
    waitedMs += gap.lengthMs;
    from -= 1;
  }
  return gaps.slice(from);
}

function middleOf(gaps: readonly Gap[]): Milliseconds | undefined {
  const lengths = gaps.map((each) => each.lengthMs).sort((a, b) => a - b);
  const halfMs = lengths.reduce((sum, each) => sum + each, 0) / 2;
  let waitedMs = 0;
  for (const lengthMs of lengths) {
    waitedMs += lengthMs;
    if (waitedMs >= halfMs) return lengthMs;
  }
  return undefined;
}
