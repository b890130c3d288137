/**
 * What the coordinator holds while its VM leads; all of it is forgotten with the lease.
 *
 * @module
 */
import type { Milliseconds, OrderView, UpstreamRecord } from "#core";
import type { EngineMemory } from "./engine_memory.ts";
import { GoneEngines } from "./gone_engines.ts";
import type { RolloutPlan } from "./rollout_plan.ts";

/** An order that got no answer within this time is read back and given again. */
export const ORDER_TIMEOUT_MS: Milliseconds = 2_000;

/** One term of leading. */
export interface Leadership {
  readonly sinceMs: Milliseconds;
  readonly memories: Map<string, EngineMemory>;
  /** Plans by model. */
  readonly plans: Map<string, RolloutPlan>;
  /** Version by model that all engines served. */
  readonly done: Map<string, number>;
  readonly orders: Map<string, OrderView>;
  /** Wishes whose fence an engine refused: they are committed again for a newer one. */
  readonly refused: Set<string>;
  readonly goneEngines: GoneEngines;
  /** Readings under way. */
  readings: number;
}

/** Begins with the orders that the log holds. */
export function beginLeadership(
  orders: readonly OrderView[],
  nowMs: Milliseconds,
): Leadership {
  return {
    sinceMs: nowMs,
    memories: new Map(),
    plans: new Map(),
    done: new Map(),
    orders: new Map(orders.map((order) => [keyOf(order), order])),
    refused: new Set(),
    goneEngines: new GoneEngines(),
    readings: 0,
  };
}

/** Drops all that is held of these engines. */
export function forgetEngines(
  leadership: Leadership,
  upstreams: ReadonlySet<string>,
): void {
  for (const [key, order] of leadership.orders) {
    if (!upstreams.has(order.upstream)) continue;
    leadership.orders.delete(key);
    leadership.memories.delete(key);
    leadership.refused.delete(key);
  }
}

/** An engine that ignores fences gets no order until the old leader's last one has ended. */
export function firstOrderMs(
  leadership: Leadership,
  record: UpstreamRecord,
): Milliseconds {
  if (record.enforcesFences) return leadership.sinceMs;
  return leadership.sinceMs + ORDER_TIMEOUT_MS;
}

/** Names an engine's part in a model. */
export function keyOf(
  wish: { readonly upstream: string; readonly model: string },
): string {
  return JSON.stringify([wish.upstream, wish.model]);
}
