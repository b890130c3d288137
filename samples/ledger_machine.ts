/**
 * The ledger: the state machine that decides which sample of which group counts, and what was handed
 * over to whom.
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

/** What the ledger is built from. */
export interface LedgerMachineOptions {
  /**
   * Rules of a trainer in the bundle in force. It must answer from state that the same log builds, so
   * that every replica gets the same answer at the same entry.
   */
  readonly findTrainer: TrainerLookup;
}

/**
 * Holds steps, groups, published versions and what was handed over.
 *
 * @example
 * ```ts
 * const ledger = new LedgerMachine({ rules: (name) => trainers.get(name) ?? null });
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

  override ask(question: unknown): Result<LedgerQueryResult, Failure> {
    const parsed = ledgerQuerySchema.safeParse(question);
    if (!parsed.success) return Err(schemaFailure(parsed.error, question));
    return match(parsed.data)
      .with({ kind: "step" }, (asked) => this.#queryStep(asked))
      .with({ kind: "ready" }, (asked) => this.#queryReady(asked))
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
        const known = state.trainers.has(deliver.trainer);
        if (trainerEntry === null && !known) {
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
    asked: Extract<LedgerQuery, { readonly kind: "step" }>,
  ): Result<LedgerQueryResult, Failure> {
    const step = findStep(this.#state, asked.trainer, asked.step);
    if (step !== undefined) {
      return Ok({ kind: "step", progress: progressOf(step) });
    }
    const trainer = this.#state.trainers.get(asked.trainer);
    for (const finished of trainer?.finished ?? []) {
      if (finished.progress.step !== asked.step) continue;
      return Ok({ kind: "step", progress: finished.progress });
    }
    if (trainer === undefined && this.#findTrainer(asked.trainer) === null) {
      return Err(unknownTrainer(asked.trainer));
    }
    const message = `step ${asked.step} of ${asked.trainer} is not known`;
    return Err(fail("not_found", message));
  }

  #queryReady(
    asked: Extract<LedgerQuery, { readonly kind: "ready" }>,
  ): Result<LedgerQueryResult, Failure> {
    const known = this.#state.trainers.get(asked.trainer);
    if (known === undefined && this.#findTrainer(asked.trainer) === null) {
      return Err(unknownTrainer(asked.trainer));
    }
    const trainer = known ?? emptyTrainer(asked.trainer);
    return findPageAfter(trainer, asked.after).map((page) => ({
      kind: "ready",
      ready: page !== null || trainer.ready.length > 0,
    }));
  }
}

/** Turns a fault of shape into a failure; a step's own fields give `invalid_step`. */
function schemaFailure(error: z.ZodError, value: unknown): Failure {
  const issue = error.issues[0];
  const field = issue?.path.join(".") ?? "";
  const isStep = typeof value === "object" && value !== null &&
    "kind" in value && value.kind === "submit";
  const kind = isStep ? "invalid_step" : "malformed_request";
  return fail(kind, `${field}: ${issue?.message ?? "is wrong"}`, { field });
}
