/**
 * Clocks for injection: the system clock for programs, a virtual clock for tests.
 *
 * @module
 */
import { setImmediate } from "node:timers";
import type { Milliseconds } from "./units.ts";

/** A timer that can be cancelled. */
export interface Timer {
  /** Cancels the timer; a second call has no effect. */
  cancel(): void;
}

/** Provides the time and timers. */
export abstract class Clock {
  /** Returns milliseconds since the Unix epoch; for records that people read. */
  abstract wallMs(): Milliseconds;
  /** Returns milliseconds on a monotonic clock; for all durations. */
  abstract nowMs(): Milliseconds;
  /** Calls `action` once, after `delayMs`. */
  abstract after(delayMs: Milliseconds, action: () => void): Timer;

  /** Resolves after `delayMs`. */
  sleep(delayMs: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      this.after(delayMs, resolve);
    });
  }

  /** Calls `action` every `periodMs` until the timer is cancelled. */
  every(periodMs: Milliseconds, action: () => void): Timer {
    let current: Timer;
    let stopped = false;
    const arm = (): void => {
      current = this.after(periodMs, () => {
        if (stopped) return;
        action();
        if (!stopped) arm();
      });
    };
    arm();
    return {
      cancel: () => {
        stopped = true;
        current.cancel();
      },
    };
  }
}

/** The clock of the operating system. */
export class SystemClock extends Clock {
  override wallMs(): Milliseconds {
    return Date.now();
  }

  override nowMs(): Milliseconds {
    return performance.now();
  }

  override after(delayMs: Milliseconds, action: () => void): Timer {
    const handle = setTimeout(action, delayMs);
    return { cancel: () => clearTimeout(handle) };
  }
}

interface VirtualTimer {
  readonly dueMs: Milliseconds;
  readonly sequence: number;
  readonly action: () => void;
}

/**
 * A clock for tests, whose time changes only when `advance` or `advanceAsync` is called.
 *
 * @example
 * ```ts
 * const clock = new VirtualClock();
 * clock.after(50, () => console.log("due"));
 * clock.advance(50);
 * ```
 */
export class VirtualClock extends Clock {
  #nowMs: Milliseconds;
  #sequence = 0;
  readonly #timers = new Set<VirtualTimer>();

  constructor(startMs: Milliseconds = 0) {
    super();
    this.#nowMs = startMs;
  }

  override wallMs(): Milliseconds {
    return this.#nowMs;
  }

  override nowMs(): Milliseconds {
    return this.#nowMs;
  }

  override after(delayMs: Milliseconds, action: () => void): Timer {
    const dueMs = this.#nowMs + Math.max(0, delayMs);
    const timer = { dueMs, sequence: this.#sequence++, action };
    this.#timers.add(timer);
    return { cancel: () => this.#timers.delete(timer) };
  }

  /** Returns the due time of the earliest timer; undefined if there is none. */
  nextDueMs(): Milliseconds | undefined {
    return this.#earliest()?.dueMs;
  }

  /** Lets time pass in which no timer runs, as in a process that stands still; timers that are due run later. */
  standStill(forMs: Milliseconds): void {
    this.#nowMs += forMs;
  }

  /** Advances the time; runs each due timer at its due time, in order. */
  advance(byMs: Milliseconds): void {
    const untilMs = this.#nowMs + byMs;
    let timer = this.#earliest();
    while (timer !== undefined && timer.dueMs <= untilMs) {
      this.#runTimer(timer);
      timer = this.#earliest();
    }
    this.#nowMs = untilMs;
  }

  /** Advances the time as `advance` does, and waits after each timer until pending promises settle. */
  async advanceAsync(byMs: Milliseconds): Promise<void> {
    const untilMs = this.#nowMs + byMs;
    await settlePromises();
    let timer = this.#earliest();
    while (timer !== undefined && timer.dueMs <= untilMs) {
      this.#runTimer(timer);
      await settlePromises();
      timer = this.#earliest();
    }
    this.#nowMs = untilMs;
    await settlePromises();
  }

  #runTimer(timer: VirtualTimer): void {
    this.#timers.delete(timer);
    this.#nowMs = Math.max(this.#nowMs, timer.dueMs);
    timer.action();
  }

  #earliest(): VirtualTimer | undefined {
    let earliest: VirtualTimer | undefined;
    for (const timer of this.#timers) {
      if (earliest === undefined || isBefore(timer, earliest)) earliest = timer;
    }
    return earliest;
  }
}

function isBefore(a: VirtualTimer, b: VirtualTimer): boolean {
  if (a.dueMs !== b.dueMs) return a.dueMs < b.dueMs;
  return a.sequence < b.sequence;
}

function settlePromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
