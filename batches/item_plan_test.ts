import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineObservations } from "./engine_observations.ts";
import { planStarts } from "./item_plan.ts";
import { planMoves } from "./move_plan.ts";
import type { PlacedRun, PlannedItem } from "./plan_types.ts";
import {
  engineSnapshot,
  placedRun,
  PLAN_MS,
  plannedItem,
} from "./plan_test_support.ts";

test("the item with the least slack starts first, on the fastest engine", () => {
  const starts = planStarts({
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [
      plannedItem("short", { tokensLeft: 100 }),
      plannedItem("long", { tokensLeft: 9_000 }),
    ],
    runs: [],
    engines: [
      engineSnapshot("slow", { eventIntervalMs: 90 }),
      engineSnapshot("fast", {}, { slots: 1 }),
    ],
  });
  const placed = starts.map((each) => `${each.item.key} ${each.engine.id}`);
  assert.deepEqual(placed, ["long fast", "short slow"]);
});

test("a resubmitted item starts before a longer new one", () => {
  const starts = planStarts({
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [
      plannedItem("new", { tokensLeft: 3_000 }),
      plannedItem("again", { resubmitted: true }),
    ],
    runs: [],
    engines: [engineSnapshot("one", {}, { slots: 1 })],
  });
  assert.equal(starts[0]?.item.key, "again");
});

test("no item starts on an engine that is full, paused, draining, short of cache or below the minimum version", () => {
  const unavailable = [
    engineSnapshot("full", {}, { slots: 0 }),
    engineSnapshot("resting", { pausedUntilMs: PLAN_MS + 1 }),
    engineSnapshot("leaving", {}, { phase: "draining" }),
    engineSnapshot("old", { versions: new Map([["m", 0]]) }),
  ];
  const small = engineSnapshot("small", { cacheTokens: 3_000 });
  const starts = planStarts({
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [plannedItem("one"), plannedItem("two")],
    runs: [placedRun("other", "full"), placedRun("there", "small")],
    engines: [...unavailable, small],
  });
  assert.deepEqual(starts, []);
});

test("long and short items start together because the short ones release their cache in time", () => {
  const long = ["l1", "l2", "l3"].map((key) =>
    plannedItem(key, { tokensLeft: 9_000 })
  );
  const short = Array.from({ length: 9 }, (_, at) => plannedItem(`s${at}`));
  const starts = planStarts({
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [...long, ...short],
    runs: [],
    engines: [engineSnapshot("one", { cacheTokens: 36_000 }, { slots: 12 })],
  });
  assert.equal(starts.length, 12);
});

test("an item bound to one version resumes only on an engine with that version", () => {
  const input = {
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [plannedItem("bound", { boundVersion: 1 })],
    runs: [],
    engines: [engineSnapshot("newer", { versions: new Map([["m", 2]]) })],
  };
  assert.equal(planStarts(input).length, 0);
});

test("a run moves when it stalls, when its engine leaves, or when another engine is much faster", () => {
  const runs = [
    placedRun("silent", "fast", { lastEventMs: PLAN_MS - 2_000 }),
    placedRun("leaving", "leaving"),
    placedRun("slow", "slow"),
    placedRun("well", "fast"),
  ];
  const moves = planMoves({
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [],
    runs,
    engines: [
      engineSnapshot("fast", {}, { slots: 8 }),
      engineSnapshot("slow", { eventIntervalMs: 140 }),
      engineSnapshot("leaving", {}, { phase: "draining" }),
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
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [],
    runs: [
      placedRun("long", "slow", {
        item: plannedItem("long", { tokensLeft: 9_000 }),
      }),
    ],
    engines: [
      engineSnapshot("slow", { eventIntervalMs: 52 }),
      engineSnapshot("middle", { eventIntervalMs: 42 }),
      engineSnapshot("fast", { eventIntervalMs: 40 }),
    ],
  });
  assert.deepEqual(moves.map((move) => move.to?.id), ["fast"]);
});

test("a run with ample slack moves only to a much faster engine", () => {
  const runs = [
    placedRun("spare", "slow", {
      item: plannedItem("spare", { tokensLeft: 2_000, dueMs: PLAN_MS + 6_000 }),
    }),
  ];
  const to = (eventGapMs: number) =>
    planMoves({
      nowMs: PLAN_MS,
      readingDelayMs: 0,
      waiting: [],
      runs,
      engines: [
        engineSnapshot("slow", { eventIntervalMs: 52 }),
        engineSnapshot("fast", { eventIntervalMs: eventGapMs }),
      ],
    });
  assert.equal(to(40).length, 0);
  assert.equal(to(25).length, 1);
});

test("a run stays on an engine for a minimum time after its start there", () => {
  const engines = [
    engineSnapshot("slow", { eventIntervalMs: 140 }),
    engineSnapshot("fast"),
  ];
  const movesAfter = (ageMs: number) =>
    planMoves({
      nowMs: PLAN_MS,
      readingDelayMs: 0,
      waiting: [],
      runs: [placedRun("new", "slow", { startedMs: PLAN_MS - ageMs })],
      engines,
    });
  assert.equal(movesAfter(300).length, 0);
  assert.equal(movesAfter(1_100).length, 1);
});

test("runs move to a faster engine one at a time, not all at once", () => {
  const slow = ["a", "b", "c"].map((key) => placedRun(key, "slow"));
  const plan = (runs: readonly PlacedRun[]) =>
    planMoves({
      nowMs: PLAN_MS,
      readingDelayMs: 0,
      waiting: [],
      runs,
      engines: [
        engineSnapshot("slow", { eventIntervalMs: 140 }),
        engineSnapshot("fast", {}, { slots: 8 }),
      ],
    });
  assert.equal(plan(slow).length, 1);
  assert.equal(
    plan([...slow, placedRun("d", "fast", { hasEvents: false })]).length,
    0,
  );
});

test("a run stays when the time gained is less than the cost of a move", () => {
  const moves = planMoves({
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [],
    runs: [
      placedRun("short", "slow", {
        item: plannedItem("short", { tokensLeft: 500 }),
      }),
    ],
    engines: [
      engineSnapshot("slow", { eventIntervalMs: 52 }),
      engineSnapshot("fast"),
    ],
  });
  assert.deepEqual(moves, []);
});

test("a run stays when all faster engines are full", () => {
  const moves = planMoves({
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [],
    runs: [
      placedRun("slow", "slow"),
      placedRun("a", "fast"),
      placedRun("b", "fast"),
    ],
    engines: [
      engineSnapshot("fast"),
      engineSnapshot("slow", { eventIntervalMs: 140 }),
    ],
  });
  assert.deepEqual(moves, []);
});

test("a run leaves a stalled engine regardless of how often it has moved", () => {
  const moves = planMoves({
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [],
    runs: [
      placedRun("silent", "dark", { lastEventMs: PLAN_MS - 2_000, moves: 50 }),
      placedRun("slow", "slow", { moves: 50 }),
    ],
    engines: [
      engineSnapshot("fast"),
      engineSnapshot("dark"),
      engineSnapshot("slow", { eventIntervalMs: 140 }),
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
    placedRun("clumped", "slower"),
    placedRun("unread", "fast", { lastEventMs: PLAN_MS - 400 }),
  ];
  const engines = [
    engineSnapshot("slower", { eventIntervalMs: 90 }, { slots: 8 }),
    engineSnapshot("fast", { eventIntervalMs: 40 }, { slots: 8 }),
  ];
  const movesAt = (readingDelayMs: number) =>
    planMoves({ nowMs: PLAN_MS, readingDelayMs, waiting: [], runs, engines })
      .map((move) => `${move.key}: ${move.reason}`);
  assert.deepEqual(movesAt(0).sort(), [
    "clumped: faster_elsewhere",
    "unread: silent",
  ]);
  assert.deepEqual(movesAt(60), []);
});

test("a busy VM still moves a run from an engine that is slower than its delay explains", () => {
  const moves = planMoves({
    nowMs: PLAN_MS,
    readingDelayMs: 60,
    waiting: [],
    runs: [placedRun("slow", "slow")],
    engines: [
      engineSnapshot("slow", { eventIntervalMs: 200 }),
      engineSnapshot("fast"),
    ],
  });
  assert.equal(moves.length, 1);
});

test("an item whose estimated length exceeds its time is not put behind all others while the engines suffice", () => {
  const starts = planStarts({
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [
      plannedItem("short", { group: "a", tokensLeft: 500 }),
      plannedItem("estimated too long", { group: "b", tokensLeft: 17_000 }),
    ],
    runs: [],
    engines: [
      engineSnapshot("fast", {}, { slots: 1 }),
      engineSnapshot("slow", {
        eventIntervalMs: 60,
      }),
    ],
  });
  assert.equal(starts[0]?.item.key, "estimated too long");
});

// Guards against runs that are cut short, or hang at a silent engine, because their route was removed.
test("a run without a route stays on its engine, also a draining one, unless it stalls or the engine is gone", () => {
  const moved = plannedItem("x", { service: null });
  const moves = planMoves({
    nowMs: PLAN_MS,
    readingDelayMs: 0,
    waiting: [],
    runs: [
      placedRun("slow", "slow", { item: { ...moved, key: "slow" } }),
      placedRun("draining", "draining", {
        item: { ...moved, key: "draining" },
      }),
      placedRun("gone", "gone", { item: { ...moved, key: "gone" } }),
      placedRun("silent", "slow", {
        item: { ...moved, key: "silent" },
        lastEventMs: PLAN_MS - 3_000,
      }),
    ],
    engines: [
      engineSnapshot("slow", { eventIntervalMs: 400 }),
      engineSnapshot("fast", { eventIntervalMs: 20 }),
      engineSnapshot("draining", {}, { phase: "draining" }),
    ],
  });
  const keys = moves.map(({ key, to }) => `${key} ${to}`).sort();
  assert.deepEqual(keys, ["gone null", "silent null"]);
});

// Guards against items that wait without an end for a cache that stays empty, as their estimates are far too high.
test("an item that seems too large for an engine starts after a wait once the engine is under half full", () => {
  const startsAfter = (waitedMs: number, other: Partial<PlannedItem>) => {
    const large = plannedItem("large", {
      tokensLeft: 95_000,
      progressMs: PLAN_MS - waitedMs,
    });
    const engines = [engineSnapshot("one", {}, { slots: 4 })];
    const runs = [
      placedRun("other", "one", { item: plannedItem("other", other) }),
    ];
    const plan = { nowMs: PLAN_MS, readingDelayMs: 0, waiting: [large] };
    return planStarts({ ...plan, runs, engines }).length;
  };
  assert.equal(startsAfter(999, {}), 0);
  assert.equal(startsAfter(1_000, {}), 1);
  assert.equal(startsAfter(1_000, { usedTokens: 60_000 }), 0);
  const full = [placedRun("a", "one"), placedRun("b", "one")];
  const large = plannedItem("large", { tokensLeft: 95_000, progressMs: 0 });
  const engines = [engineSnapshot("one", {}, { slots: 4 })];
  const plan = { nowMs: PLAN_MS, readingDelayMs: 0, waiting: [large] };
  assert.deepEqual(planStarts({ ...plan, runs: full, engines }), []);
});
