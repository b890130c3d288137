import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryEventLog, Metrics } from "#core";
import { FRESH_ITEM, SOUND_ENGINE } from "./plan_test_support.ts";
import type {
  EngineSnapshot,
  ItemPlanInput,
  PlannedItem,
} from "./plan_types.ts";
import { WaitingReport } from "./waiting_reasons.ts";

const NOW_MS = 10_000;

const ITEM: PlannedItem = {
  ...FRESH_ITEM,
  key: "b/x",
  group: "g",
  model: "m",
  service: "models",
  priority: 1,
  minimumVersion: 1,
  dueMs: NOW_MS,
  tokensLeft: 1_000,
  usedTokens: 500,
};

const ENGINE: EngineSnapshot = {
  ...SOUND_ENGINE,
  upstream: {
    id: "e",
    bornMs: 1,
    sequence: 1,
    service: "models",
    zone: "z",
    address: { host: "10.0.0.1", port: 80 },
    slots: 2,
    phase: "ready",
    serves: [],
  },
  versions: new Map([["m", 1]]),
  eventIntervalMs: 40,
  cacheTokens: 2_000,
};

/** Returns what is reported of the waiting items. */
function reported(
  waiting: readonly PlannedItem[],
  parts: Partial<ItemPlanInput>,
): readonly unknown[] {
  const events = new MemoryEventLog();
  const report = new WaitingReport({ events, metrics: new Metrics() });
  const input = { nowMs: NOW_MS, readingDelayMs: 0, waiting, runs: [] };
  report.update(waiting, { ...input, engines: [ENGINE], ...parts });
  report.update(waiting, { ...input, engines: [ENGINE], ...parts });
  return events.records().map(({ fields }) => [fields.reason, fields.items]);
}

// Guards against items that wait without a line in the log that says for what.
test("what an item waits for is the first condition that no engine meets, reported once a second", () => {
  const { upstream } = ENGINE;
  const run = {
    item: { ...ITEM, usedTokens: 1_000 },
    engine: "e",
    startedMs: 0,
    lastEventMs: NOW_MS,
    hasEvents: true,
    moves: 0,
  };
  const failed = { countAt: () => 1, mayStart: () => false };
  const cases: readonly [
    string,
    Partial<EngineSnapshot>,
    Partial<PlannedItem>,
  ][] = [
    ["engine", { upstream: { ...upstream, phase: "draining" } }, {}],
    ["engine", {}, { service: "others" }],
    ["version", {}, { minimumVersion: 2 }],
    ["version", { versions: new Map([["m", 2]]) }, { boundVersion: 1 }],
    ["pause", { pausedUntilMs: NOW_MS + 1 }, {}],
    ["backoff", {}, { failedRuns: failed }],
    ["slot", { foreignRuns: 2 }, {}],
    ["permit", { startsLeft: 0 }, {}],
    ["cache", {}, {}],
    ["turn", { cacheTokens: 100_000 }, {}],
  ];
  for (const [reason, engine, item] of cases) {
    const waiting = [{ ...ITEM, ...item }];
    const engines = [{ ...ENGINE, ...engine }];
    assert.deepEqual(reported(waiting, { engines, runs: [run] }), [[
      reason,
      1,
    ]]);
  }
});

test("items that have not waited for a second are not reported", () => {
  const fresh = { ...ITEM, progressMs: NOW_MS - 999 };
  assert.deepEqual(reported([fresh], { engines: [] }), []);
  const engines: readonly EngineSnapshot[] = [];
  assert.deepEqual(reported([ITEM, fresh, ITEM], { engines }), [["engine", 2]]);
});
