/**
 * Measures how late this process handles what has arrived, by the delay of a periodic timer.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Age up to which a delay explains the observations of engines, which cover about this time. */
const WINDOW_MS: Milliseconds = 600;

/**
 * The latest delays of a timer.
 *
 * @example
 * ```ts
 * const delay = new TurnDelay(50);
 * delay.recordTick(1_000);
 * delay.recordTick(1_130);
 * delay.worstMs(1_200); // 80
 * ```
 */
export class TurnDelay {
  readonly #periodMs: Milliseconds;
  #delays: {
    readonly endedMs: Milliseconds;
    readonly lengthMs: Milliseconds;
  }[] = [];
  #lastTickMs: Milliseconds | undefined;

  /** Creates a meter for a timer with this period. */
  constructor(periodMs: Milliseconds) {
    this.#periodMs = periodMs;
  }

  /** Records a tick of the timer. */
  recordTick(nowMs: Milliseconds): void {
    const lengthMs = nowMs - (this.#lastTickMs ?? nowMs) - this.#periodMs;
    this.#lastTickMs = nowMs;
    this.#delays = this.#delays.filter(({ endedMs }) =>
      endedMs > nowMs - WINDOW_MS
    );
    if (lengthMs > 0) this.#delays.push({ endedMs: nowMs, lengthMs });
  }

  /** Returns the longest delay of late, including that of the tick that is due now. */
  worstMs(nowMs: Milliseconds): Milliseconds {
    let worstMs = nowMs - (this.#lastTickMs ?? nowMs) - this.#periodMs;
    for (const { endedMs, lengthMs } of this.#delays) {
      if (endedMs > nowMs - WINDOW_MS) worstMs = Math.max(worstMs, lengthMs);
    }
    return Math.max(0, worstMs);
  }
}
