/**
 * How long upstreams of one subject have been missing. Performs no I/O.
 *
 * The platform restarts crashed upstreams by itself within seconds, so one counts as lost only after a time. A reclaimed
 * spot upstream does not come back and counts earlier. While nothing is received from a zone, none of its upstreams counts as missing.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Time for which more upstreams than expected must be seen until they count as additional. */
const SURPLUS_CONFIRMATION_MS: Milliseconds = 5_000;
/** Time between two observations after which nothing is known of the time between them, as when the process froze. */
const MAXIMUM_GAP_MS: Milliseconds = 5_000;

/** What is known of the upstreams of a subject at a time. */
export interface SubjectObservation {
  /** Number that exists according to the control log. */
  readonly expected: number;
  /** Number that exists if an order without a known outcome was executed. */
  readonly most: number;
  /** Number that is not missing: those that serve, and those whose platform replaces them when they have drained. */
  readonly present: number;
  /** Number that serves. */
  readonly ready: number;
  /** Number of those that have just announced that they are reclaimed. */
  readonly newlyReclaimed: number;
  /** Whether heartbeats of other upstreams of the zone are received. */
  readonly isZoneReporting: boolean;
}

/** Times after which a missing upstream counts as lost. */
export interface LossTimes {
  readonly silentMs: Milliseconds;
  readonly reclaimedMs: Milliseconds;
}

interface Missing {
  readonly sinceMs: Milliseconds;
  readonly isReclaimed: boolean;
}

/**
 * Tracks the missing and additional upstreams of a subject.
 *
 * @example
 * ```ts
 * const missing = new MissingUpstreams();
 * const seen = { expected: 3, most: 3, present: 2, ready: 2, newlyReclaimed: 0, isZoneReporting: true };
 * missing.update(seen, 0);
 * missing.lost({ silentMs: 8_000, reclaimedMs: 1_000 }, 8_000); // 1
 * ```
 */
export class MissingUpstreams {
  #missing: readonly Missing[] = [];
  #expected = 0;
  #updatedMs: Milliseconds = -Infinity;
  #surplus = 0;
  #surplusSinceMs: Milliseconds = Infinity;

  /** Records an observation; the first one starts the times of all that are missing. */
  update(seen: SubjectObservation, nowMs: Milliseconds): void {
    if (nowMs - this.#updatedMs > MAXIMUM_GAP_MS) this.#restartTimes(nowMs);
    if (seen.expected > this.#expected) this.#expectAll(nowMs);
    this.#updatedMs = nowMs;
    this.#updateMissing(seen, nowMs);
    this.#updateSurplus(seen.ready - seen.most, nowMs);
    this.#expected = seen.expected;
  }

  /** Number of missing upstreams, whether or not they may come back. */
  get count(): number {
    return this.#missing.length;
  }

  /** Returns the number of upstreams that are lost for good. */
  lost(times: LossTimes, nowMs: Milliseconds): number {
    let count = 0;
    for (const { sinceMs, isReclaimed } of this.#missing) {
      const waitMs = isReclaimed ? times.reclaimedMs : times.silentMs;
      if (nowMs - sinceMs >= waitMs) count += 1;
    }
    return count;
  }

  /** Returns the number of upstreams that exist beyond the expected ones, once that lasts. */
  surplus(nowMs: Milliseconds): number {
    const lasts = nowMs - this.#surplusSinceMs >= SURPLUS_CONFIRMATION_MS;
    return lasts ? this.#surplus : 0;
  }

  /** A silent upstream may have been back meanwhile. */
  #restartTimes(nowMs: Milliseconds): void {
    this.#missing = this.#missing.map((each) =>
      each.isReclaimed ? each : { ...each, sinceMs: nowMs }
    );
    this.#surplusSinceMs = Infinity;
  }

  /** An accepted order names the number that is to exist, so it also brings those that were missing before. */
  #expectAll(nowMs: Milliseconds): void {
    this.#missing = this.#missing.map(() => ({
      sinceMs: nowMs,
      isReclaimed: false,
    }));
  }

  #updateMissing(seen: SubjectObservation, nowMs: Milliseconds): void {
    const { expected, present, newlyReclaimed, isZoneReporting } = seen;
    const count = Math.max(0, expected - present);
    let reclaimed = this.#missing.filter((each) => each.isReclaimed);
    let silent = this.#missing.filter((each) => !each.isReclaimed);
    // What is no longer expected is what was lost: those that were reclaimed, then the oldest.
    const recorded = Math.max(0, this.#expected - expected);
    const fromReclaimed = Math.min(recorded, reclaimed.length);
    reclaimed = reclaimed.slice(fromReclaimed);
    silent = silent.slice(recorded - fromReclaimed);
    const added = Array.from(
      { length: newlyReclaimed },
      () => ({ sinceMs: nowMs, isReclaimed: true }),
    );
    reclaimed = [...reclaimed, ...added].slice(0, count);
    if (!isZoneReporting) silent = [];
    const silentCount = isZoneReporting ? count - reclaimed.length : 0;
    // One that returned is the one that was missing for longest.
    silent = silent.slice(Math.max(0, silent.length - silentCount));
    while (silent.length < silentCount) {
      silent.push({ sinceMs: nowMs, isReclaimed: false });
    }
    this.#missing = [...reclaimed, ...silent];
  }

  #updateSurplus(surplus: number, nowMs: Milliseconds): void {
    if (surplus <= 0) {
      this.#surplusSinceMs = Infinity;
      return;
    }
    if (this.#surplusSinceMs === Infinity) {
      this.#surplusSinceMs = nowMs;
      this.#surplus = surplus;
    }
    this.#surplus = Math.min(this.#surplus, surplus);
  }
}
