/**
 * The sample ledger: the replicated state machine that decides which commit of a group is accepted,
 * and which samples have been delivered to which trainer.
 *
 * @module
 */
import {
  type Committed,
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
  StateMachine,
} from "#core";
import { match } from "ts-pattern";
import type { z } from "zod";
import {
  commitGroup,
  deliverPage,
  findPageAfter,
  publishVersion,
} from "./ledger_delivery.ts";
import {
  leaseGroups,
  listStepProgress,
  releaseHolder,
  type TrainerLookup,
} from "./ledger_leases.ts";
import {
  deserializeLedger,
  emptyLedger,
  emptyTrainer,
  findStep,
  type LedgerState,
  progressOf,
  serializeLedger,
} from "./ledger_state.ts";
import { submitStep, unknownTrainer } from "./ledger_steps.ts";
import {
  type LedgerCommand,
  ledgerCommandSchema,
  type LedgerQuery,
  type LedgerQueryResult,
  ledgerQuerySchema,
  type LedgerReply,
  type PublishCommand,
} from "./ledger_types.ts";

/** Options of `LedgerMachine`. */
export interface LedgerMachineOptions {
  /**
   * Returns the entry of a trainer in the active bundle. It must read only state that is built from the
   * same log, so that every replica gets the same result at the same log entry.
   */
  readonly findTrainer: TrainerLookup;
}

/**
 * Stores steps, groups, published versions, and the pages delivered to trainers.
 *
 * @example
 * ```ts
 * const ledger = new LedgerMachine({ findTrainer: (name) => trainers.get(name) ?? null });
 * ```
 */
export class LedgerMachine
  extends StateMachine<unknown, LedgerReply, unknown, LedgerQueryResult> {
  override readonly name = "ledger" as const;
  readonly #findTrainer: TrainerLookup;
  #state: LedgerState = emptyLedger();

  constructor(options: LedgerMachineOptions) {
    super();
    this.#findTrainer = options.findTrainer;
  }

  override apply(entry: Committed<unknown>): Result<LedgerReply, Failure> {
    const parsed = ledgerCommandSchema.safeParse(entry.command);
    this.#state.atMs = Math.max(this.#state.atMs, entry.atMs);
    if (!parsed.success) return Err(schemaFailure(parsed.error, entry.command));
    return this.#applyCommand(parsed.data);
  }

  override query(query: unknown): Result<LedgerQueryResult, Failure> {
    const parsed = ledgerQuerySchema.safeParse(query);
    if (!parsed.success) return Err(schemaFailure(parsed.error, query));
    return match(parsed.data)
      .with({ kind: "step" }, (query) => this.#queryStep(query))
      .with({ kind: "ready" }, (query) => this.#queryReady(query))
      .with({ kind: "published" }, () =>
        Ok({
          kind: "published" as const,
          published: [...this.#state.published.values()],
        }))
      .with(
        { kind: "progress" },
        () =>
          Ok({
            kind: "progress" as const,
            progress: listStepProgress(this.#state),
            published: [...this.#state.published.values()],
          }),
      )
      .exhaustive();
  }

  override snapshot(): unknown {
    return serializeLedger(this.#state);
  }

  override restore(state: unknown): void {
    this.#state = deserializeLedger(state);
  }

  #applyCommand(command: LedgerCommand): Result<LedgerReply, Failure> {
    const state = this.#state;
    return match(command)
      .returnType<Result<LedgerReply, Failure>>()
      .with({ kind: "submit" }, (submit) => {
        const trainerEntry = this.#findTrainer(submit.trainer);
        return submitStep(state, submit, trainerEntry)
          .map((progress) => ({ kind: "submitted", progress }));
      })
      .with(
        { kind: "lease" },
        (lease) => leaseGroups(state, lease, this.#findTrainer),
      )
      .with({ kind: "release" }, (release) => {
        releaseHolder(state, release);
        return Ok({ kind: "released" });
      })
      .with({ kind: "commit" }, (commit) =>
        commitGroup(state, commit)
          .map((outcome) => ({ kind: "commit", outcome })))
      .with({ kind: "publish" }, (publish) => this.#publish(publish))
      .with({ kind: "deliver" }, (deliver) => {
        const trainerEntry = this.#findTrainer(deliver.trainer);
        const isKnown = state.trainers.has(deliver.trainer);
        if (trainerEntry === null && !isKnown) {
          return Err(unknownTrainer(deliver.trainer));
        }
        return deliverPage(state, deliver);
      })
      .exhaustive();
  }

  #publish(command: PublishCommand): Result<LedgerReply, Failure> {
    const trainerEntry = this.#findTrainer(command.trainer);
    if (trainerEntry === null) return Err(unknownTrainer(command.trainer));
    return publishVersion(this.#state, command, trainerEntry)
      .map((version) => ({ kind: "published", version }));
  }

  #queryStep(
    query: Extract<LedgerQuery, { readonly kind: "step" }>,
  ): Result<LedgerQueryResult, Failure> {
    const step = findStep(this.#state, query.trainer, query.step);
    if (step !== undefined) {
      return Ok({ kind: "step", progress: progressOf(step) });
    }
    const trainer = this.#state.trainers.get(query.trainer);
    for (const finished of trainer?.finished ?? []) {
      if (finished.progress.step !== query.step) continue;
      return Ok({ kind: "step", progress: finished.progress });
    }
    if (trainer === undefined && this.#findTrainer(query.trainer) === null) {
      return Err(unknownTrainer(query.trainer));
    }
    const message = `unknown step ${query.step} of trainer ${query.trainer}`;
    return Err(fail("not_found", message));
  }

  #queryReady(
    query: Extract<LedgerQuery, { readonly kind: "ready" }>,
  ): Result<LedgerQueryResult, Failure> {
    const existing = this.#state.trainers.get(query.trainer);
    if (existing === undefined && this.#findTrainer(query.trainer) === null) {
      return Err(unknownTrainer(query.trainer));
    }
    const trainer = existing ?? emptyTrainer(query.trainer);
    return findPageAfter(trainer, query.after).map((page) => ({
      kind: "ready",
      ready: page !== null || trainer.ready.length > 0,
    }));
  }
}

/** Returns the failure for a schema error: `invalid_step` for a submission, else `malformed_request`. */
function schemaFailure(error: z.ZodError, value: unknown): Failure {
  const issue = error.issues[0];
  const field = issue?.path.join(".") ?? "";
  const isStep = typeof value === "object" && value !== null &&
    "kind" in value && value.kind === "submit";
  const kind = isStep ? "invalid_step" : "malformed_request";
  return fail(kind, `${field}: ${issue?.message ?? "is invalid"}`, { field });
}
