/**
 * The rollout plan: selects the engines that change to a published version now, so that enough capacity of
 * each availability zone keeps serving and the rate limit of the weight store is respected.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** An engine with this many consecutive failures no longer counts towards the serving floor. */
const FAILURES_BEFORE_EXCLUSION = 3;

/** State of an engine as input of the rollout plan. */
export interface RolloutEngine {
  readonly upstream: string;
  readonly zone: string;
  readonly capacity: number;
  /** Version served, or null while the engine serves no version of the model. */
  readonly serving: number | null;
  /** Whether a load is in progress, or was ordered and not yet reported. */
  readonly loading: boolean;
  /** Earliest time of the next order; later than now after a failure or a change of leader. */
  readonly earliestOrderMs: Milliseconds;
  /** Number of consecutive failed orders and loads. */
  readonly consecutiveFailures: number;
}

/** Target version of a rollout and the limits that apply to it. */
export interface RolloutGoal {
  readonly version: number;
  /** Fraction of each availability zone's capacity that must keep serving, 0 to 1. */
  readonly servingFloor: number;
  /** Maximum number of loads started per second. */
  readonly loadsPerSecond: number;
}

/** Selects the engines that get the next orders, wave by wave. */
export abstract class RolloutPlan {
  /** Returns the ids of the engines that get the order now. */
  abstract selectEngines(
    engines: readonly RolloutEngine[],
    goal: RolloutGoal,
    nowMs: Milliseconds,
  ): readonly string[];
}

/** Keeps a minimum of each availability zone's capacity serving and limits the rate of loads. */
export class WavePlan extends RolloutPlan {
  #tokens = 1;
  #refilledAtMs: Milliseconds | null = null;

  override selectEngines(
    engines: readonly RolloutEngine[],
    goal: RolloutGoal,
    nowMs: Milliseconds,
  ): readonly string[] {
    this.#refillTokens(goal, nowMs);
    const zones = capacityByZone(engines, goal.servingFloor);
    const chosen: string[] = [];
    for (const engine of sortByPriority(engines)) {
      if (this.#tokens < 1) break;
      if (!needsOrder(engine, goal.version, nowMs)) continue;
      if (!tryWithdrawCapacity(engine, zones.get(engine.zone))) continue;
      this.#tokens -= 1;
      chosen.push(engine.upstream);
    }
    return chosen;
  }

  /** Refills the tokens of the rate limit; unused tokens accumulate for at most one second. */
  #refillTokens(goal: RolloutGoal, nowMs: Milliseconds): void {
    const elapsedMs = nowMs - (this.#refilledAtMs ?? nowMs);
    this.#refilledAtMs = nowMs;
    const maximumTokens = Math.max(1, goal.loadsPerSecond);
    const refill = elapsedMs * goal.loadsPerSecond / 1_000;
    this.#tokens = Math.min(maximumTokens, this.#tokens + refill);
  }
}

/** Returns whether an engine neither serves nor loads the version and its backoff has passed. */
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
  total: number;
  serving: number;
  /** Capacity that may stop serving without going below the floor. */
  spare: number;
}

/** Sums capacity by zone; engines that keep failing are left out, so that they don't block the rollout. */
function capacityByZone(
  engines: readonly RolloutEngine[],
  floor: number,
): ReadonlyMap<string, ZoneCapacity> {
  const zones = new Map<string, ZoneCapacity>();
  for (const engine of engines) {
    if (engine.consecutiveFailures >= FAILURES_BEFORE_EXCLUSION) continue;
    const zone = zones.get(engine.zone) ?? { total: 0, serving: 0, spare: 0 };
    zone.total += engine.capacity;
    if (isServing(engine)) zone.serving += engine.capacity;
    zones.set(engine.zone, zone);
  }
  for (const zone of zones.values()) {
    zone.spare = zone.serving - zone.total * floor;
  }
  return zones;
}

/**
 * Withdraws an engine's capacity if its zone stays above the floor; a zone in which all engines serve can
 * always spare one.
 */
function tryWithdrawCapacity(
  engine: RolloutEngine,
  zone: ZoneCapacity | undefined,
): boolean {
  if (zone === undefined || engine.serving === null) return true;
  const isFullyServing = zone.serving === zone.total;
  if (engine.capacity > zone.spare && !isFullyServing) return false;
  zone.serving -= engine.capacity;
  zone.spare -= engine.capacity;
  return true;
}

function isServing(engine: RolloutEngine): boolean {
  return engine.serving !== null && !engine.loading;
}

/** Sorts engines that serve no version first, then those with the oldest version. */
function sortByPriority(
  engines: readonly RolloutEngine[],
): readonly RolloutEngine[] {
  return [...engines].sort((a, b) => {
    const versions = (a.serving ?? -1) - (b.serving ?? -1);
    if (versions !== 0) return versions;
    return a.upstream < b.upstream ? -1 : 1;
  });
}
