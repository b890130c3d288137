import assert from "node:assert/strict";
import { test } from "node:test";
import type { FleetUpstream } from "#core";
import { numberedItems, testBatch } from "./batch_test_support.ts";
import { BATCHES_EVENTS } from "./events.ts";
import { planMoves } from "./move_plan.ts";
import {
  engineSnapshot,
  placedRun,
  PLAN_MS,
  plannedItem,
} from "./plan_test_support.ts";
import type {
  EngineSnapshot,
  ItemPlanInput,
  PlacedRun,
  PlannedItem,
} from "./plan_types.ts";
import { RunnerWorld, sleep } from "./runner_world.ts";
import { planRestarts } from "./text_restarts.ts";

const SLOTS = 2;

/** An item with a text of version 1 that its engine stopped generating a moment ago. */
function boundItem(
  key: string,
  change: Partial<PlannedItem> = {},
): PlannedItem {
  return plannedItem(key, {
    boundVersion: 1,
    generatedTokens: 5_000,
    progressMs: PLAN_MS - 40,
    latestEngine: "old",
    dueMs: PLAN_MS + 30_000,
    usedTokens: 5_500,
    ...change,
  });
}

function engine(
  id: string,
  version: number,
  change: Partial<EngineSnapshot> = {},
  phase: FleetUpstream["phase"] = "ready",
): EngineSnapshot {
  const versions = new Map([["m", version]]);
  return engineSnapshot(id, { versions, ...change }, { phase });
}

function input(parts: Partial<ItemPlanInput>): ItemPlanInput {
  return {
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [],
    runs: [],
    engines: [],
    ...parts,
  };
}

function restartsOf(
  item: PlannedItem,
  engines: readonly EngineSnapshot[],
  runs: readonly PlacedRun[] = [],
): readonly string[] {
  const restarts = planRestarts(input({ waiting: [item], engines, runs }));
  return restarts.map(({ reason }) => reason);
}

// Guards against items that wait without an end once no engine has the version of their text.
test("a text whose version no known engine has any more is begun anew at once", () => {
  const drains = engine("old", 1, {}, "draining");
  const item = boundItem("x");
  assert.deepEqual(restartsOf(item, [drains, engine("new", 2)]), [
    "version_gone",
  ]);
  assert.deepEqual(restartsOf(item, [engine("old", 2), engine("new", 2)]), [
    "version_gone",
  ]);
});

// Guards against a text that a new leader discards because it does not know all engines yet.
test("an engine that is not known any more, or not yet, is waited for a moment", () => {
  const others = [engine("new", 2)];
  assert.deepEqual(restartsOf(boundItem("x"), others), []);
  const waited = boundItem("x", { progressMs: PLAN_MS - 400 });
  assert.deepEqual(restartsOf(waited, others), ["version_gone"]);
  const taken = boundItem("x", { latestEngine: null });
  assert.deepEqual(restartsOf(taken, others), []);
});

// Guards against items that wait without an end for an engine that is full, paused or silent.
test("an engine with the version is waited for while it costs less than beginning anew", () => {
  const unavailable = [
    engine("full", 1, { foreignRuns: SLOTS }),
    engine("paused", 1, { pausedUntilMs: PLAN_MS + 100 }),
    engine("limited", 1, { startsLeft: 0 }),
  ];
  for (const each of unavailable) {
    const engines = [each, engine("new", 2)];
    const patient = boundItem("x", { progressMs: PLAN_MS - 1_900 });
    assert.deepEqual(restartsOf(patient, engines), []);
    const waited = boundItem("x", { progressMs: PLAN_MS - 2_000 });
    assert.deepEqual(restartsOf(waited, engines), ["version_unavailable"]);
    const short = boundItem("x", {
      generatedTokens: 100,
      progressMs: PLAN_MS - 400,
    });
    assert.deepEqual(restartsOf(short, engines), ["version_unavailable"]);
    const late = boundItem("x", {
      progressMs: PLAN_MS - 500,
      dueMs: PLAN_MS + 3_500,
    });
    assert.deepEqual(restartsOf(late, engines), ["version_unavailable"]);
  }
});

test("a text is kept while no other engine could begin it anew, and while one can go on with it", () => {
  const waited = boundItem("x", { progressMs: PLAN_MS - 9_000 });
  const unusable = [
    engine("full", 2, { foreignRuns: SLOTS }),
    engine("paused", 2, { pausedUntilMs: PLAN_MS + 100 }),
    engine("leaving", 2, {}, "draining"),
    engine("below", 0),
  ];
  assert.deepEqual(restartsOf(waited, unusable), []);
  assert.deepEqual(restartsOf(waited, [engine("a", 1), engine("b", 2)]), []);
});

test("no more texts are discarded than can be begun anew at once", () => {
  const waiting = ["a", "b", "c"].map((key) => boundItem(key));
  const drains = engine("old", 1, {}, "draining");
  const engines = [drains, engine("new", 2)];
  const restarts = planRestarts(input({ waiting, engines }));
  assert.deepEqual(restarts.map(({ key }) => key), ["a", "b"]);
});

// Guards against runs that are cut off although their engine, which drains, would have completed them.
test("a run on a draining engine stays if only there its text can be completed, and if it can be in time", () => {
  const leaves = (
    item: PlannedItem,
    servesForMs: number,
    others: readonly EngineSnapshot[],
  ): boolean => {
    const drains = engine("old", 1, { servesForMs }, "draining");
    const engines = [drains, ...others];
    const runs = [placedRun("x", "old", { item })];
    return planMoves(input({ runs, engines })).length > 0;
  };
  const item = boundItem("x");
  const full = { foreignRuns: SLOTS };
  assert.equal(leaves(item, 2_000, [engine("new", 2)]), false);
  assert.equal(leaves(item, 1_000, [engine("new", 2)]), true);
  const late = boundItem("x", { dueMs: PLAN_MS + 3_000 });
  assert.equal(leaves(late, 1_000, [engine("new", 2)]), false);
  assert.equal(leaves(late, 500, [engine("new", 2)]), true);
  assert.equal(leaves(item, 2_000, [engine("same", 1)]), true);
  assert.equal(leaves(item, 500, [engine("same", 1, full)]), false);
  assert.equal(leaves(item, 500, [engine("new", 2, full)]), false);
  assert.equal(leaves(item, 500, []), false);
  const free = boundItem("x", { boundVersion: null });
  assert.equal(leaves(free, 500, [engine("new", 2)]), true);
  assert.equal(leaves(free, 500, [engine("new", 2, full)]), false);
});

const EVENTS = 80;
const WHOLE_TEXT = Array.from({ length: EVENTS }, (_, at) => at).join("\n");
const LIMIT_MS = 6_000;

/** Runs four items on an engine of version 1, beside one of version 2 that joins after a moment. */
async function playLoss(
  lose: (
    world: RunnerWorld,
    old: Awaited<ReturnType<RunnerWorld["addEngine"]>>,
  ) => void,
): Promise<void> {
  const world = new RunnerWorld();
  const old = await world.addEngine("old", { version: 1, events: EVENTS });
  const batch = testBatch("b", numberedItems("b", 4), {
    singleVersion: true,
    minimumVersion: 1,
  });
  try {
    world.submit(batch);
    await sleep(200);
    assert.equal(old.received.length, 4);
    await world.addEngine("new", { version: 2, events: EVENTS });
    lose(world, old);
    const results = await world.results(batch, LIMIT_MS);
    assert.equal(results.size, 4, "all items are listed");
    for (const { outcome, text, versions } of results.values()) {
      assert.deepEqual([outcome, text], ["completed", WHOLE_TEXT]);
      assert.deepEqual(versions, [2]);
    }
    const restarts = world.events.records().filter(({ event }) =>
      event.code === BATCHES_EVENTS.textRestarted.code
    );
    assert.equal(restarts.length, 4);
  } finally {
    await world.stop();
  }
}

// Guards against items that are left without an engine once the last one with the version of their text is lost.
for (
  const [how, lose] of [
    ["drains", (_world, old) => {
      old.phase = "draining";
    }],
    ["has left", (world, old) => {
      world.removeEngine(old, { isKnown: false });
    }],
    ["has crashed", (world, old) => {
      world.removeEngine(old, { isKnown: true });
    }],
    ["loads the next version", (_world, old) => {
      old.version = 2;
    }],
  ] as const satisfies readonly [string, Parameters<typeof playLoss>[0]][]
) {
  test(`the items of a single version are completed if the last engine with it ${how}`, async () => {
    await playLoss(lose);
  });
}
