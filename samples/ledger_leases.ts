/**
 * Leases of groups. A holder renews all its leases with one command; they expire if it does not.
 *
 * @module
 */
import {
  Err,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
  type TrainerEntry,
} from "#core";
import { chooseGroups, type LeaseCandidate } from "./lease_order.ts";
import {
  findGroup,
  findStep,
  type GroupState,
  type HolderState,
  type LedgerState,
  progressOf,
  type StepState,
} from "./ledger_state.ts";
import type {
  LeaseCommand,
  LeasedGroup,
  LeaseReply,
  ReleaseCommand,
  StepProgress,
} from "./ledger_types.ts";

/** Groups of a holder that has not renewed for longer than this are reopened. */
export const HOLDER_LEASE_MS: Milliseconds = 5_000;

/** Returns the entry of a trainer in the active bundle, or null if the bundle does not list it. */
export type TrainerLookup = (trainer: string) => TrainerEntry | null;

/** Renews the holder's lease and assigns more groups to it; a repeated sequence returns the same groups. */
export function leaseGroups(
  state: LedgerState,
  command: LeaseCommand,
  findTrainer: TrainerLookup,
): Result<LeaseReply, Failure> {
  expireHolders(state);
  const current = state.holders.get(command.holder);
  const sameEpoch = current !== undefined && current.epoch === command.epoch;
  if (sameEpoch && command.sequence < current.sequence) {
    return Err(
      fail("conflict", `lease sequence ${command.sequence} is outdated`),
    );
  }
  if (!sameEpoch) reopenGroupsOf(state, command.holder);
  reopenReturnedGroups(state, command);
  if (sameEpoch && command.sequence === current.sequence) {
    state.holders.set(current.holder, { ...current, renewedAtMs: state.atMs });
    return Ok(leaseReply(state, current, true));
  }
  const holder = assignGroups(state, command, findTrainer);
  state.holders.set(holder.holder, holder);
  return Ok(leaseReply(state, holder, sameEpoch));
}

/** Reopens all groups of a holder that stops; ignores a command of another epoch. */
export function releaseHolder(
  state: LedgerState,
  command: ReleaseCommand,
): void {
  const current = state.holders.get(command.holder);
  if (current?.epoch !== command.epoch) return;
  reopenGroupsOf(state, command.holder);
  state.holders.delete(command.holder);
}

/** Returns the progress of all unfinished steps. */
export function listStepProgress(state: LedgerState): readonly StepProgress[] {
  const all: StepProgress[] = [];
  for (const trainer of state.trainers.values()) {
    for (const step of trainer.steps) all.push(progressOf(step));
  }
  return all;
}

function reopenReturnedGroups(state: LedgerState, command: LeaseCommand): void {
  for (const returned of command.returned) {
    const step = findStep(state, returned.trainer, returned.step);
    const group = step && findGroup(step, returned.group);
    if (group?.holder === command.holder) reopenGroup(group);
  }
}

function expireHolders(state: LedgerState): void {
  for (const holder of state.holders.values()) {
    if (state.atMs - holder.renewedAtMs <= HOLDER_LEASE_MS) continue;
    reopenGroupsOf(state, holder.holder);
    state.holders.delete(holder.holder);
  }
}

function reopenGroupsOf(state: LedgerState, holder: string): void {
  for (const trainer of state.trainers.values()) {
    for (const step of trainer.steps) {
      for (const group of step.groups) {
        if (group.holder === holder) reopenGroup(group);
      }
    }
  }
}

/** Resets a group to open, so that it can be leased again. */
export function reopenGroup(group: GroupState): void {
  group.phase = "open";
  group.holder = null;
  group.committed = null;
}

function assignGroups(
  state: LedgerState,
  command: LeaseCommand,
  findTrainer: TrainerLookup,
): HolderState {
  const candidates: LeaseCandidate[] = [];
  for (const trainer of state.trainers.values()) {
    const entry = findTrainer(trainer.trainer);
    if (entry === null) continue;
    for (const step of trainer.steps) {
      candidates.push({ step, weight: entry.weight });
    }
  }
  const choices = chooseGroups(candidates, {
    limit: command.limit,
    nowMs: state.atMs,
  });
  for (const { group } of choices) {
    group.phase = "leased";
    group.holder = command.holder;
  }
  return {
    holder: command.holder,
    epoch: command.epoch,
    sequence: command.sequence,
    renewedAtMs: state.atMs,
    given: choices.map(({ step, group }) => ({
      trainer: step.trainer,
      step: step.step,
      group: group.group,
    })),
  };
}

function leaseReply(
  state: LedgerState,
  holder: HolderState,
  renewed: boolean,
): LeaseReply {
  const groups: LeasedGroup[] = [];
  for (const given of holder.given) {
    const step = findStep(state, given.trainer, given.step);
    if (step === undefined) continue;
    const group = findGroup(step, given.group);
    if (group?.holder !== holder.holder) continue;
    groups.push(toLeasedGroup(step, group));
  }
  return {
    kind: "leased",
    renewed,
    groups,
    published: [...state.published.values()],
    progress: listStepProgress(state),
    atMs: state.atMs,
  };
}

function toLeasedGroup(step: StepState, group: GroupState): LeasedGroup {
  return {
    trainer: step.trainer,
    step: step.step,
    group: group.group,
    prompt: group.prompt,
    groupSize: step.groupSize,
    model: step.model,
    bound: step.bound,
    maximumTokens: step.maximumTokens,
    deadlineAtMs: step.deadlineAtMs,
  };
}
