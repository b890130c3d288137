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

const SMOOTHING = 0.1;
const STARTS_KEPT = 32;
const STARTS_NEEDED = 8;

interface ClassMeasure {
  serviceMs: Milliseconds | undefined;
  /** When work of the class left the queue, while more of it waited. */
  readonly starts: Milliseconds[];
}

/** Measured rates of one target. */
export class DrainEstimate {
  readonly #classes = new Map<string, ClassMeasure>();
  #meanServiceMs: Milliseconds | undefined;

  /** Notes that a call of a class took `serviceMs` from dispatch to its end. */
  finished(name: string, serviceMs: Milliseconds): void {
    const measure = this.#measure(name);
    measure.serviceMs = smooth(measure.serviceMs, serviceMs);
    this.#meanServiceMs = smooth(this.#meanServiceMs, serviceMs);
  }

  /** Notes that work of a class left the queue; `waiting` is what of the class still waits. */
  started(name: string, waiting: number, nowMs: Milliseconds): void {
    const { starts } = this.#measure(name);
    if (waiting === 0) {
      starts.length = 0;
      return;
    }
    starts.push(nowMs);
    if (starts.length > STARTS_KEPT) starts.shift();
  }

  /** Usual time from dispatch to the end, 0 while unknown. */
  serviceMs(name: string): Milliseconds {
    return this.#measure(name).serviceMs ?? 0;
  }

  /** Expected wait of an item behind those counted, 0 while nothing is known. */
  waitMs(options: WaitOptions): Milliseconds {
    return Math.max(this.#byService(options), this.#byStarts(options));
  }

  #byService(options: WaitOptions): Milliseconds {
    if (this.#meanServiceMs === undefined || options.slots <= 0) return 0;
    return (options.ahead + 1) * this.#meanServiceMs / options.slots;
  }

  /** By the rate at which the class itself left the queue while it was backlogged. */
  #byStarts(options: WaitOptions): Milliseconds {
    const { starts } = this.#measure(options.class);
    const [first] = starts;
    if (first === undefined || starts.length < STARTS_NEEDED) return 0;
    const each = (options.nowMs - first) / starts.length;
    return (options.aheadInClass + 1) * each;
  }

  #measure(name: string): ClassMeasure {
    const known = this.#classes.get(name);
    if (known !== undefined) return known;
    const made: ClassMeasure = { serviceMs: undefined, starts: [] };
    this.#classes.set(name, made);
    return made;
  }
}

function smooth(before: number | undefined, sample: number): number {
  if (before === undefined) return sample;
  return before + SMOOTHING * (sample - before);
}
