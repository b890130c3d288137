/**
 * The load of a service over the last minutes, in slots. Performs no I/O.
 *
 * @module
 */
import { type Milliseconds, MINUTE_MS } from "#core";

const RETENTION_MS: Milliseconds = 16 * MINUTE_MS;
/** Time over which work has to be late repeatedly: the steps of a trainer follow each other within it. */
const LATE_WINDOW_MS: Milliseconds = 10_000;
/** Samples in this time that must be late: up to three contain the same report, and one follows a burst. */
const MINIMUM_LATE_SAMPLES = 4;
/** Time without a report after which the history is incomplete. */
const MAXIMUM_GAP_MS: Milliseconds = 5_000;

interface LoadSample {
  readonly atMs: Milliseconds;
  readonly neededSlots: number;
  readonly isLate: boolean;
}

/** Collects reports of the load. */
export class LoadHistory {
  #samples: LoadSample[] = [];
  #sinceMs: Milliseconds = Infinity;
  #latestMs: Milliseconds = -Infinity;

  /** Records the slots that the work needs and those that exist; the latter include ordered ones. */
  record(
    load: { readonly neededSlots: number; readonly slots: number },
    nowMs: Milliseconds,
  ): void {
    if (nowMs - this.#latestMs > MAXIMUM_GAP_MS) {
      this.#samples = [];
      this.#sinceMs = nowMs;
    }
    this.#latestMs = nowMs;
    const { neededSlots, slots } = load;
    const isLate = neededSlots > slots;
    this.#samples.push({ atMs: nowMs, neededSlots, isLate });
    const oldest = this.#samples[0];
    if (oldest !== undefined && nowMs - oldest.atMs > RETENTION_MS) {
      this.#samples.shift();
    }
  }

  /** Returns the slots that the work needs if some of it would be late repeatedly, else null. */
  wantedSlots(nowMs: Milliseconds): number | null {
    const late = this.#within(LATE_WINDOW_MS, nowMs).filter((each) =>
      each.isLate
    );
    if (late.length < MINIMUM_LATE_SAMPLES) return null;
    // Not the peak, so that a single wrong estimate orders nothing.
    late.sort((a, b) => b.neededSlots - a.neededSlots);
    return late[MINIMUM_LATE_SAMPLES - 1]?.neededSlots ?? null;
  }

  /** Returns the most slots that were needed within a time; null if the history is shorter. */
  peakSlots(windowMs: Milliseconds, nowMs: Milliseconds): number | null {
    if (nowMs - this.#latestMs > MAXIMUM_GAP_MS) return null;
    if (nowMs - this.#sinceMs < windowMs) return null;
    let peak = 0;
    for (const { neededSlots } of this.#within(windowMs, nowMs)) {
      peak = Math.max(peak, neededSlots);
    }
    return peak;
  }

  #within(windowMs: Milliseconds, nowMs: Milliseconds): LoadSample[] {
    return this.#samples.filter(({ atMs }) => nowMs - atMs < windowMs);
  }
}
