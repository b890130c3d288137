/**
 * The machine's clock, with the time counted that a suspended VM has missed.
 *
 * @module
 */
import { SystemClock } from "./clock.ts";
import type { Milliseconds } from "./units.ts";

/** How far the time of day may run ahead of the steady clock in all without being counted. */
const TOLERANCE_MS: Milliseconds = 20;

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
  /** Time of day less steady clock and counted suspensions, at the lowest. */
  #offsetMs: Milliseconds;
  #suspendedMs: Milliseconds = 0;

  constructor(first: ClockReading) {
    this.#offsetMs = first.wallMs - first.steadyMs;
  }

  /** Time that never steps back and counts suspensions. */
  read(now: ClockReading): Milliseconds {
    const counted = now.steadyMs + this.#suspendedMs;
    const aheadMs = now.wallMs - counted - this.#offsetMs;
    if (aheadMs < 0) this.#offsetMs += aheadMs;
    if (aheadMs <= TOLERANCE_MS) return counted;
    this.#suspendedMs += aheadMs;
    return counted + aheadMs;
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
