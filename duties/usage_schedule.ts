/**
 * When the windows of usage begin and end, when they are settled, and until when their reports are due.
 *
 * @module
 */
import { type Milliseconds, MINUTE_MS, SECOND_MS } from "#core";

/** Share of the time until a report is due after which its counts are settled; the rest is left for sending it. */
const SETTLEMENT_RATIO = 0.4;
/** Time that a count needs from an entry VM to the leader, a repetition after a lost message included. */
const COLLECTION_MS: Milliseconds = 1.5 * SECOND_MS;
/** Least time in flight after which a call without a response counts as running. */
const MINIMUM_ASSUMED_RUN_MS: Milliseconds = 0.5 * SECOND_MS;
/** Time after the end of a window from which its report is of no use. */
const MISSED_AFTER_MS: Milliseconds = MINUTE_MS;

/** Options of `UsageSchedule`. */
export interface UsageScheduleOptions {
  /** Length of a window. */
  readonly windowMs: Milliseconds;
  /** Time after the end of a window within which its report is due. */
  readonly dueMs: Milliseconds;
}

/**
 * The windows of usage. Window k starts k window lengths after the start of 1970.
 *
 * @example
 * ```ts
 * const schedule = new UsageSchedule({ windowMs: 5_000, dueMs: 10_000 });
 * schedule.windowAt(12_000); // 2
 * ```
 */
export class UsageSchedule {
  readonly #windowMs: Milliseconds;
  readonly #dueMs: Milliseconds;

  constructor(options: UsageScheduleOptions) {
    this.#windowMs = options.windowMs;
    this.#dueMs = options.dueMs;
  }

  /** Returns the window that contains a time. */
  windowAt(wallMs: Milliseconds): number {
    return Math.floor(wallMs / this.#windowMs);
  }

  /** Returns the end of a window. */
  endMs(window: number): Milliseconds {
    return (window + 1) * this.#windowMs;
  }

  /** Returns the time from which the counts of a window are settled. */
  settlementMs(window: number): Milliseconds {
    return this.endMs(window) + SETTLEMENT_RATIO * this.#dueMs;
  }

  /** Returns the newest window that is old enough to be settled. */
  newestDue(wallMs: Milliseconds): number {
    return this.windowAt(wallMs - SETTLEMENT_RATIO * this.#dueMs) - 1;
  }

  /** Whether a report of a window that arrives at this time is late. */
  isLate(window: number, wallMs: Milliseconds): boolean {
    return wallMs > this.endMs(window) + this.#dueMs;
  }

  /** Returns the newest window whose report is of no use any more. */
  newestMissed(wallMs: Milliseconds): number {
    return this.windowAt(wallMs - MISSED_AFTER_MS) - 1;
  }

  /**
   * Time in flight after which a call without a response counts as running: one that started at the end of its window is
   * then collected before the window is settled.
   */
  get assumedRunMs(): Milliseconds {
    const settlementDelayMs = SETTLEMENT_RATIO * this.#dueMs;
    return Math.max(MINIMUM_ASSUMED_RUN_MS, settlementDelayMs - COLLECTION_MS);
  }
}
