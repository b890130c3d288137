/**
 * Tracks the attempts of one call: whether the upstream may have run it, and whether a retry is allowed.
 *
 * @module
 */
import { match } from "ts-pattern";
import {
  type ExecutionStatus,
  fail,
  type Failure,
  type Milliseconds,
} from "#core";

/** Stage that an attempt has reached. */
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

/** Whether a failed attempt is retried or fails the call. */
export type RetryDecision =
  | { readonly next: "again" }
  | { readonly next: "fail"; readonly failure: Failure };

/** Options of `CallProgress`. */
export interface CallProgressOptions {
  /** Whether the call is safe to run more than once. */
  readonly repeatable: boolean;
  /** Maximum number of attempts, including those that never connected. */
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
 * State machine of one call. `ran` covers all attempts: it stays `unknown` for a call whose first attempt
 * may have run, even if a later attempt never connected.
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

  /** Stage of the latest attempt. */
  get stage(): AttemptStage {
    return this.#stage;
  }

  /** Number of attempts started so far. */
  get attempts(): number {
    return this.#attempts;
  }

  /** Whether an upstream may have run the call. */
  get ran(): ExecutionStatus {
    if (this.#isComplete) return "yes";
    return this.#mayHaveRun ? "unknown" : "no";
  }

  /** Starts an attempt; throws if it could run a non-repeatable call a second time. */
  startAttempt(): void {
    if (this.#isComplete || this.#stage === "dispatched") {
      throw new Error(`cannot start an attempt in stage ${this.#stage}`);
    }
    if (this.#mayHaveRun && !this.#options.repeatable) {
      throw new Error("cannot retry a non-repeatable call that may have run");
    }
    this.#attempts += 1;
    this.#stage = "dispatched";
  }

  /** Records the stage that the attempt has reached; an earlier stage is ignored. */
  recordStage(stage: "sent" | "first_byte" | "whole"): void {
    const previousOrder = STAGE_ORDER.indexOf(this.#stage);
    if (STAGE_ORDER.indexOf(stage) <= previousOrder) return;
    this.#stage = stage;
    this.#mayHaveRun = true;
    if (stage === "whole") this.#isComplete = true;
  }

  /** Ends the attempt with a failure and decides whether to retry. */
  failAttempt(
    cause: AttemptFailureCause,
    retryAfterMs?: Milliseconds,
  ): RetryDecision {
    this.#stage = "failed";
    if (cause === "answer_too_large") this.#isComplete = true;
    if (this.#mayRetry(cause)) return { next: "again" };
    return { next: "fail", failure: this.failureFor(cause, retryAfterMs) };
  }

  /** Returns the caller's failure for a cause, including whether the call may have run. */
  failureFor(cause: AttemptFailureCause, retryAfterMs?: Milliseconds): Failure {
    const options = retryAfterMs === undefined
      ? { ran: this.ran }
      : { ran: this.ran, retryAfterMs };
    return match(cause)
      .with(
        "not_connected",
        () =>
          this.#mayHaveRun
            ? fail(
              "upstream_failed",
              "no further upstream accepted the call",
              options,
            )
            : fail("upstream_refused", "no upstream could be reached", options),
      )
      .with(
        "refused",
        () =>
          fail("upstream_failed", "the upstream rejected the call", options),
      )
      .with(
        "connection_lost",
        () =>
          fail(
            "upstream_failed",
            "the connection to the upstream was lost",
            options,
          ),
      )
      .with(
        "short_answer",
        () => fail("short_answer", "the response ended prematurely", options),
      )
      .with(
        "foreign_answer",
        () =>
          fail(
            "upstream_failed",
            "the response belongs to another request",
            options,
          ),
      )
      .with(
        "answer_too_large",
        () =>
          fail(
            "answer_too_large",
            "the response exceeds the size limit",
            options,
          ),
      )
      .with(
        "deadline",
        () => fail("deadline_passed", "the deadline passed", options),
      )
      .with(
        "cancelled",
        () => fail("cancelled", "the caller disconnected", options),
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
