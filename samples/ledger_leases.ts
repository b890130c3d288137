/**
 * Leases of groups: a holder renews all its groups with one command, and loses them when it does not.
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

/** A holder that has not renewed for this long loses its groups. */
export const HOLDER_LEASE_MS: Milliseconds = 5_000;

/** Gives the rules of a trainer from the bundle in force, or null if it has none. */
export type TrainerLookup = (trainer: string) => TrainerEntry | null;

/** Renews the holder's lease and gives it more groups; the same sequence gives the same groups. */
export function leaseGroups(
  state: LedgerState,
  command: LeaseCommand,
  rules: TrainerLookup,
): Result<LeaseReply, Failure> {
  expireHolders(state);
  const known = state.holders.get(command.holder);
  const sameEpoch = known !== undefined && known.epoch === command.epoch;
  if (sameEpoch && command.sequence < known.sequence) {
    return Err(fail("conflict", `lease ${command.sequence} is an old one`));
  }
  if (!sameEpoch) freeGroups(state, command.holder);
  takeBack(state, command);
  if (sameEpoch && command.sequence === known.sequence) {
    state.holders.set(known.holder, { ...known, renewedAtMs: state.atMs });
    return Ok(replyOf(state, known, true));
  }
  const holder = giveGroups(state, command, rules);
  state.holders.set(holder.holder, holder);
  return Ok(replyOf(state, holder, sameEpoch));
}

/** Frees all groups of a holder that stops. */
export function releaseHolder(
  state: LedgerState,
  command: ReleaseCommand,
): void {
  const known = state.holders.get(command.holder);
  if (known?.epoch !== command.epoch) return;
  freeGroups(state, command.holder);
  state.holders.delete(command.holder);
}

/** Progress of all unfinished steps. */
export function progressOfAll(state: LedgerState): readonly StepProgress[] {
  const all: StepProgress[] = [];
  for (const trainer of state.trainers.values()) {
    for (const step of trainer.steps) all.push(progressOf(step));
  }
  return all;
}

function takeBack(state: LedgerState, command: LeaseCommand): void {
  for (const returned of command.returned) {
    const step = findStep(state, returned.trainer, returned.step);
    const group = step && findGroup(step, returned.group);
    if (group?.holder === command.holder) openGroup(group);
  }
}

function expireHolders(state: LedgerState): void {
  for (const holder of state.holders.values()) {
    if (state.atMs - holder.renewedAtMs <= HOLDER_LEASE_MS) continue;
    freeGroups(state, holder.holder);
    state.holders.delete(holder.holder);
  }
}

function freeGroups(state: LedgerState, holder: string): void {
  for (const trainer of state.trainers.values()) {
    for (const step of trainer.steps) {
      for (const group of step.groups) {
        if (group.holder === holder) openGroup(group);
      }
    }
  }
}

/** Puts a group back among those that nobody works on. */
export function openGroup(group: GroupState): void {
  group.phase = "open";
  group.holder = null;
  group.committed = null;
}

function giveGroups(
  state: LedgerState,
  command: LeaseCommand,
  rules: TrainerLookup,
): HolderState {
  const candidates: LeaseCandidate[] = [];
  for (const trainer of state.trainers.values()) {
    const entry = rules(trainer.trainer);
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

function replyOf(
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
    groups.push(leasedGroup(step, group));
  }
  return {
    kind: "leased",
    renewed,
    groups,
    published: [...state.published.values()],
    progress: progressOfAll(state),
    atMs: state.atMs,
  };
}

function leasedGroup(step: StepState, group: GroupState): LeasedGroup {
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
