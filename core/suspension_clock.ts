/**
 * The machine's clock, with the time counted that a suspended VM has missed.
 *
 * @module
 */
import { SystemClock } from "./clock.ts";
import type { Milliseconds } from "./units.ts";

/** How far the time of day may run ahead of the steady clock between two looks without being a suspension. */
const SUSPENSION_MS: Milliseconds = 100;

/** Reads the two clocks of the machine. */
export interface ClockPair {
  readonly steadyMs: () => Milliseconds;
  readonly wallMs: () => Milliseconds;
}

/**
 * The steady clock stands still while a VM is suspended, the time of day does not. `nowMs` adds each stretch
 * by which the time of day ran ahead, so that a lease never outlives a suspension; a forward jump of the
 * time of day ends leases early, which is safe.
 *
 * @example
 * ```ts
 * const clock = new SuspensionClock();
 * ```
 */
export class SuspensionClock extends SystemClock {
  readonly #clocks: ClockPair;
  #steadyMs: Milliseconds;
  #dayMs: Milliseconds;
  #suspendedMs: Milliseconds = 0;

  constructor(
    clocks: ClockPair = {
      steadyMs: () => performance.now(),
      wallMs: () => Date.now(),
    },
  ) {
    super();
    this.#clocks = clocks;
    this.#steadyMs = clocks.steadyMs();
    this.#dayMs = clocks.wallMs();
  }

  override nowMs(): Milliseconds {
    const steadyMs = this.#clocks.steadyMs();
    const dayMs = this.#clocks.wallMs();
    const aheadMs = (dayMs - this.#dayMs) - (steadyMs - this.#steadyMs);
    if (aheadMs > SUSPENSION_MS) this.#suspendedMs += aheadMs;
    this.#steadyMs = steadyMs;
    this.#dayMs = dayMs;
    return steadyMs + this.#suspendedMs;
  }
}
