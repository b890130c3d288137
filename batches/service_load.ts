/**
 * The work for a service as the autoscaler needs it: how many slots would complete the items by their due times.
 *
 * @module
 */
import type { Milliseconds, ServiceLoad } from "#core";
import type { ItemPlanInput, PlannedItem } from "./plan_types.ts";
import { CAPACITY_TOKEN_MS, FASTEST_TOKEN_MS } from "./start_order.ts";

/**
 * Returns the work for a service.
 *
 * @example
 * ```ts
 * serviceLoad("models", input).neededSlots; // 24
 * ```
 */
export function serviceLoad(
  service: string,
  input: ItemPlanInput,
): ServiceLoad {
  const waiting = input.waiting.filter((each) => each.service === service);
  const running: PlannedItem[] = [];
  for (const { item } of input.runs) {
    if (item.service === service) running.push(item);
  }
  return {
    service,
    queued: waiting.length,
    running: running.length,
    neededSlots: neededSlots([...waiting, ...running], input.nowMs),
  };
}

/**
 * Returns the number of slots with which the items are complete by their due times, at most one for each item. No
 * number of slots completes an item whose text alone takes longer, so such items don't count.
 */
function neededSlots(
  items: readonly PlannedItem[],
  nowMs: Milliseconds,
): number {
  const possible = items.filter(({ tokensLeft, dueMs }) =>
    dueMs > nowMs && tokensLeft * FASTEST_TOKEN_MS <= dueMs - nowMs
  );
  let tokens = 0;
  let needed = 0;
  for (const item of possible.sort((a, b) => a.dueMs - b.dueMs)) {
    tokens += item.tokensLeft;
    const slots = tokens * CAPACITY_TOKEN_MS / (item.dueMs - nowMs);
    needed = Math.max(needed, slots);
  }
  return Math.min(possible.length, Math.ceil(needed));
}
