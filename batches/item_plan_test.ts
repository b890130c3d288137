import assert from "node:assert/strict";
import { test } from "node:test";
import type { FleetUpstream } from "#core";
import { EngineObservations } from "./engine_observations.ts";
import { planStarts } from "./item_plan.ts";
import { planMoves } from "./move_plan.ts";
import type { EngineSnapshot, PlacedRun, PlannedItem } from "./plan_types.ts";
import { FRESH_ITEM, SOUND_ENGINE } from "./plan_test_support.ts";

const NOW_MS = 10_000;

function item(key: string, change: Partial<PlannedItem> = {}): PlannedItem {
  return {
    key,
    group: "g",
    model: "m",
    service: "models",
    priority: 1,
    minimumVersion: 1,
    ...FRESH_ITEM,
    dueMs: NOW_MS + 7_000,
    tokensLeft: 1_000,
    usedTokens: 500,
    ...change,
  };
}

function engine(
  id: string,
  change: Partial<EngineSnapshot> = {},
  upstream: Partial<FleetUpstream> = {},
): EngineSnapshot {
  return {
    upstream: {
      id,
      bornMs: 1,
      sequence: 1,
      service: "models",
      zone: "a",
      address: { host: "10.0.0.1", port: 80 },
      slots: 2,
      phase: "ready",
      serves: [],
      ...upstream,
    },
    versions: new Map([["m", 1]]),
    eventIntervalMs: 40,
    cacheTokens: 100_000,
    ...SOUND_ENGINE,
    ...change,
  };
}

function run(
  key: string,
  at: string,
  change: Partial<PlacedRun> = {},
): PlacedRun {
  return {
    item: item(key),
    engine: at,
    startedMs: NOW_MS - 2_000,
    lastEventMs: NOW_MS - 40,
    hasEvents: true,
    moves: 0,
    ...change,
  };
}

test("the item with the least slack starts first, on the fastest engine", () => {
  const starts = planStarts({
    nowMs: NOW_MS,
    readingDelayMs: 0,
    waiting: [
      item("short", { tokensLeft: 100 }),
      item("long", { tokensLeft: 9_000 }),
    ],
    runs: [],
    engines: [
      engine("slow", { eventIntervalMs: 90 }),
      engine("fast", {}, { slots: 1 }),
    ],
  });
  const placed = starts.map((each) => `${each.item.key} ${each.engine.id}`);
  assert.deepEqual(placed, ["long fast", "short slow"]);
});

test("a resubmitted item starts before a longer new one", () => {
  const starts = planStarts({
    nowMs: NOW_MS,
    readingDelayMs: 0,
    waiting: [
      item("new", { tokensLeft: 3_000 }),
      item("again", { resubmitted: true }),
    ],
    runs: [],
    engines: [engine("one", {}, { slots: 1 })],
  });
  assert.equal(starts[0]?.item.key, "again");
});

test("no item starts on an engine that is full, paused, draining, short of cache or below the minimum version", () => {
  const unavailable = [
    engine("full", {}, { slots: 0 }),
    engine("resting", { pausedUntilMs: NOW_MS + 1 }),
    engine("leaving", {}, { phase: "draining" }),
    engine("old", { versions: new Map([["m", 0]]) }),
  ];
  const small = engine("small", { cacheTokens: 3_000 });
  const starts = planStarts({
    nowMs: NOW_MS,
    readingDelayMs: 0,
    waiting: [item("one"), item("two")],
    runs: [run("other", "full"), run("there", "small")],
    engines: [...unavailable, small],
  });
  assert.deepEqual(starts, []);
});

test("long and short items start together because the short ones release their cache in time", () => {
  const long = ["l1", "l2", "l3"].map((key) =>
    item(key, { tokensLeft: 9_000 })
  );
  const short = Array.from({ length: 9 }, (_, at) => item(`s${at}`));
  const starts = planStarts({
    nowMs: NOW_MS,
    readingDelayMs: 0,
    waiting: [...long, ...short],
    runs: [],
    engines: [engine("one", { cacheTokens: 36_000 }, { slots: 12 })],
  });
  assert.equal(starts.length, 12);
});

test("an item bound to one version resumes only on an engine with that version", () => {
  const input = {
    nowMs: NOW_MS,
    readingDelayMs: 0,
    waiting: [item("bound", { boundVersion: 1 })],
    runs: [],
    engines: [engine("newer", { versions: new Map([["m", 2]]) })],
  };
  assert.equal(planStarts(input).length, 0);
});

test("a run moves when it stalls, when its engine leaves, or when another engine is much faster", () => {
  const runs = [
    run("silent", "fast", { lastEventMs: NOW_MS - 2_000 }),
    run("leaving", "leaving"),
    run("slow", "slow"),
    run("well", "fast"),
  ];
  const moves = planMoves({
    nowMs: NOW_MS,
    readingDelayMs: 0,
    waiting: [],
    runs,
    engines: [
      engine("fast", {}, { slots: 8 }),
      engine("slow", { eventIntervalMs: 140 }),
      engine("leaving", {}, { phase: "draining" }),
    ],
  });
  const reasons = moves.map((move) => `${move.key}: ${move.reason}`);
  assert.deepEqual(reasons.sort(), [
    "leaving: engine_leaves",
    "silent: silent",
    "slow: faster_elsewhere",
  ]);
});

test("a run on a slightly slower engine moves to the fastest engine, which the plan names", () => {
  const moves = planMoves({
    nowMs: NOW_MS,
    readingDelayMs: 0,
    waiting: [],
    runs: [run("long", "slow", { item: item("long", { tokensLeft: 9_000 }) })],
    engines: [
      engine("slow", { eventIntervalMs: 52 }),
      engine("middle", { eventIntervalMs: 42 }),
      engine("fast", { eventIntervalMs: 40 }),
    ],
  });
  assert.deepEqual(moves.map((move) => move.to?.id), ["fast"]);
});

test("a run with ample slack moves only to a much faster engine", () => {
  const runs = [
    run("spare", "slow", {
      item: item("spare", { tokensLeft: 2_000, dueMs: NOW_MS + 6_000 }),
    }),
  ];
  const to = (eventGapMs: number) =>
    planMoves({
      nowMs: NOW_MS,
      readingDelayMs: 0,
      waiting: [],
      runs,
      engines: [
        engine("slow", { eventIntervalMs: 52 }),
        engine("fast", { eventIntervalMs: eventGapMs }),
      ],
    });
  assert.equal(to(40).length, 0);
  assert.equal(to(25).length, 1);
});

test("a run stays on an engine for a minimum time after its start there", () => {
  const engines = [engine("slow", { eventIntervalMs: 140 }), engine("fast")];
  const movesAfter = (ageMs: number) =>
    planMoves({
      nowMs: NOW_MS,
      readingDelayMs: 0,
      waiting: [],
      runs: [run("new", "slow", { startedMs: NOW_MS - ageMs })],
      engines,
    });
  assert.equal(movesAfter(300).length, 0);
  assert.equal(movesAfter(1_100).length, 1);
});

test("runs move to a faster engine one at a time, not all at once", () => {
  const slow = ["a", "b", "c"].map((key) => run(key, "slow"));
  const plan = (runs: readonly PlacedRun[]) =>
    planMoves({
      nowMs: NOW_MS,
      readingDelayMs: 0,
      waiting: [],
      runs,
      engines: [
        engine("slow", { eventIntervalMs: 140 }),
        engine("fast", {}, { slots: 8 }),
      ],
    });
  assert.equal(plan(slow).length, 1);
  assert.equal(
    plan([...slow, run("d", "fast", { hasEvents: false })]).length,
    0,
  );
});

test("a run stays when the time gained is less than the cost of a move", () => {
  const moves = planMoves({
    nowMs: NOW_MS,
    readingDelayMs: 0,
    waiting: [],
    runs: [run("short", "slow", { item: item("short", { tokensLeft: 500 }) })],
    engines: [engine("slow", { eventIntervalMs: 52 }), engine("fast")],
  });
  assert.deepEqual(moves, []);
});

test("a run stays when all faster engines are full", () => {
  const moves = planMoves({
    nowMs: NOW_MS,
    readingDelayMs: 0,
    waiting: [],
    runs: [run("slow", "slow"), run("a", "fast"), run("b", "fast")],
    engines: [engine("fast"), engine("slow", { eventIntervalMs: 140 })],
  });
  assert.deepEqual(moves, []);
});

test("a run leaves a stalled engine regardless of how often it has moved", () => {
  const moves = planMoves({
    nowMs: NOW_MS,
    readingDelayMs: 0,
    waiting: [],
    runs: [
      run("silent", "dark", { lastEventMs: NOW_MS - 2_000, moves: 50 }),
      run("slow", "slow", { moves: 50 }),
    ],
    engines: [
      engine("fast"),
      engine("dark"),
      engine("slow", { eventIntervalMs: 140 }),
    ],
  });
  assert.deepEqual(moves.map((move) => move.key), ["silent"]);
});

test("an engine on which a run stalled counts as slow, and less so as time passes", () => {
  const observations = new EngineObservations();
  const usual = observations.eventIntervalMs("other", 0);
  observations.recordStall("dark", 600, 0);
  assert.ok(observations.eventIntervalMs("dark", 0) >= 600);
  assert.ok(observations.pausedUntilMs("dark") > 0);
  assert.ok(observations.eventIntervalMs("dark", 3_000) > 5 * usual);
  assert.ok(observations.eventIntervalMs("dark", 30_000) < 2 * usual);
});

test("a busy VM does not take its own delay for slow or silent engines", () => {
  const runs = [
    run("clumped", "slower"),
    run("unread", "fast", { lastEventMs: NOW_MS - 400 }),
  ];
  const engines = [
    engine("slower", { eventIntervalMs: 90 }, { slots: 8 }),
    engine("fast", { eventIntervalMs: 40 }, { slots: 8 }),
  ];
  const movesAt = (readingDelayMs: number) =>
    planMoves({ nowMs: NOW_MS, readingDelayMs, waiting: [], runs, engines })
      .map((move) => `${move.key}: ${move.reason}`);
  assert.deepEqual(movesAt(0).sort(), [
    "clumped: faster_elsewhere",
    "unread: silent",
  ]);
  assert.deepEqual(movesAt(60), []);
});

test("a busy VM still moves a run from an engine that is slower than its delay explains", () => {
  const moves = planMoves({
    nowMs: NOW_MS,
    readingDelayMs: 60,
    waiting: [],
    runs: [run("slow", "slow")],
    engines: [engine("slow", { eventIntervalMs: 200 }), engine("fast")],
  });
  assert.equal(moves.length, 1);
});

test("an item whose estimated length exceeds its time is not put behind all others while the engines suffice", () => {
  const starts = planStarts({
    nowMs: NOW_MS,
    readingDelayMs: 0,
    waiting: [
      item("short", { group: "a", tokensLeft: 500 }),
      item("estimated too long", { group: "b", tokensLeft: 17_000 }),
    ],
    runs: [],
    engines: [
      engine("fast", {}, { slots: 1 }),
      engine("slow", {
        eventIntervalMs: 60,
      }),
    ],
  });
  assert.equal(starts[0]?.item.key, "estimated too long");
});

// Guards against runs that are cut short, or hang at a silent engine, because their route was removed.
test("a run without a route stays on its engine, also a draining one, unless it stalls or the engine is gone", () => {
  const moved = item("x", { service: null });
  const moves = planMoves({
    nowMs: NOW_MS,
    readingDelayMs: 0,
    waiting: [],
    runs: [
      run("slow", "slow", { item: { ...moved, key: "slow" } }),
      run("draining", "draining", { item: { ...moved, key: "draining" } }),
      run("gone", "gone", { item: { ...moved, key: "gone" } }),
      run("silent", "slow", {
        item: { ...moved, key: "silent" },
        lastEventMs: NOW_MS - 3_000,
      }),
    ],
    engines: [
      engine("slow", { eventIntervalMs: 400 }),
      engine("fast", { eventIntervalMs: 20 }),
      engine("draining", {}, { phase: "draining" }),
    ],
  });
  const keys = moves.map(({ key, to }) => `${key} ${to}`).sort();
  assert.deepEqual(keys, ["gone null", "silent null"]);
});

// Guards against items that wait without an end for a cache that stays empty, as their estimates are far too high.
test("an item that seems too large for an engine starts after a wait once the engine is under half full", () => {
  const startsAfter = (waitedMs: number, other: Partial<PlannedItem>) => {
    const large = item("large", {
      tokensLeft: 95_000,
      progressMs: NOW_MS - waitedMs,
    });
    const engines = [engine("one", {}, { slots: 4 })];
    const runs = [run("other", "one", { item: item("other", other) })];
    const plan = { nowMs: NOW_MS, readingDelayMs: 0, waiting: [large] };
    return planStarts({ ...plan, runs, engines }).length;
  };
  assert.equal(startsAfter(999, {}), 0);
  assert.equal(startsAfter(1_000, {}), 1);
  assert.equal(startsAfter(1_000, { usedTokens: 60_000 }), 0);
  const full = [run("a", "one"), run("b", "one")];
  const large = item("large", { tokensLeft: 95_000, progressMs: 0 });
  const engines = [engine("one", {}, { slots: 4 })];
  const plan = { nowMs: NOW_MS, readingDelayMs: 0, waiting: [large] };
  assert.deepEqual(planStarts({ ...plan, runs: full, engines }), []);
});
