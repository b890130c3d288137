/**
 * Decides which scoring calls start now. Performs no I/O.
 *
 * The texts of a step end within seconds of each other, so hundreds of calls become ready together, for services that
 * also answer callers. Calls use a part of a service's slots only, and those that complete a group go first: a trainer
 * waits for whole groups, so the call of an item whose group still generates texts is not urgent.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Part of a service's slots that scoring calls may use; the rest is for callers, who wait for each answer. */
export const SCORING_SLOT_SHARE = 2 / 3;

/** A scoring call that could be sent. */
export interface ReadyScoring {
  readonly key: string;
  /** Batch and group of its item. */
  readonly group: string;
  readonly service: string;
  /** When the result of its item is due, on this VM's clock. */
  readonly dueMs: Milliseconds;
  readonly failures: number;
}

/** Input of `planScoring`. */
export interface ScoringPlanInput {
  /** Ready calls, the one that became ready first at the beginning. */
  readonly ready: readonly ReadyScoring[];
  /** Number of items by group whose text is not complete yet. */
  readonly openTexts: ReadonlyMap<string, number>;
  /** Number of calls in flight by service. */
  readonly running: ReadonlyMap<string, number>;
  /** Number of slots of all usable upstreams by service. */
  readonly slots: ReadonlyMap<string, number>;
}

/**
 * Returns the calls to start now: those due first, of these the ones of the groups with the fewest open texts, of
 * these the ones of the groups with the fewest ready calls, so that groups are completed one after the other.
 */
export function planScoring(input: ScoringPlanInput): readonly ReadyScoring[] {
  const running = new Map(input.running);
  const starts: ReadyScoring[] = [];
  for (const call of mostUrgentFirst(input)) {
    const inFlight = running.get(call.service) ?? 0;
    if (inFlight >= callLimit(input.slots.get(call.service) ?? 0)) continue;
    running.set(call.service, inFlight + 1);
    starts.push(call);
  }
  return starts;
}

function mostUrgentFirst(input: ScoringPlanInput): readonly ReadyScoring[] {
  const readyByGroup = new Map<string, number>();
  for (const { group } of input.ready) {
    readyByGroup.set(group, (readyByGroup.get(group) ?? 0) + 1);
  }
  const openTexts = ({ group }: ReadyScoring): number =>
    input.openTexts.get(group) ?? 0;
  const readyCalls = ({ group }: ReadyScoring): number =>
    readyByGroup.get(group) ?? 0;
  return [...input.ready].sort((a, b) =>
    a.dueMs - b.dueMs || openTexts(a) - openTexts(b) ||
    readyCalls(a) - readyCalls(b) || compareNames(a.group, b.group) ||
    a.failures - b.failures
  );
}

function compareNames(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

/** Returns the number of scoring calls that may be in flight to a service with this number of slots. */
function callLimit(slots: number): number {
  if (slots === 0) return 0;
  return Math.max(1, Math.floor(slots * SCORING_SLOT_SHARE));
}
