/**
 * Client of the ledger for entry VMs, over the control port.
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

/** Kinds of transient failures after which an idempotent command may be retried. */
const RETRYABLE_KINDS: ReadonlySet<string> = new Set([
  "no_quorum",
  "not_leader",
  "not_ready",
  "outcome_unknown",
  "deadline_passed",
]);

/** Sends commands and queries to the ledger. Commands are idempotent and retried if their outcome is unknown. */
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

  /** Renews a lease and requests groups. Makes one attempt, since the caller renews periodically. */
  async lease(command: LeaseCommand): Promise<Result<LeaseReply, Failure>> {
    const reply = await this.#control.propose({ machine: "ledger", command });
    return reply as Result<LeaseReply, Failure>;
  }

  /** Releases all groups of a holder. */
  async release(
    holder: string,
    epoch: string,
  ): Promise<Result<unknown, Failure>> {
    return await this.#propose({ kind: "release", holder, epoch });
  }

  /** Commits a complete group. */
  async commit(
    command: CommitCommand,
  ): Promise<Result<CommitOutcome, Failure>> {
    const reply = await this.#propose<"commit">(command);
    return reply.map((committed) => committed.outcome);
  }

  /** Publishes a version of a trainer's model. */
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

  /** Delivers the next page of samples after a cursor. */
  deliver(command: DeliverCommand): Promise<Result<DeliverReply, Failure>> {
    return this.#propose<"page">(command);
  }

  /** Sends a query; makes one attempt. */
  async query<Kind extends LedgerQuery["kind"]>(
    query: Extract<LedgerQuery, { readonly kind: Kind }>,
  ): Promise<
    Result<Extract<LedgerQueryResult, { readonly kind: Kind }>, Failure>
  > {
    const result = await this.#control.query({
      machine: "ledger",
      question: query,
    });
    if (result.err) return Err(result.val);
    return Ok(
      result.val as Extract<LedgerQueryResult, { readonly kind: Kind }>,
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

/** Whether a ledger command that failed this way may be retried. */
export function isRetryable(failure: Failure): boolean {
  return RETRYABLE_KINDS.has(failure.kind);
}
