/**
 * The progress of one call through its attempts: what may have run, and what may be tried again.
 *
 * @module
 */
import { match } from "ts-pattern";
import { fail, type Failure, type Milliseconds, type Ran } from "#core";

/** Where an attempt is. */
export type AttemptStage =
  | "queued"
  | "dispatched"
  | "sent"
  | "first_byte"
  | "whole"
  | "failed";

/** Why an attempt failed. */
export type AttemptFailureCause =
  | "not_connected"
  | "connection_lost"
  | "short_answer"
  | "foreign_answer"
  | "answer_too_large"
  | "refused"
  | "deadline"
  | "cancelled";

/** What follows from a failed attempt. */
export type RetryDecision =
  | { readonly next: "again" }
  | { readonly next: "fail"; readonly failure: Failure };

/** What is known of a call before its first attempt. */
export interface CallProgressOptions {
  /** Whether running the call twice does no harm. */
  readonly repeatable: boolean;
  /** Most attempts, those that never connected included. */
  readonly maximumAttempts: number;
}

const STAGE_ORDER: readonly AttemptStage[] = [
  "queued",
  "dispatched",
  "sent",
  "first_byte",
  "whole",
];

/**
 * The state machine of one call. `ran` covers all attempts: a call whose first attempt may have run
 * stays `unknown` even when a later attempt never connected.
 *
 * @example
 * ```ts
 * const progress = new CallProgress({ repeatable: false, maximumAttempts: 3 });
 * progress.dispatched();
 * progress.reached("sent");
 * progress.failed("connection_lost"); // fails, ran "unknown"
 * ```
 */
export class CallProgress {
  readonly #options: CallProgressOptions;
  #stage: AttemptStage = "queued";
  #attempts = 0;
  #mayHaveRun = false;
  #isComplete = false;

  constructor(options: CallProgressOptions) {
    this.#options = options;
  }

  /** Stage of the newest attempt. */
  get stage(): AttemptStage {
    return this.#stage;
  }

  /** Attempts dispatched so far. */
  get attempts(): number {
    return this.#attempts;
  }

  /** Whether an upstream can have executed the call. */
  get ran(): Ran {
    if (this.#isComplete) return "yes";
    return this.#mayHaveRun ? "unknown" : "no";
  }

  /** Starts an attempt; throws when that could run the call a second time. */
  startAttempt(): void {
    if (this.#isComplete || this.#stage === "dispatched") {
      throw new Error(`an attempt can't start while ${this.#stage}`);
    }
    if (this.#mayHaveRun && !this.#options.repeatable) {
      throw new Error("a call that may not be repeated may have run");
    }
    this.#attempts += 1;
    this.#stage = "dispatched";
  }

  /** Notes how far the attempt got; stages never go back. */
  recordStage(stage: "sent" | "first_byte" | "whole"): void {
    const before = STAGE_ORDER.indexOf(this.#stage);
    if (STAGE_ORDER.indexOf(stage) <= before) return;
    this.#stage = stage;
    this.#mayHaveRun = true;
    if (stage === "whole") this.#isComplete = true;
  }

  /** Ends the attempt and decides what follows. */
  failAttempt(
    cause: AttemptFailureCause,
    retryAfterMs?: Milliseconds,
  ): RetryDecision {
    this.#stage = "failed";
    if (cause === "answer_too_large") this.#isComplete = true;
    if (this.#mayRetry(cause)) return { next: "again" };
    return { next: "fail", failure: this.failureFor(cause, retryAfterMs) };
  }

  /** The failure that the caller gets for a cause, with the truth about whether the call ran. */
  failureFor(cause: AttemptFailureCause, retryAfterMs?: Milliseconds): Failure {
    const options = retryAfterMs === undefined
      ? { ran: this.ran }
      : { ran: this.ran, retryAfterMs };
    return match(cause)
      .with(
        "not_connected",
        () =>
          this.#mayHaveRun
            ? fail("upstream_failed", "no further upstream took it", options)
            : fail("upstream_refused", "no upstream could be reached", options),
      )
      .with(
        "refused",
        () => fail("upstream_failed", "the upstream refused the call", options),
      )
      .with(
        "connection_lost",
        () => fail("upstream_failed", "the connection broke", options),
      )
      .with(
        "short_answer",
        () => fail("short_answer", "the answer broke off", options),
      )
      .with(
        "foreign_answer",
        () =>
          fail("upstream_failed", "the answer was another request's", options),
      )
      .with(
        "answer_too_large",
        () => fail("answer_too_large", "the answer is over the limit", options),
      )
      .with(
        "deadline",
        () => fail("deadline_passed", "the deadline passed", options),
      )
      .with(
        "cancelled",
        () => fail("cancelled", "the caller went away", options),
      )
      .exhaustive();
  }

  #mayRetry(cause: AttemptFailureCause): boolean {
    if (this.#attempts >= this.#options.maximumAttempts) return false;
    if (cause === "deadline" || cause === "cancelled") return false;
    if (cause === "answer_too_large") return false;
    return this.#options.repeatable || !this.#mayHaveRun;
  }
}
