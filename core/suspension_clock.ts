/**
 * The machine's clock, with the time counted that a suspended VM has missed.
 *
 * @module
 */
import { SystemClock } from "./clock.ts";
import type { Milliseconds } from "./units.ts";

/** How far the time of day may run ahead of the steady clock between two looks without being a suspension. */
const SUSPENSION_MS: Milliseconds = 100;

/** The two clocks of a machine at one moment. */
export interface ClockReading {
  /** Stands still while the VM is suspended. */
  readonly steadyMs: Milliseconds;
  /** Time of day; can jump. */
  readonly wallMs: Milliseconds;
}

/**
 * Adds to the steady clock each stretch by which the time of day ran ahead of it, so that a lease never
 * outlives a suspension; a forward jump of the time of day ends leases early, which is safe.
 *
 * @example
 * ```ts
 * const meter = new SuspensionMeter({ steadyMs: 10, wallMs: 1_000 });
 * meter.read({ steadyMs: 11, wallMs: 6_001 }); // 5_011
 * ```
 */
export class SuspensionMeter {
  #last: ClockReading;
  #suspendedMs: Milliseconds = 0;

  constructor(first: ClockReading) {
    this.#last = first;
  }

  /** Time that never steps back and counts suspensions. */
  read(now: ClockReading): Milliseconds {
    const steadyMs = now.steadyMs - this.#last.steadyMs;
    const aheadMs = now.wallMs - this.#last.wallMs - steadyMs;
    if (aheadMs > SUSPENSION_MS) this.#suspendedMs += aheadMs;
    this.#last = now;
    return now.steadyMs + this.#suspendedMs;
  }
}

/**
 * The machine's clock for programs whose VM can be suspended.
 *
 * @example
 * ```ts
 * const clock = new SuspensionClock();
 * ```
 */
export class SuspensionClock extends SystemClock {
  readonly #meter = new SuspensionMeter(readMachine());

  override nowMs(): Milliseconds {
    return this.#meter.read(readMachine());
  }
}

function readMachine(): ClockReading {
  return { steadyMs: performance.now(), wallMs: Date.now() };
}
