import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryEventLog, Metrics } from "#core";
import {
  engineSnapshot,
  placedRun,
  PLAN_MS,
  plannedItem,
} from "./plan_test_support.ts";
import type {
  EngineSnapshot,
  ItemPlanInput,
  PlannedItem,
} from "./plan_types.ts";
import { WaitingReport } from "./waiting_reasons.ts";

const ITEM = plannedItem("b/x", { dueMs: PLAN_MS });
const ENGINE = engineSnapshot("e", { cacheTokens: 2_000 });

/** Returns what is reported of the waiting items. */
function reported(
  waiting: readonly PlannedItem[],
  parts: Partial<ItemPlanInput>,
): readonly unknown[] {
  const events = new MemoryEventLog();
  const report = new WaitingReport({ events, metrics: new Metrics() });
  const input = { nowMs: PLAN_MS, readingDelayMs: 0, waiting, runs: [] };
  report.update(waiting, { ...input, engines: [ENGINE], ...parts });
  report.update(waiting, { ...input, engines: [ENGINE], ...parts });
  return events.records().map(({ fields }) => [fields.reason, fields.items]);
}

// Guards against items that wait without a line in the log that says for what.
test("what an item waits for is the first condition that no engine meets, reported once a second", () => {
  const { upstream } = ENGINE;
  const item = { ...ITEM, usedTokens: 1_000 };
  const run = placedRun("other", "e", { item });
  const failed = { isEmpty: false, countAt: () => 1, mayStart: () => false };
  const cases: readonly [
    string,
    Partial<EngineSnapshot>,
    Partial<PlannedItem>,
  ][] = [
    ["engine", { upstream: { ...upstream, phase: "draining" } }, {}],
    ["engine", {}, { service: "others" }],
    ["version", {}, { minimumVersion: 2 }],
    ["version", { versions: new Map([["m", 2]]) }, { boundVersion: 1 }],
    ["pause", { pausedUntilMs: PLAN_MS + 1 }, {}],
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
  const fresh = { ...ITEM, progressMs: PLAN_MS - 999 };
  assert.deepEqual(reported([fresh], { engines: [] }), []);
  const engines: readonly EngineSnapshot[] = [];
  assert.deepEqual(reported([ITEM, fresh, ITEM], { engines }), [["engine", 2]]);
});
