/**
 * Which group is made next: trainers share the engines by weight and by how near the deadlines of
 * their steps are.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import type { GroupState, StepState } from "./ledger_state.ts";

/** A step that may get engines, with the weight of its trainer. */
export interface LeaseCandidate {
  readonly step: StepState;
  readonly weight: number;
}

/** A group chosen to be made. */
export interface LeaseChoice {
  readonly step: StepState;
  readonly group: GroupState;
}

/** A step past half of its time counts for up to this many times its weight. */
const MAXIMUM_URGENCY = 4;
/** Shortest time left that urgency is reckoned with. */
const MINIMUM_REMAINING_MS: Milliseconds = 1_000;

interface TrainerShare {
  readonly weight: number;
  leased: number;
  readonly queues: StepQueue[];
}

interface StepQueue {
  readonly step: StepState;
  readonly openGroups: readonly GroupState[];
  nextIndex: number;
}

/**
 * Chooses up to `limit` open groups. Each choice goes to the trainer with the fewest samples in work
 * for its weight, and within a trainer to its oldest step.
 */
export function chooseGroups(
  candidates: readonly LeaseCandidate[],
  options: { readonly limit: number; readonly nowMs: Milliseconds },
): readonly LeaseChoice[] {
  const shares = sharesOf(candidates, options.nowMs);
  const choices: LeaseChoice[] = [];
  while (choices.length < options.limit) {
    const share = findLeastServed(shares);
    if (share === undefined) break;
    const choice = dequeueGroup(share);
    if (choice === undefined) break;
    share.leased += choice.step.groupSize;
    choices.push(choice);
  }
  return choices;
}

function sharesOf(
  candidates: readonly LeaseCandidate[],
  nowMs: Milliseconds,
): readonly TrainerShare[] {
  const shares = new Map<string, TrainerShare>();
  for (const { step, weight } of candidates) {
    const open = step.groups.filter((group) => group.phase === "open");
    const leased = step.groups.filter((group) => group.phase === "leased");
    const share = shares.get(step.trainer) ?? {
      weight: weight * urgencyOf(step, open.length + leased.length, nowMs),
      leased: 0,
      queues: [],
    };
    share.leased += leased.length * step.groupSize;
    share.queues.push({ step, openGroups: open, nextIndex: 0 });
    shares.set(step.trainer, share);
  }
  return [...shares.values()];
}

/** The part of work left over the part of time left, from 1 up to the maximum. */
function urgencyOf(
  step: StepState,
  unfinished: number,
  nowMs: Milliseconds,
): number {
  const remainingMs = Math.max(MINIMUM_REMAINING_MS, step.deadlineAtMs - nowMs);
  const remainingWork = unfinished / step.groups.length;
  const remainingTime = Math.min(1, remainingMs / step.allowedMs);
  return Math.min(MAXIMUM_URGENCY, Math.max(1, remainingWork / remainingTime));
}

function findLeastServed(
  shares: readonly TrainerShare[],
): TrainerShare | undefined {
  let best: TrainerShare | undefined;
  for (const share of shares) {
    if (!share.queues.some(hasNext)) continue;
    if (best === undefined || loadOf(share) < loadOf(best)) best = share;
  }
  return best;
}

function loadOf(share: TrainerShare): number {
  return share.leased / share.weight;
}

function hasNext(queue: StepQueue): boolean {
  return queue.nextIndex < queue.openGroups.length;
}

function dequeueGroup(share: TrainerShare): LeaseChoice | undefined {
  for (const queue of share.queues) {
    const group = queue.openGroups[queue.nextIndex];
    if (group === undefined) continue;
    queue.nextIndex += 1;
    return { step: queue.step, group };
  }
  return undefined;
}
