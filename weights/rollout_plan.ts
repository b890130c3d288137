/**
 * The rollout plan: which engines change to a published version now, so that enough of each zone keeps
 * serving and the weight store's rate is kept.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** An engine that failed this often in a row no longer counts for the floor. */
const GIVEN_UP_FAILURES = 3;

/** An engine as the plan sees it. */
export interface RolloutEngine {
  readonly upstream: string;
  readonly zone: string;
  readonly capacity: number;
  /** Version served, or null while it serves none of the model. */
  readonly serving: number | null;
  /** Whether it was told to load a version that it has not reported. */
  readonly loading: boolean;
  /** Until when it gets no further order, after a failed one. */
  readonly earliestOrderMs: Milliseconds;
  /** Loads that failed one after the other. */
  readonly consecutiveFailures: number;
}

/** What a plan is made for. */
export interface RolloutGoal {
  readonly version: number;
  /** Part of each zone's capacity that keeps serving, 0 to 1. */
  readonly servingFloor: number;
  /** Most loads begun in a second. */
  readonly loadsPerSecond: number;
}

/** Chooses engines for their next order, wave by wave. */
export abstract class RolloutPlan {
  /** Names the engines that get the order now. */
  abstract selectEngines(
    engines: readonly RolloutEngine[],
    goal: RolloutGoal,
    nowMs: Milliseconds,
  ): readonly string[];
}

/** Keeps a floor of each zone's capacity serving, and the store's rate. */
export class WavePlan extends RolloutPlan {
  #tokens = 1;
  #filledAtMs: Milliseconds | null = null;

  override selectEngines(
    engines: readonly RolloutEngine[],
    goal: RolloutGoal,
    nowMs: Milliseconds,
  ): readonly string[] {
    this.#fill(goal, nowMs);
    const zones = zonesOf(engines, goal.servingFloor);
    const chosen: string[] = [];
    for (const engine of inOrder(engines)) {
      if (this.#tokens < 1) break;
      if (!needsOrder(engine, goal.version, nowMs)) continue;
      if (!takeOut(engine, zones.get(engine.zone))) continue;
      this.#tokens -= 1;
      chosen.push(engine.upstream);
    }
    return chosen;
  }

  /** Lets loads that were not begun add up for at most one second. */
  #fill(goal: RolloutGoal, nowMs: Milliseconds): void {
    const sinceMs = nowMs - (this.#filledAtMs ?? nowMs);
    this.#filledAtMs = nowMs;
    const most = Math.max(1, goal.loadsPerSecond);
    const more = sinceMs * goal.loadsPerSecond / 1_000;
    this.#tokens = Math.min(most, this.#tokens + more);
  }
}

/** Whether an engine neither serves nor loads the version and isn't resting. */
export function needsOrder(
  engine: RolloutEngine,
  version: number,
  nowMs: Milliseconds,
): boolean {
  if (engine.loading) return false;
  if (engine.serving !== null && engine.serving >= version) return false;
  return engine.earliestOrderMs <= nowMs;
}

interface ZoneCapacity {
  all: number;
  serving: number;
  /** Capacity that may be taken out without going below the floor. */
  spare: number;
}

/** Capacity by zone; engines that failed for good count for nothing, so that they hold nobody back. */
function zonesOf(
  engines: readonly RolloutEngine[],
  floor: number,
): ReadonlyMap<string, ZoneCapacity> {
  const zones = new Map<string, ZoneCapacity>();
  for (const engine of engines) {
    if (engine.consecutiveFailures >= GIVEN_UP_FAILURES) continue;
    const zone = zones.get(engine.zone) ?? { all: 0, serving: 0, spare: 0 };
    zone.all += engine.capacity;
    if (isServing(engine)) zone.serving += engine.capacity;
    zones.set(engine.zone, zone);
  }
  for (const zone of zones.values()) {
    zone.spare = zone.serving - zone.all * floor;
  }
  return zones;
}

/** Takes an engine out if its zone can do without it; a zone that is whole can always spare one. */
function takeOut(
  engine: RolloutEngine,
  zone: ZoneCapacity | undefined,
): boolean {
  if (zone === undefined || engine.serving === null) return true;
  const whole = zone.serving === zone.all;
  if (engine.capacity > zone.spare && !whole) return false;
  zone.serving -= engine.capacity;
  zone.spare -= engine.capacity;
  return true;
}

function isServing(engine: RolloutEngine): boolean {
  return engine.serving !== null && !engine.loading;
}

/** Engines that serve nothing first, then those with the oldest version. */
function inOrder(engines: readonly RolloutEngine[]): readonly RolloutEngine[] {
  return [...engines].sort((a, b) => {
    const versions = (a.serving ?? -1) - (b.serving ?? -1);
    if (versions !== 0) return versions;
    return a.upstream < b.upstream ? -1 : 1;
  });
}
