/**
 * Decides which groups are leased next. Trainers share the engines by weight, which rises as the
 * deadline of a step approaches.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import type { GroupState, StepState } from "./ledger_state.ts";

/** An unfinished step whose groups may be leased, with the weight of its trainer. */
export interface LeaseCandidate {
  readonly step: StepState;
  readonly weight: number;
}

/** A group selected for a lease. */
export interface LeaseChoice {
  readonly step: StepState;
  readonly group: GroupState;
}

/** Highest factor by which the weight of a step that is behind schedule is multiplied. */
const MAXIMUM_URGENCY = 4;
/** Lower bound of the remaining time in the urgency formula; also covers passed deadlines. */
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
 * Selects up to `limit` open groups. Each selection goes to the trainer with the fewest leased samples
 * relative to its weight, and to that trainer's oldest step.
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

/** Returns the fraction of work remaining divided by the fraction of time remaining, from 1 to the maximum. */
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
