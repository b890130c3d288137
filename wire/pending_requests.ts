/**
 * Requests that wait for their answers, by correlation number.
 *
 * @module
 */
import {
  type Clock,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  type Result,
  type Timer,
} from "#core";

interface Pending<Link> {
  readonly link: Link;
  readonly timer: Timer;
  readonly resolve: (result: Result<unknown, Failure>) => void;
}

/** Where a request goes and how long its answer is waited for. */
export interface PendingOptions<Link> {
  readonly link: Link;
  readonly to: string;
  readonly timeoutMs: Milliseconds;
}

/** Waiting requests; each settles once. */
export class PendingRequests<Link> {
  readonly #clock: Clock;
  readonly #pending = new Map<number, Pending<Link>>();
  #next = 1;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Opens a request: its number, and the answer or a failure when its time is over. */
  open(options: PendingOptions<Link>): {
    readonly correlation: number;
    readonly answer: Promise<Result<unknown, Failure>>;
  } {
    const correlation = this.#next;
    this.#next += 1;
    const answer = new Promise<Result<unknown, Failure>>((resolve) => {
      const timer = this.#clock.after(options.timeoutMs, () => {
        const message = `no answer from ${options.to} in time`;
        this.settle(correlation, Err(fail("outcome_unknown", message)));
      });
      const { link } = options;
      this.#pending.set(correlation, { link, timer, resolve });
    });
    return { correlation, answer };
  }

  /** Gives a request its result; answers that come late or twice have no effect. */
  settle(correlation: number, result: Result<unknown, Failure>): void {
    const pending = this.#pending.get(correlation);
    if (pending === undefined) return;
    this.#pending.delete(correlation);
    pending.timer.cancel();
    pending.resolve(result);
  }

  /** Fails every request of a link. */
  failAll(link: Link, failure: Failure): void {
    for (const [correlation, pending] of this.#pending) {
      if (pending.link === link) this.settle(correlation, Err(failure));
    }
  }
}
