/**
 * An upstream of the load of `share_world`: slots and a queue of limited length, beyond which it rejects calls.
 *
 * @module
 */
import type { Milliseconds, RandomSource } from "#core";

/** An attempt of a call at one upstream. */
export interface ShareAttempt {
  /** Whether its caller still waits. */
  readonly isWanted: () => boolean;
  readonly onStart: () => void;
  readonly onEnd: () => void;
}

/** Options of `ShareUpstream`. */
export interface ShareUpstreamOptions {
  readonly workMs: Milliseconds;
  readonly queuePerSlot: number;
  readonly random: RandomSource;
  readonly after: (delayMs: Milliseconds, action: () => void) => void;
}

/** Runs calls in the order of their arrival. */
export class ShareUpstream {
  slots: number;
  readonly #options: ShareUpstreamOptions;
  #queue: ShareAttempt[] = [];
  #running = 0;

  constructor(slots: number, options: ShareUpstreamOptions) {
    this.slots = slots;
    this.#options = options;
  }

  /** Returns false if the attempt is rejected as not run. */
  accept(attempt: ShareAttempt): boolean {
    if (this.#queue.length >= this.slots * this.#options.queuePerSlot) {
      this.#queue = this.#queue.filter(({ isWanted }) => isWanted());
    }
    if (this.#queue.length >= this.slots * this.#options.queuePerSlot) {
      return false;
    }
    this.#queue.push(attempt);
    this.#startNext();
    return true;
  }

  #startNext(): void {
    while (this.#running < this.slots) {
      const attempt = this.#queue.shift();
      if (attempt === undefined) return;
      if (!attempt.isWanted()) continue;
      this.#running += 1;
      attempt.onStart();
      const { workMs, random, after } = this.#options;
      after(workMs * (0.5 + random.fraction()), () => {
        this.#running -= 1;
        attempt.onEnd();
        this.#startNext();
      });
    }
  }
}
