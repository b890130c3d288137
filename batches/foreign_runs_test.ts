import assert from "node:assert/strict";
import { test } from "node:test";
import { type FleetUpstream, MemoryEventLog, VirtualClock } from "#core";
import type { EngineReport } from "#weights";
import { ForeignRuns } from "./foreign_runs.ts";
import { planStarts } from "./item_plan.ts";
import type { EngineSnapshot, PlannedItem } from "./plan_types.ts";
import { FRESH_ITEM, SOUND_ENGINE } from "./plan_test_support.ts";

const SLOTS = 8;

function engineOf(id: string): FleetUpstream {
  return {
    id,
    bornMs: 1,
    sequence: 1,
    service: "models",
    zone: "z",
    address: { host: "10.0.0.1", port: 80 },
    slots: SLOTS,
    phase: "ready",
    serves: [{ model: "m", version: 1 }],
  };
}

function reportOf(runs: number): EngineReport {
  const usedTokens = runs * 5_000;
  return { serves: [], busy: false, acceptedOrders: 0, runs, usedTokens };
}

/** Engines of which each has some runs that a leader before left behind. */
class Engines {
  readonly clock = new VirtualClock(0);
  readonly left = new Map<string, number>();
  readonly foreignRuns: ForeignRuns;
  readonly all: readonly FleetUpstream[];
  readonly events = new MemoryEventLog();
  failing = new Set<string>();
  calls = 0;
  silent = new Set<string>();
  own = 0;

  constructor(left: Readonly<Record<string, number>>) {
    this.left = new Map(Object.entries(left));
    this.all = [...this.left.keys()].map(engineOf);
    this.foreignRuns = new ForeignRuns({
      clock: this.clock,
      events: this.events,
      fetchReport: (engine) => this.#report(engine),
      ownRuns: () => this.own,
      onReply: () => {},
    });
  }

  runsOn(id: string): number {
    return this.foreignRuns.loadOf(engineOf(id)).runs;
  }

  /** Engines without runs of others, as far as it is known. */
  free(): readonly string[] {
    const ids = [...this.left.keys()];
    return ids.filter((id) => this.runsOn(id) === 0);
  }

  snapshots(): readonly EngineSnapshot[] {
    return this.all.map((upstream) => ({
      upstream,
      versions: new Map([["m", 1]]),
      eventIntervalMs: 50,
      cacheTokens: Infinity,
      ...SOUND_ENGINE,
      foreignRuns: this.runsOn(upstream.id),
    }));
  }

  #report(engine: FleetUpstream): Promise<EngineReport | undefined> {
    this.calls += 1;
    if (this.silent.has(engine.id)) return new Promise(() => {});
    if (this.failing.has(engine.id)) return Promise.resolve(undefined);
    const runs = this.own + (this.left.get(engine.id) ?? 0);
    return Promise.resolve(reportOf(runs));
  }
}

function itemsOf(count: number): readonly PlannedItem[] {
  return Array.from({ length: count }, (_, at) => ({
    key: `item-${at}`,
    group: `g-${at}`,
    model: "m",
    service: "models",
    priority: 1,
    minimumVersion: 1,
    ...FRESH_ITEM,
    dueMs: 7_000,
    tokensLeft: 1_000,
    usedTokens: 500,
  }));
}

/** Lets the replies of engines arrive. */
function replies(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test("a new leader starts no runs on engines that are full with runs of a leader that froze", async () => {
  const engines = new Engines({ full: 8, half: 5, empty: 0 });
  engines.foreignRuns.start();
  assert.deepEqual(engines.free(), []);
  engines.foreignRuns.survey(engines.all);
  await replies();
  const starts = planStarts({
    nowMs: 0,
    readingDelayMs: 0,
    waiting: itemsOf(20),
    runs: [],
    engines: engines.snapshots(),
  });
  const counts = new Map<string, number>();
  for (const { engine } of starts) {
    counts.set(engine.id, (counts.get(engine.id) ?? 0) + 1);
  }
  assert.deepEqual([...counts].sort(), [["empty", 8], ["half", 3]]);
});

test("slots that runs of a lost leader occupied are used once those have ended", async () => {
  const engines = new Engines({ full: 8, empty: 0 });
  engines.foreignRuns.start();
  engines.foreignRuns.survey(engines.all);
  await replies();
  engines.left.set("full", 2);
  engines.own = 3;
  engines.clock.advance(500);
  engines.foreignRuns.survey(engines.all);
  await replies();
  assert.equal(engines.runsOn("full"), 2);
  assert.equal(engines.calls, 3, "an engine without such runs is asked once");
});

test("an engine that does not reply delays a new leader by a moment only", async () => {
  const engines = new Engines({ dark: 0, empty: 0 });
  engines.silent.add("dark");
  engines.foreignRuns.start();
  engines.foreignRuns.survey(engines.all);
  await replies();
  assert.deepEqual(engines.free(), ["empty"]);
  engines.clock.advance(100);
  assert.deepEqual(engines.free(), ["dark", "empty"]);
});

test("a leader that took over nothing asks no engine", () => {
  const engines = new Engines({ empty: 0 });
  engines.foreignRuns.survey(engines.all);
  assert.deepEqual(engines.free(), ["empty"]);
  assert.equal(engines.calls, 0);
});

test("a new leader asks a few engines at a time and places runs on those that have replied", async () => {
  const left = Array.from({ length: 20 }, (_, at) => [`e${at}`, 0] as const);
  const engines = new Engines(Object.fromEntries(left));
  engines.foreignRuns.start();
  engines.foreignRuns.survey(engines.all);
  await replies();
  assert.equal(engines.calls, 8);
  assert.equal(engines.free().length, 8);
});

test("an engine whose report fails is not logged as empty", async () => {
  const engines = new Engines({ broken: 0, empty: 0 });
  engines.failing.add("broken");
  engines.foreignRuns.start();
  engines.foreignRuns.survey(engines.all);
  await replies();
  engines.foreignRuns.survey(engines.all);
  const [logged] = engines.events.records();
  assert.equal(logged?.fields["silent"], 1);
});
