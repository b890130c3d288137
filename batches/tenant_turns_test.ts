import assert from "node:assert/strict";
import { test } from "node:test";
import type { PlacedRun, PlannedItem } from "./plan_types.ts";
import { inTenantTurns } from "./tenant_turns.ts";
import { FRESH_ITEM } from "./plan_test_support.ts";

const SLOTS = 12;
const RUN_MS = 1_000;
const DUE_MS = 7_500;
const SMALL_ITEMS = 30;

function items(tenant: string | null, count: number): PlannedItem[] {
  return Array.from({ length: count }, (_, at) => ({
    key: `${tenant} ${at}`,
    group: "g",
    model: "m",
    service: "engines",
    priority: 1,
    minimumVersion: 0,
    ...FRESH_ITEM,
    dueMs: DUE_MS,
    tokensLeft: 100,
    usedTokens: 0,
    tenant,
  }));
}

function runOf(item: PlannedItem): PlacedRun {
  const startedMs = 0;
  return {
    item,
    engine: "e",
    startedMs,
    lastEventMs: startedMs,
    hasEvents: true,
    moves: 0,
  };
}

/** Plays engines with few slots, and returns when the items of the small tenant are complete. */
function completionMs(
  order: (
    waiting: readonly PlannedItem[],
    runs: readonly PlacedRun[],
  ) => readonly PlannedItem[],
): number {
  let waiting: readonly PlannedItem[] = [
    ...items("large", 10 * SMALL_ITEMS),
    ...items("small", SMALL_ITEMS),
  ];
  // The large tenant has all slots at first; a slot becomes free every so often.
  let runs = items("large", SLOTS).map(runOf);
  for (let nowMs = 0;; nowMs += RUN_MS / SLOTS) {
    runs = runs.slice(1);
    const [next] = order(waiting, runs);
    if (next === undefined) return nowMs;
    waiting = waiting.filter((each) => each !== next);
    runs = [...runs, runOf(next)];
    const isLeft = [...waiting, ...runs.map(({ item }) => item)]
      .some(({ tenant }) => tenant === "small");
    if (!isLeft) return nowMs;
  }
}

// Guards against a tenant with many items that delays those of others beyond their due time.
test("the due time of a small tenant is met beside one with ten times the items", () => {
  const inTurns = completionMs(inTenantTurns);
  assert.ok(inTurns < DUE_MS, `${inTurns}`);
  const without = completionMs((waiting) => waiting);
  assert.ok(without > 2 * DUE_MS, `${without}`);
});

// Guards against a changed order where there is nothing to share.
test("the order stays with one tenant, without tenants, and within a tenant", () => {
  for (const tenant of ["a", null]) {
    const waiting = items(tenant, 5);
    assert.equal(inTenantTurns(waiting, []), waiting);
  }
  const mixed = [...items("a", 4), ...items("b", 2)];
  const keys = inTenantTurns(mixed, []).map(({ key }) => key);
  assert.deepEqual(keys, ["a 0", "b 0", "a 1", "b 1", "a 2", "a 3"]);
});

// Guards against turns between items that don't compete.
test("items of other services and priorities keep their places", () => {
  const urgent = items("a", 1).map((item) => ({ ...item, priority: 0 }));
  const other = items("b", 2).map((item) => ({ ...item, service: "others" }));
  const waiting = [...urgent, ...items("a", 2), ...other];
  assert.deepEqual(inTenantTurns(waiting, items("a", 3).map(runOf)), waiting);
});
