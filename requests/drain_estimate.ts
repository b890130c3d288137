/**
 * How fast a target's queue drains, measured, and how long a new item would wait.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** What a wait is worked out from. */
export interface WaitOptions {
  readonly class: string;
  /** Items that go first by strict order, those of the class included. */
  readonly ahead: number;
  /** Items of the class that wait. */
  readonly aheadInClass: number;
  /** Work that this entry may have outstanding. */
  readonly slots: number;
  readonly nowMs: Milliseconds;
}

const SMOOTHING_FACTOR = 0.1;
const MAXIMUM_STARTS = 32;
const MINIMUM_STARTS = 8;

interface ClassRates {
  serviceMs: Milliseconds | undefined;
  /** When work of the class left the queue, while more of it waited. */
  readonly starts: Milliseconds[];
}

/** Measured rates of one target. */
export class DrainEstimate {
  readonly #classes = new Map<string, ClassRates>();
  #meanServiceMs: Milliseconds | undefined;

  /** Notes that a call of a class took `serviceMs` from dispatch to its end. */
  recordFinish(name: string, serviceMs: Milliseconds): void {
    const measure = this.#ratesOf(name);
    measure.serviceMs = smooth(measure.serviceMs, serviceMs);
    this.#meanServiceMs = smooth(this.#meanServiceMs, serviceMs);
  }

  /** Notes that work of a class left the queue; `waiting` is what of the class still waits. */
  recordStart(name: string, waiting: number, nowMs: Milliseconds): void {
    const { starts } = this.#ratesOf(name);
    if (waiting === 0) {
      starts.length = 0;
      return;
    }
    starts.push(nowMs);
    if (starts.length > MAXIMUM_STARTS) starts.shift();
  }

  /** Usual time from dispatch to the end, 0 while unknown. */
  serviceMs(name: string): Milliseconds {
    return this.#ratesOf(name).serviceMs ?? 0;
  }

  /** Expected wait of an item behind those counted, 0 while nothing is known. */
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

  /** By the rate at which the class itself left the queue while it was backlogged. */
  #waitByStartRate(options: WaitOptions): Milliseconds {
    const { starts } = this.#ratesOf(options.class);
    const [first] = starts;
    if (first === undefined || starts.length < MINIMUM_STARTS) return 0;
    const each = (options.nowMs - first) / starts.length;
    return (options.aheadInClass + 1) * each;
  }

  #ratesOf(name: string): ClassRates {
    const known = this.#classes.get(name);
    if (known !== undefined) return known;
    const made: ClassRates = { serviceMs: undefined, starts: [] };
    this.#classes.set(name, made);
    return made;
  }
}

function smooth(before: number | undefined, sample: number): number {
  if (before === undefined) return sample;
  return before + SMOOTHING_FACTOR * (sample - before);
}
