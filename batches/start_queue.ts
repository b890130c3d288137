/**
 * Starts planned runs a few at a time. A step brings hundreds of items at once, and each start opens a connection; in
 * a single turn of the event loop they would delay the heartbeats of the log until another replica is elected.
 *
 * @module
 */
import type { Clock, Milliseconds } from "#core";
import type { PlannedStart } from "./item_plan.ts";

const MAXIMUM_STARTS_PER_TURN = 16;
/** Time for the starts of one turn; a process that has just started needs several milliseconds for each. */
const MAXIMUM_TURN_MS: Milliseconds = 10;

/** Options of `StartQueue`. */
export interface StartQueueOptions {
  readonly clock: Clock;
  /** Starts one run; one that is no longer wanted is not started. */
  readonly start: (planned: PlannedStart) => void;
  /** Called after the last start. */
  readonly onEmpty: () => void;
}

/** Planned starts that wait for a turn. */
export class StartQueue {
  readonly #options: StartQueueOptions;
  #waiting: readonly PlannedStart[] = [];

  constructor(options: StartQueueOptions) {
    this.#options = options;
  }

  /** Whether planned runs have not started yet. */
  get isBusy(): boolean {
    return this.#waiting.length > 0;
  }

  /** Adds starts and begins with the first of them. */
  add(starts: readonly PlannedStart[]): void {
    const wasBusy = this.isBusy;
    this.#waiting = [...this.#waiting, ...starts];
    if (!wasBusy) this.#startSome();
  }

  /** Drops all starts that have not begun. */
  clear(): void {
    this.#waiting = [];
  }

  #startSome(): void {
    const { clock, start, onEmpty } = this.#options;
    if (!this.isBusy) return;
    const untilMs = clock.nowMs() + MAXIMUM_TURN_MS;
    let started = 0;
    for (const planned of this.#waiting.slice(0, MAXIMUM_STARTS_PER_TURN)) {
      start(planned);
      started += 1;
      if (clock.nowMs() >= untilMs) break;
    }
    this.#waiting = this.#waiting.slice(started);
    if (this.isBusy) clock.after(0, () => this.#startSome());
    else onEmpty();
  }
}
