/**
 * State of the coordinator while its VM is the leader; all of it is discarded when the lease is lost.
 *
 * @module
 */
import type { EngineOrder, Milliseconds, UpstreamRecord } from "#core";
import type { EngineTracker } from "./engine_tracker.ts";
import { DepartedEngineDetector } from "./departed_engine_detector.ts";
import type { RolloutPlan } from "./rollout_plan.ts";

/** An order without a response within this time fails: the engine is polled and the order is sent again. */
export const ORDER_TIMEOUT_MS: Milliseconds = 2_000;

/** State of one period as leader. */
export interface LeaderState {
  readonly startedAtMs: Milliseconds;
  readonly trackers: Map<string, EngineTracker>;
  /** Rollout plans by model. */
  readonly plans: Map<string, RolloutPlan>;
  /** Latest version by model that all engines have served. */
  readonly completedVersions: Map<string, number>;
  readonly orders: Map<string, EngineOrder>;
  /** Keys of orders whose fence an engine rejected: they are committed again to get a newer fence. */
  readonly rejectedOrders: Set<string>;
  readonly departedEngineDetector: DepartedEngineDetector;
  /** Number of polls in progress. */
  activePolls: number;
}

/** Creates the state of a new leader from the orders in the replicated log. */
export function createLeaderState(
  orders: readonly EngineOrder[],
  nowMs: Milliseconds,
): LeaderState {
  return {
    startedAtMs: nowMs,
    trackers: new Map(),
    plans: new Map(),
    completedVersions: new Map(),
    orders: new Map(orders.map((order) => [orderKey(order), order])),
    rejectedOrders: new Set(),
    departedEngineDetector: new DepartedEngineDetector(),
    activePolls: 0,
  };
}

/** Removes the orders of these engines and the state kept with them. */
export function removeEngines(
  leaderState: LeaderState,
  upstreams: ReadonlySet<string>,
): void {
  for (const [key, order] of leaderState.orders) {
    if (!upstreams.has(order.upstream)) continue;
    leaderState.orders.delete(key);
    leaderState.trackers.delete(key);
    leaderState.rejectedOrders.delete(key);
  }
}

/**
 * Returns the time of the first order to an engine: an engine that ignores fences gets none until the last
 * order of the previous leader has timed out.
 */
export function earliestOrderMs(
  leaderState: LeaderState,
  record: UpstreamRecord,
): Milliseconds {
  if (record.enforcesFences) return leaderState.startedAtMs;
  return leaderState.startedAtMs + ORDER_TIMEOUT_MS;
}

/** Returns the key of an engine and a model. */
export function orderKey(
  wish: { readonly upstream: string; readonly model: string },
): string {
  return JSON.stringify([wish.upstream, wish.model]);
}
