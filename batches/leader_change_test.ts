import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicatedLog } from "#agreement";
import {
  type FleetUpstream,
  type MachineCommand,
  MemoryEventLog,
  SeededRandom,
  VirtualClock,
} from "#core";
import { numberedItems, testBatch } from "./batch_test_support.ts";
import { type BatchesCommand, BatchesMachine } from "./batches_machine.ts";
import { EngineObservations } from "./engine_observations.ts";
import { planStarts } from "./item_plan.ts";
import type { EngineSnapshot } from "./plan_types.ts";
import { ItemTask } from "./item_task.ts";
import { ProgressWriter } from "./progress_writer.ts";
import { FRESH_ITEM, SOUND_ENGINE } from "./plan_test_support.ts";

const ENGINES = ["slow", "typical", "fast"];
const INTERVALS_MS = [65, 50, 35];

/** Observes each engine for a second, at its own speed. */
function observeEngines(clock: VirtualClock): EngineObservations {
  const observations = new EngineObservations();
  for (const [at, engine] of ENGINES.entries()) {
    const intervalMs = INTERVALS_MS[at] ?? 0;
    for (let nowMs = 0; nowMs < 1_000; nowMs += intervalMs) {
      observations.recordInterval(engine, intervalMs, clock.nowMs());
    }
  }
  return observations;
}

function snapshotOf(
  id: string,
  observations: EngineObservations,
  nowMs: number,
): EngineSnapshot {
  const upstream: FleetUpstream = {
    id,
    bornMs: 1,
    sequence: 1,
    service: "models",
    zone: "z",
    address: { host: "10.0.0.1", port: 80 },
    slots: 8,
    phase: "ready",
    serves: [{ model: "m", version: 1 }],
  };
  return {
    upstream,
    versions: new Map([["m", 1]]),
    eventIntervalMs: observations.eventIntervalMs(id, nowMs),
    cacheTokens: Infinity,
    ...SOUND_ENGINE,
  };
}

test("after a change of leader a long text does not resume on an engine that is known as slow", async () => {
  const clock = new VirtualClock(0);
  const machine = new BatchesMachine();
  const batch = testBatch("b", numberedItems("b", 1));
  const accept = { kind: "accept", batch, keepMs: 1_000 } as const;
  machine.apply({ index: 1, atMs: clock.wallMs(), command: accept });
  const logged = machine.find("b")?.items.get("b-0");
  assert.ok(logged !== undefined);
  const task = new ItemTask(batch, { logged, dueMs: 7_000, nowMs: 0 });
  task.addEvent({ id: 0, data: "a", version: 1 });
  const before = observeEngines(clock);
  const writer = new ProgressWriter({
    log: {
      propose: ({ command }: MachineCommand) =>
        Promise.resolve(machine.apply({
          index: 2,
          atMs: clock.wallMs(),
          command: command as BatchesCommand,
        })),
    } as unknown as ReplicatedLog,
    machine,
    clock,
    events: new MemoryEventLog(),
    random: new SeededRandom(1),
    tasks: () => [task],
    engineSpeeds: () => before.speeds(clock.nowMs()),
    onListed: () => {},
  });
  await writer.flush();
  const after = new EngineObservations();
  after.adopt(machine.engineSpeeds(clock.wallMs()), clock.nowMs());
  const [start] = planStarts({
    nowMs: clock.nowMs(),
    readingDelayMs: 0,
    waiting: [{
      key: task.key,
      group: "g",
      model: "m",
      service: "models",
      priority: 1,
      minimumVersion: 1,
      ...FRESH_ITEM,
      dueMs: task.dueMs,
      tokensLeft: 10_000,
      usedTokens: 10,
    }],
    runs: [],
    engines: ENGINES.map((each) => snapshotOf(each, after, clock.nowMs())),
  });
  assert.equal(start?.engine.id, "fast");
});

test("the speed of an engine that the leader before saw stall is forgotten as time passes", () => {
  const clock = new VirtualClock(0);
  const before = observeEngines(clock);
  before.recordStall("typical", 800, clock.nowMs());
  const machine = new BatchesMachine();
  const speeds = before.speeds(clock.nowMs());
  const command = { kind: "update", updates: [], speeds } as const;
  machine.apply({ index: 1, atMs: clock.wallMs(), command });
  const after = new EngineObservations();
  after.adopt(machine.engineSpeeds(clock.wallMs() + 30_000), 30_000);
  const intervalMs = after.eventIntervalMs("typical", 30_000);
  assert.ok(intervalMs < 100, `${intervalMs} ms`);
});
