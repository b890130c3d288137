/**
 * A system clock that includes the time during which the VM was suspended.
 *
 * @module
 */
import { SystemClock } from "./clock.ts";
import type { Milliseconds } from "./units.ts";

/** Total time by which the wall clock may run ahead of the monotonic clock without counting as a suspension. */
const TOLERANCE_MS: Milliseconds = 20;

/** A reading of both system clocks at the same moment. */
export interface ClockReading {
  /** Monotonic clock; stops while the VM is suspended. */
  readonly steadyMs: Milliseconds;
  /** Wall clock; can jump. */
  readonly wallMs: Milliseconds;
}

/**
 * Adds to the monotonic clock each interval by which the wall clock ran ahead of it, so that a lease never
 * outlives a suspension. A forward jump of the wall clock expires leases early, which is safe.
 *
 * @example
 * ```ts
 * const meter = new SuspensionMeter({ steadyMs: 10, wallMs: 1_000 });
 * meter.read({ steadyMs: 11, wallMs: 6_001 }); // 5_011
 * ```
 */
export class SuspensionMeter {
  /** Minimum observed value of the wall clock minus the monotonic clock and the counted suspensions. */
  #offsetMs: Milliseconds;
  #suspendedMs: Milliseconds = 0;

  constructor(first: ClockReading) {
    this.#offsetMs = first.wallMs - first.steadyMs;
  }

  /** Returns a monotonic time that includes suspensions. */
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
 * The system clock for programs whose VM can be suspended.
 *
 * @example
 * ```ts
 * const clock = new SuspensionClock();
 * ```
 */
export class SuspensionClock extends SystemClock {
  readonly #meter = new SuspensionMeter(readSystemClocks());

  override nowMs(): Milliseconds {
    return this.#meter.read(readSystemClocks());
  }
}

/** Reads both system clocks. */
export function readSystemClocks(): ClockReading {
  return { steadyMs: performance.now(), wallMs: Date.now() };
}
