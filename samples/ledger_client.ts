/**
 * The ledger as an entry uses it, over the control port.
 *
 * @module
 */
import {
  type Clock,
  type ControlPort,
  Err,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";
import type {
  CommitCommand,
  CommitOutcome,
  DeliverCommand,
  DeliverReply,
  LeaseCommand,
  LeaseReply,
  LedgerCommand,
  LedgerQuery,
  LedgerQueryResult,
  LedgerReply,
  StepProgress,
  SubmitCommand,
} from "./ledger_types.ts";

const MAXIMUM_ATTEMPTS = 4;
const RETRY_DELAY_STEP_MS: Milliseconds = 150;

/** Failures that a short wait can mend, for commands that may be repeated. */
const RETRYABLE_KINDS: ReadonlySet<string> = new Set([
  "no_quorum",
  "not_leader",
  "not_ready",
  "outcome_unknown",
  "deadline_passed",
]);

/** Sends commands and questions to the ledger, again if the outcome is unknown: all are idempotent. */
export class LedgerClient {
  readonly #control: ControlPort;
  readonly #clock: Clock;

  constructor(control: ControlPort, clock: Clock) {
    this.#control = control;
    this.#clock = clock;
  }

  /** Submits a step. */
  async submit(command: SubmitCommand): Promise<Result<StepProgress, Failure>> {
    const reply = await this.#propose<"submitted">(command);
    return reply.map((submitted) => submitted.progress);
  }

  /** Renews a lease and asks for groups; one try, since the caller comes back by itself. */
  async lease(command: LeaseCommand): Promise<Result<LeaseReply, Failure>> {
    const reply = await this.#control.propose({ machine: "ledger", command });
    return reply as Result<LeaseReply, Failure>;
  }

  /** Gives the groups of a holder back. */
  async release(
    holder: string,
    epoch: string,
  ): Promise<Result<unknown, Failure>> {
    return await this.#propose({ kind: "release", holder, epoch });
  }

  /** Commits a whole group. */
  async commit(
    command: CommitCommand,
  ): Promise<Result<CommitOutcome, Failure>> {
    const reply = await this.#propose<"commit">(command);
    return reply.map((committed) => committed.outcome);
  }

  /** Publishes a version. */
  async publish(
    trainer: string,
    version: number,
  ): Promise<Result<number, Failure>> {
    const reply = await this.#propose<"published">({
      kind: "publish",
      trainer,
      version,
    });
    return reply.map((published) => published.version);
  }

  /** Hands samples over. */
  deliver(command: DeliverCommand): Promise<Result<DeliverReply, Failure>> {
    return this.#propose<"page">(command);
  }

  /** Asks a question, once. */
  async query<Kind extends LedgerQuery["kind"]>(
    question: Extract<LedgerQuery, { readonly kind: Kind }>,
  ): Promise<
    Result<Extract<LedgerQueryResult, { readonly kind: Kind }>, Failure>
  > {
    const answer = await this.#control.query({ machine: "ledger", question });
    if (answer.err) return Err(answer.val);
    return Ok(
      answer.val as Extract<LedgerQueryResult, { readonly kind: Kind }>,
    );
  }

  async #propose<Kind extends LedgerReply["kind"]>(
    command: LedgerCommand,
  ): Promise<Result<Extract<LedgerReply, { readonly kind: Kind }>, Failure>> {
    for (let attempt = 1;; attempt += 1) {
      const reply = await this.#control.propose({ machine: "ledger", command });
      if (reply.ok) {
        return Ok(reply.val as Extract<LedgerReply, { readonly kind: Kind }>);
      }
      if (attempt === MAXIMUM_ATTEMPTS || !isRetryable(reply.val)) {
        return Err(reply.val);
      }
      await this.#clock.sleep(RETRY_DELAY_STEP_MS * attempt);
    }
  }
}

/** Whether a command to the ledger that failed so may be sent again. */
export function isRetryable(failure: Failure): boolean {
  return RETRYABLE_KINDS.has(failure.kind);
}
