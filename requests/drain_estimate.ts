/**
 * Estimates how fast the queue of a target drains, and how long a new item would wait.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** What an expected wait is computed from. */
export interface WaitOptions {
  readonly class: string;
  /** Number of items that precede in strict priority order, those of the class included. */
  readonly ahead: number;
  /** Number of waiting items of the class. */
  readonly aheadInClass: number;
  /** Number of items that this entry may have outstanding. */
  readonly slots: number;
  readonly nowMs: Milliseconds;
}

const SMOOTHING_FACTOR = 0.1;
const MAXIMUM_STARTS = 32;
const MINIMUM_STARTS = 8;

interface ClassRates {
  serviceMs: Milliseconds | undefined;
  /** Times at which items of the class left the queue while more of the class waited. */
  readonly starts: Milliseconds[];
}

/** Tracks the observed service times and dispatch rates of one target. */
export class DrainEstimate {
  readonly #classes = new Map<string, ClassRates>();
  #meanServiceMs: Milliseconds | undefined;

  /** Records that a call of a class took `serviceMs` from dispatch to completion. */
  recordFinish(name: string, serviceMs: Milliseconds): void {
    const rates = this.#ratesOf(name);
    rates.serviceMs = smooth(rates.serviceMs, serviceMs);
    this.#meanServiceMs = smooth(this.#meanServiceMs, serviceMs);
  }

  /**
   * Records that an item of a class left the queue; `waiting` is the number of items of the class that
   * remain.
   */
  recordStart(name: string, waiting: number, nowMs: Milliseconds): void {
    const { starts } = this.#ratesOf(name);
    if (waiting === 0) {
      starts.length = 0;
      return;
    }
    starts.push(nowMs);
    if (starts.length > MAXIMUM_STARTS) starts.shift();
  }

  /** Returns the smoothed time from dispatch to completion, 0 while unknown. */
  serviceMs(name: string): Milliseconds {
    return this.#ratesOf(name).serviceMs ?? 0;
  }

  /** Returns the expected wait of an item behind those counted, 0 while no estimate exists. */
  waitMs(options: WaitOptions): Milliseconds {
    return Math.max(
      this.#waitByServiceTime(options),
      this.#waitByStartRate(options),
    );
  }

  #waitByServiceTime(options: WaitOptions): Milliseconds {
    if (this.#meanServiceMs === undefined || options.slots <= 0) return 0;
    return (options.ahead + 1) * this.#meanServiceMs / options.slots;
  }

  /** Estimates by the rate at which items of the class left the queue while it was backlogged. */
  #waitByStartRate(options: WaitOptions): Milliseconds {
    const { starts } = this.#ratesOf(options.class);
    const [first] = starts;
    if (first === undefined || starts.length < MINIMUM_STARTS) return 0;
    const each = (options.nowMs - first) / starts.length;
    return (options.aheadInClass + 1) * each;
  }

  #ratesOf(name: string): ClassRates {
    const existing = this.#classes.get(name);
    if (existing !== undefined) return existing;
    const created: ClassRates = { serviceMs: undefined, starts: [] };
    this.#classes.set(name, created);
    return created;
  }
}

function smooth(before: number | undefined, sample: number): number {
  if (before === undefined) return sample;
  return before + SMOOTHING_FACTOR * (sample - before);
}
