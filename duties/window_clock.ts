/**
 * The time by which calls are assigned to windows: the wall clock, without the steps that can be distinguished from suspensions.
 * A process whose wall clock is wrong uses the time on which most other VMs agree.
 *
 * The time since the start of the VM would distinguish steps from suspensions, but a process can't rely on it: under clocks of
 * its own, as in a time namespace, the system may still report that of its host.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Difference between two clocks that is no step: slewing, and the time between two readings. */
const STEP_TOLERANCE_MS: Milliseconds = 50;
/** Offsets of the wall clock that are remembered; a clock that steps usually returns soon. */
const MAXIMUM_OFFSETS = 16;
/** Differences between the clocks of VMs that are synchronised; a larger one is an error. */
const SYNCHRONISATION_TOLERANCE_MS: Milliseconds = 500;
/** Time after a change in which the clocks are compared: VMs that count calls send a message every 2 s at least. */
const COMPARISON_MS: Milliseconds = 3_000;
/** Processes whose clocks are compared. */
const MAXIMUM_SOURCES = 400;

/** Readings of two clocks at the same moment. */
export interface ClockPair {
  /** Monotonic clock; stops while the VM is suspended. */
  readonly steadyMs: Milliseconds;
  /** Wall clock; may step in both directions. */
  readonly wallMs: Milliseconds;
}

/**
 * A wall clock that does not go back. Where it runs ahead of the monotonic clock, the VM was suspended, or the clock
 * stepped forward; a step back to an earlier offset shows that it was a step.
 *
 * @example
 * ```ts
 * const clock = new WindowClock(() => ({ steadyMs: performance.now(), wallMs: Date.now() }));
 * clock.nowMs();
 * ```
 */
export class WindowClock {
  readonly #read: () => ClockPair;
  /** Differences of the wall clock and the monotonic clock, ascending; the last one is used. */
  #offsetsMs: readonly Milliseconds[];
  /** How far the clocks of other processes are ahead of this one. */
  readonly #leadsMs = new Map<string, Milliseconds>();
  #correctionMs: Milliseconds = 0;
  /** When the used offset last changed, by the monotonic clock. */
  #changedMs: Milliseconds = -Infinity;

  constructor(read: () => ClockPair) {
    this.#read = read;
    this.#offsetsMs = [offsetOf(read())];
  }

  /** Returns the current time in Unix milliseconds. */
  nowMs(): Milliseconds {
    const ownMs = this.ownMs();
    return ownMs + this.#correctionMs;
  }

  /** Returns the current time by the clocks of this VM alone, for other VMs. */
  ownMs(): Milliseconds {
    const reading = this.#read();
    const offsetMs = offsetOf(reading);
    const usedMs = this.#offsetsMs.at(-1) ?? offsetMs;
    if (offsetMs > usedMs + STEP_TOLERANCE_MS) {
      this.#useOffsets([...this.#offsetsMs, offsetMs].slice(-MAXIMUM_OFFSETS));
    } else if (offsetMs < usedMs - STEP_TOLERANCE_MS) {
      this.#returnTo(offsetMs);
    }
    return reading.steadyMs + (this.#offsetsMs.at(-1) ?? offsetMs);
  }

  /**
   * Records the own time of another process, just received. A delay makes its clock seem late, so the largest lead is
   * the most exact.
   */
  compare(process: string, itsMs: Milliseconds): void {
    const leadMs = itsMs - this.ownMs();
    const known = this.#leadsMs.get(process) ?? -Infinity;
    this.#leadsMs.delete(process);
    this.#leadsMs.set(process, Math.max(known, leadMs));
    for (const oldest of this.#leadsMs.keys()) {
      if (this.#leadsMs.size <= MAXIMUM_SOURCES) break;
      this.#leadsMs.delete(oldest);
    }
    const typicalMs = medianOf([0, ...this.#leadsMs.values()]);
    const isWrong = Math.abs(typicalMs) > SYNCHRONISATION_TOLERANCE_MS;
    this.#correctionMs = isWrong ? typicalMs : 0;
  }

  /** Whether the clock of a process has been compared since the own clock last changed. */
  knows(process: string): boolean {
    this.ownMs();
    return this.#leadsMs.has(process);
  }

  /** Whether the clocks of other processes could be compared since the own clock last changed. */
  isStable(): boolean {
    this.ownMs();
    return this.#read().steadyMs - this.#changedMs >= COMPARISON_MS;
  }

  /** Uses an earlier offset again, if the wall clock has returned to one. */
  #returnTo(offsetMs: Milliseconds): void {
    const at = this.#offsetsMs.findIndex((each) =>
      Math.abs(each - offsetMs) <= STEP_TOLERANCE_MS
    );
    if (at >= 0) this.#useOffsets(this.#offsetsMs.slice(0, at + 1));
  }

  /** The clocks of the other processes are compared anew, with the clock that has changed. */
  #useOffsets(offsetsMs: readonly Milliseconds[]): void {
    this.#offsetsMs = offsetsMs;
    this.#changedMs = this.#read().steadyMs;
    this.#leadsMs.clear();
    this.#correctionMs = 0;
  }
}

function offsetOf({ steadyMs, wallMs }: ClockPair): Milliseconds {
  return wallMs - steadyMs;
}

/** Returns the median, of two the one closer to zero. */
function medianOf(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return Math.abs(lower) <= Math.abs(upper) ? lower : upper;
}
