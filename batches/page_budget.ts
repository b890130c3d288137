/**
 * Limits the bytes of result pages that are made in one turn of the event loop. Between turns the pages are sent,
 * so that readers that wake at the same time do not hold all their pages at once.
 *
 * @module
 */
import type { Bytes, Clock } from "#core";

const TURN_BYTES: Bytes = 2_000_000;

/** The bytes of pages that may still be made in this turn. */
export class PageBudget {
  readonly #clock: Clock;
  #spentBytes: Bytes = 0;
  #waiting: (() => void)[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Whether the next page must wait for the next turn. */
  get isSpent(): boolean {
    return this.#spentBytes >= TURN_BYTES;
  }

  /** Counts the bytes of a page. */
  spend(bytes: Bytes): void {
    if (this.#spentBytes === 0) this.#clock.after(0, () => this.#renew());
    this.#spentBytes += Math.max(1, bytes);
  }

  /** Resolves in the next turn. */
  nextTurn(): Promise<void> {
    return new Promise((resolve) => this.#waiting.push(resolve));
  }

  #renew(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    this.#spentBytes = 0;
    for (const resolve of waiting) resolve();
  }
}
