/**
 * Reports once that a call has begun to run at an upstream, over all its attempts.
 *
 * @module
 */
import type { Clock, Milliseconds, Timer } from "#core";

/** Options of `RunReport`. */
export interface RunReportOptions {
  readonly clock: Clock;
  /** Called once, with the time at which the first attempt was sent that ran or may have run; runs are not reported if absent. */
  readonly onRan?: ((sentMs: Milliseconds) => void) | undefined;
  /** Time in flight after which an attempt counts as running; one without an outcome does not count if absent. */
  readonly assumedRunMs?: Milliseconds | undefined;
}

/** An attempt whose outcome is to be reported. */
export interface ReportedAttempt {
  /** The attempt ran, or may have run. */
  readonly recordRan: () => void;
  /** The attempt did not run. */
  readonly recordNotRun: () => void;
}

const NOT_REPORTED: ReportedAttempt = {
  recordRan: () => {},
  recordNotRun: () => {},
};

/**
 * The attempts of one call.
 *
 * @example
 * ```ts
 * const report = new RunReport({ clock, onRan });
 * report.begin(clock.nowMs()).recordRan();
 * ```
 */
export class RunReport {
  readonly #options: RunReportOptions;
  /** When the attempts were sent that may have run. */
  readonly #sentMs = new Map<ReportedAttempt, Milliseconds>();
  #isReported = false;

  constructor(options: RunReportOptions) {
    this.#options = options;
  }

  /** Starts an attempt. */
  begin(sentMs: Milliseconds): ReportedAttempt {
    const { clock, onRan, assumedRunMs } = this.#options;
    if (onRan === undefined || this.#isReported) return NOT_REPORTED;
    let timer: Timer | undefined;
    const attempt = {
      recordRan: () => {
        timer?.cancel();
        this.#report();
      },
      recordNotRun: () => {
        timer?.cancel();
        this.#sentMs.delete(attempt);
      },
    };
    this.#sentMs.set(attempt, sentMs);
    if (assumedRunMs !== undefined) {
      timer = clock.after(assumedRunMs, () => this.#report());
    }
    return attempt;
  }

  #report(): void {
    if (this.#isReported) return;
    this.#isReported = true;
    this.#options.onRan?.(Math.min(...this.#sentMs.values()));
  }
}
