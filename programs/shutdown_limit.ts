/**
 * The time limits of a server that stops: from when on requests must end early, and when all others are given up.
 *
 * @module
 */
import type { Clock, Milliseconds } from "#core";

/** Time for which a server goes on after it was told to stop. */
export interface ShutdownTimes {
  /** Time in which the load balancer notices; requests that arrive meanwhile are served as usual. */
  readonly noticeMs: Milliseconds;
  /** Time after which requests without a response are answered with a failure; unlimited if absent. */
  readonly limitMs?: Milliseconds;
}

/** What became of work that a shutdown may interrupt. */
export type LimitedOutcome<Value> =
  | { readonly kind: "done"; readonly value: Value }
  | { readonly kind: "stopped" };

/** Ends the requests of a server within its shutdown grace period. */
export class ShutdownLimit {
  readonly #clock: Clock;
  readonly #interrupts = new Set<() => void>();
  #noticeEndsMs = Infinity;
  #endsMs = Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Starts to count the time. */
  begin({ noticeMs, limitMs }: ShutdownTimes): void {
    const nowMs = this.#clock.nowMs();
    this.#noticeEndsMs = nowMs + noticeMs;
    if (limitMs === undefined) return;
    this.#endsMs = nowMs + limitMs;
    this.#clock.after(limitMs, () => {
      for (const interrupt of [...this.#interrupts]) interrupt();
    });
  }

  /** Returns by when a request that arrives now must be complete; undefined unless the notice time has passed. */
  endOfRequestMs(): Milliseconds | undefined {
    const isLate = this.#clock.nowMs() >= this.#noticeEndsMs;
    return isLate && this.#endsMs !== Infinity ? this.#endsMs : undefined;
  }

  /** Waits for work, at most until the limit; the work is not cancelled by it. */
  wait<Value>(work: Promise<Value>): Promise<LimitedOutcome<Value>> {
    return new Promise((resolve, reject) => {
      const interrupt = (): void => {
        this.#interrupts.delete(interrupt);
        resolve({ kind: "stopped" });
      };
      this.#interrupts.add(interrupt);
      work.then(
        (value) => {
          this.#interrupts.delete(interrupt);
          resolve({ kind: "done", value });
        },
        (error: unknown) => {
          this.#interrupts.delete(interrupt);
          reject(error);
        },
      );
    });
  }
}
