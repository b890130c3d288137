/**
 * Requests that wait for a change, and whoever else has to learn of each one.
 *
 * @module
 */
import type { Clock, Milliseconds } from "#core";

/** Holds what waits. */
export class ChangeWaiters {
  readonly #clock: Clock;
  readonly #waiters = new Set<() => void>();
  #handleChange: () => void = () => {};

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Sets what is called at each change. */
  onChange(handler: () => void): void {
    this.#handleChange = handler;
  }

  /** Wakes everything that waits. */
  wake(): void {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const wake of waiters) wake();
    this.#handleChange();
  }

  /** Resolves at the next change, or after `waitMs`. */
  wait(waitMs: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.cancel();
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = this.#clock.after(waitMs, wake);
      this.#waiters.add(wake);
    });
  }
}
