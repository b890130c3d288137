/**
 * Matches replies to pending requests by correlation number.
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

interface PendingRequest<Link> {
  readonly link: Link;
  readonly timer: Timer;
  readonly resolve: (result: Result<unknown, Failure>) => void;
}

/** Link, destination and timeout of a request. */
export interface PendingRequestOptions<Link> {
  readonly link: Link;
  readonly to: string;
  readonly timeoutMs: Milliseconds;
}

/** Requests that wait for a reply; each is settled once. */
export class PendingRequests<Link> {
  readonly #clock: Clock;
  readonly #pending = new Map<number, PendingRequest<Link>>();
  #nextCorrelation = 1;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Registers a request; `reply` resolves to the result that the peer sends, or to the failure
   * `outcome_unknown` after the timeout.
   */
  register(options: PendingRequestOptions<Link>): {
    readonly correlation: number;
    readonly reply: Promise<Result<unknown, Failure>>;
  } {
    const correlation = this.#nextCorrelation;
    this.#nextCorrelation += 1;
    const reply = new Promise<Result<unknown, Failure>>((resolve) => {
      const timer = this.#clock.after(options.timeoutMs, () => {
        const message = `no reply from ${options.to} in time`;
        this.settle(correlation, Err(fail("outcome_unknown", message)));
      });
      const { link } = options;
      this.#pending.set(correlation, { link, timer, resolve });
    });
    return { correlation, reply };
  }

  /** Settles a request with its result; late and duplicate replies have no effect. */
  settle(correlation: number, result: Result<unknown, Failure>): void {
    const pending = this.#pending.get(correlation);
    if (pending === undefined) return;
    this.#pending.delete(correlation);
    pending.timer.cancel();
    pending.resolve(result);
  }

  /** Settles every pending request of a link with `failure`. */
  failAll(link: Link, failure: Failure): void {
    for (const [correlation, pending] of this.#pending) {
      if (pending.link === link) this.settle(correlation, Err(failure));
    }
  }
}
