import assert from "node:assert/strict";
import { test } from "node:test";
import type { ItemPlanInput, PlacedRun, PlannedItem } from "./plan_types.ts";
import { serviceLoad } from "./service_load.ts";
import { FRESH_ITEM } from "./plan_test_support.ts";

function item(change: Partial<PlannedItem> = {}): PlannedItem {
  return {
    key: "k",
    group: "g",
    model: "m",
    service: "s",
    priority: 0,
    minimumVersion: 0,
    ...FRESH_ITEM,
    dueMs: 7_000,
    tokensLeft: 1_000,
    usedTokens: 0,
    ...change,
  };
}

function input(
  waiting: readonly PlannedItem[],
  running: readonly PlannedItem[] = [],
): ItemPlanInput {
  const runs = running.map((each) => ({ item: each }) as PlacedRun);
  return { nowMs: 0, readingDelayMs: 0, waiting, runs, engines: [] };
}

// Guards against a load that counts other services, or forgets what runs.
test("the load counts the items of the service and the slots for them", () => {
  const waiting = Array.from({ length: 60 }, () => item());
  const running = Array.from({ length: 40 }, () => item());
  const others = [item({ service: "t" }), item({ service: null })];
  const load = serviceLoad("s", input([...waiting, ...others], running));
  // 100,000 tokens at 0.67 ms in 7 s.
  assert.deepEqual(load, {
    service: "s",
    queued: 60,
    running: 40,
    neededSlots: 10,
  });
});

// Guards against orders for work that no number of upstreams completes in time.
test("items that can't be complete in time need no slots, and no item needs several", () => {
  const late = item({ dueMs: 400 });
  const overdue = item({ dueMs: -1 });
  assert.equal(serviceLoad("s", input([late, overdue])).neededSlots, 0);
  const tight = Array.from({ length: 3 }, () => item({ dueMs: 500 }));
  assert.equal(serviceLoad("s", input(tight)).neededSlots, 3);
});

// Guards against later work that hides earlier work.
test("the slots are those for the due time that needs most", () => {
  const early = Array.from({ length: 20 }, () => item({ dueMs: 1_000 }));
  const later = Array.from({ length: 20 }, () => item({ dueMs: 70_000 }));
  const load = serviceLoad("s", input([...later, ...early]));
  assert.equal(load.neededSlots, 14);
});
