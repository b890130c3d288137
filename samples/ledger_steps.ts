/**
 * Submission of steps to the ledger.
 *
 * @module
 */
import { createHash } from "node:crypto";
import {
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
  type TrainerEntry,
} from "#core";
import {
  emptyTrainer,
  findStep,
  type LedgerState,
  progressOf,
  type StepState,
  type TrainerState,
} from "./ledger_state.ts";
import {
  MAXIMUM_GROUP_TOKENS,
  MAXIMUM_STEP_SAMPLES,
  type StepProgress,
  type SubmitCommand,
} from "./ledger_types.ts";

/** Maximum number of unfinished steps of one trainer. */
export const MAXIMUM_UNFINISHED_STEPS = 4;
/** Number of finished steps per trainer that are retained to answer repeated submissions. */
const RETAINED_FINISHED_STEPS = 16;
const UNFINISHED_STEPS_RETRY_MS = 5_000;

/** Adds a step, or returns the progress of the identical step submitted before. */
export function submitStep(
  state: LedgerState,
  command: SubmitCommand,
  trainerEntry: TrainerEntry | null,
): Result<StepProgress, Failure> {
  if (trainerEntry === null) return Err(unknownTrainer(command.trainer));
  const digest = digestOf(command);
  const earlier = findEarlierSubmission(state, command, digest);
  if (earlier !== undefined) return earlier;
  const invalidity = validateStep(command, trainerEntry);
  if (invalidity !== undefined) return Err(invalidity);
  const trainer = state.trainers.get(command.trainer) ??
    emptyTrainer(command.trainer);
  const rejection = checkAdmission(trainer, command);
  if (rejection !== undefined) return Err(rejection);
  const step = createStep(state, command, {
    trainerEntry,
    digest,
  });
  trainer.steps.push(step);
  state.trainers.set(command.trainer, trainer);
  return Ok(progressOf(step));
}

/** Moves a step whose groups are all delivered to the finished steps. */
export function finishStep(trainer: TrainerState, step: StepState): void {
  trainer.steps = trainer.steps.filter((other) => other !== step);
  trainer.finished.push({ digest: step.digest, progress: progressOf(step) });
  while (trainer.finished.length > RETAINED_FINISHED_STEPS) {
    const forgotten = trainer.finished.shift();
    const number = forgotten?.progress.step ?? 0;
    trainer.forgottenBelow = Math.max(trainer.forgottenBelow, number + 1);
  }
}

/** Returns the failure for a trainer that the bundle does not list. */
export function unknownTrainer(trainer: string): Failure {
  return fail("unknown_trainer", `there is no trainer ${trainer}`, {
    field: "trainer",
  });
}

function findEarlierSubmission(
  state: LedgerState,
  command: SubmitCommand,
  digest: string,
): Result<StepProgress, Failure> | undefined {
  const open = findStep(state, command.trainer, command.step);
  if (open !== undefined) {
    if (open.digest === digest) return Ok(progressOf(open));
    return Err(contentConflict(command));
  }
  const trainer = state.trainers.get(command.trainer);
  for (const finished of trainer?.finished ?? []) {
    if (finished.progress.step !== command.step) continue;
    if (finished.digest === digest) return Ok(finished.progress);
    return Err(contentConflict(command));
  }
  return undefined;
}

function contentConflict(command: SubmitCommand): Failure {
  const name = `step ${command.step} of trainer ${command.trainer}`;
  return fail("conflict", `${name} was submitted with different content`);
}

function validateStep(
  command: SubmitCommand,
  trainerEntry: TrainerEntry,
): Failure | undefined {
  const seen = new Set<number>();
  for (const { group } of command.groups) {
    if (seen.has(group)) {
      return invalidStep("groups", `group ${group} is listed twice`);
    }
    seen.add(group);
  }
  const samples = command.groups.length * command.groupSize;
  if (samples > MAXIMUM_STEP_SAMPLES) {
    return invalidStep(
      "groupSize",
      `${samples} samples exceed the limit of ${MAXIMUM_STEP_SAMPLES}`,
    );
  }
  const tokens = command.groupSize * command.maximumTokens;
  if (tokens > MAXIMUM_GROUP_TOKENS) {
    return invalidStep(
      "maximumTokens",
      `${tokens} tokens in a group exceed the limit of ${MAXIMUM_GROUP_TOKENS}`,
    );
  }
  if (command.bound > trainerEntry.maximumStaleness) {
    const message =
      `bound ${command.bound} exceeds ${trainerEntry.maximumStaleness}`;
    return fail("bound_cannot_be_met", message, { field: "bound" });
  }
  return undefined;
}

function invalidStep(field: string, message: string): Failure {
  return fail("invalid_step", `${field}: ${message}`, { field });
}

function checkAdmission(
  trainer: TrainerState,
  command: SubmitCommand,
): Failure | undefined {
  if (command.step < trainer.forgottenBelow) {
    const message = `step ${command.step} is older than the stored steps`;
    return fail("conflict", message, { field: "step" });
  }
  if (trainer.steps.length < MAXIMUM_UNFINISHED_STEPS) return undefined;
  const message =
    `the trainer has ${MAXIMUM_UNFINISHED_STEPS} unfinished steps already`;
  return fail("too_many_requests", message, {
    retryAfterMs: UNFINISHED_STEPS_RETRY_MS,
  });
}

function createStep(
  state: LedgerState,
  command: SubmitCommand,
  options: { readonly trainerEntry: TrainerEntry; readonly digest: string },
): StepState {
  return {
    trainer: command.trainer,
    step: command.step,
    model: options.trainerEntry.model,
    digest: options.digest,
    groupSize: command.groupSize,
    bound: command.bound,
    maximumTokens: command.maximumTokens,
    allowedMs: command.deadlineMs,
    deadlineAtMs: state.atMs + command.deadlineMs,
    groups: command.groups.map(({ group, prompt }) => ({
      group,
      prompt,
      phase: "open",
      holder: null,
      committed: null,
    })),
    reopened: 0,
  };
}

function digestOf(command: SubmitCommand): string {
  const hash = createHash("sha256");
  const { groupSize, bound, deadlineMs, maximumTokens } = command;
  hash.update(JSON.stringify({ groupSize, bound, deadlineMs, maximumTokens }));
  for (const { group, prompt } of command.groups) {
    hash.update(JSON.stringify([group, prompt]));
  }
  return hash.digest("hex");
}
