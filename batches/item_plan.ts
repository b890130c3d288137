/**
 * Decides which items start on which engines. Performs no I/O.
 *
 * A step is complete only when its slowest items are, so the item with the least slack starts first (see
 * `startOrder`), on the engine that generates events fastest.
 *
 * @module
 */
import type { FleetUpstream } from "#core";
import {
  addLoad,
  bestEngine,
  hasFreeSlot,
  loadByEngine,
} from "./engine_choice.ts";
import type { ItemPlanInput, PlannedItem } from "./plan_types.ts";
import { startOrder } from "./start_order.ts";

/** An item and the engine to start it on. */
export interface PlannedStart {
  readonly item: PlannedItem;
  readonly engine: FleetUpstream;
}

/** Returns the items to start now and their engines. */
export function planStarts(input: ItemPlanInput): readonly PlannedStart[] {
  const loads = loadByEngine(input.runs);
  const startsLeft = new Map(
    input.engines.map((each) => [each, each.startsLeft]),
  );
  const free = new Set(
    input.engines.filter((each) =>
      each.startsLeft >= 1 && hasFreeSlot(each, loads)
    ),
  );
  const starts: PlannedStart[] = [];
  for (const item of startOrder(input)) {
    if (free.size === 0) break;
    const engine = bestEngine(item, {
      engines: free,
      nowMs: input.nowMs,
      loads,
    });
    if (engine === undefined) continue;
    addLoad(loads, engine.upstream.id, item);
    const left = (startsLeft.get(engine) ?? 0) - 1;
    startsLeft.set(engine, left);
    if (left < 1 || !hasFreeSlot(engine, loads)) free.delete(engine);
    starts.push({ item, engine: engine.upstream });
  }
  return starts;
}
