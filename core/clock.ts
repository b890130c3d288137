/**
 * Clocks that are passed in: the machine's clock for programs, a virtual one for tests.
 *
 * @module
 */
import { setImmediate } from "node:timers";
import type { Milliseconds } from "./units.ts";

/** A timer that can be stopped. */
export interface Timer {
  /** Stops the timer; stopping twice has no effect. */
  cancel(): void;
}

/** Source of time and timers. */
export abstract class Clock {
  /** Milliseconds since the Unix epoch; used for records that people read. */
  abstract wallMs(): Milliseconds;
  /** Milliseconds on a clock that never steps back; used for every duration. */
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

/** The machine's clock. */
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
 * A clock for tests: time moves only when `advance` is called.
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

  /** Time of the earliest timer, or undefined without one. */
  nextDueMs(): Milliseconds | undefined {
    return this.#earliest()?.dueMs;
  }

  /** Moves time on, running each due timer at its own time, in order. */
  advance(byMs: Milliseconds): void {
    const untilMs = this.#nowMs + byMs;
    let timer = this.#earliest();
    while (timer !== undefined && timer.dueMs <= untilMs) {
      this.#fire(timer);
      timer = this.#earliest();
    }
    this.#nowMs = untilMs;
  }

  /** As `advance`, but lets promises settle after each timer. */
  async advanceAsync(byMs: Milliseconds): Promise<void> {
    const untilMs = this.#nowMs + byMs;
    await settle();
    let timer = this.#earliest();
    while (timer !== undefined && timer.dueMs <= untilMs) {
      this.#fire(timer);
      await settle();
      timer = this.#earliest();
    }
    this.#nowMs = untilMs;
    await settle();
  }

  #fire(timer: VirtualTimer): void {
    this.#timers.delete(timer);
    this.#nowMs = Math.max(this.#nowMs, timer.dueMs);
    timer.action();
  }

  #earliest(): VirtualTimer | undefined {
    let best: VirtualTimer | undefined;
    for (const timer of this.#timers) {
      if (best === undefined || isBefore(timer, best)) best = timer;
    }
    return best;
  }
}

function isBefore(a: VirtualTimer, b: VirtualTimer): boolean {
  if (a.dueMs !== b.dueMs) return a.dueMs < b.dueMs;
  return a.sequence < b.sequence;
}

function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
