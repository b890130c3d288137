import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { type RolloutEngine, WavePlan } from "./rollout_plan.ts";

const FAILURES_BEFORE_EXCLUSION = 3;

function makeEngine(
  index: number,
  changes: Partial<RolloutEngine>,
): RolloutEngine {
  return {
    upstream: `e${index}`,
    zone: `z${index % 3}`,
    capacity: 4,
    serving: 1,
    loading: false,
    earliestOrderMs: 0,
    consecutiveFailures: 0,
    ...changes,
  };
}

test("a wave keeps the serving floor of each zone, or withdraws a single engine", () => {
  const engineChanges = fc.record({
    capacity: fc.integer({ min: 1, max: 16 }),
    serving: fc.constantFrom(null, 1, 2),
    loading: fc.constantFrom(false, false, true),
    consecutiveFailures: fc.nat(2),
  }, { noNullPrototype: true });
  fc.assert(
    fc.property(
      fc.array(engineChanges, { minLength: 1, maxLength: 30 }),
      fc.constantFrom(0, 0.25, 0.5, 0.75, 1),
      (parts, servingFloor) => {
        const engines = parts.map((changes, index) =>
          makeEngine(index, changes)
        );
        const goal = { version: 2, servingFloor, loadsPerSecond: 1_000 };
        const plan = new WavePlan();
        plan.selectEngines([], goal, 0);
        const chosen = new Set(plan.selectEngines(engines, goal, 1_000));
        for (const zone of ["z0", "z1", "z2"]) {
          checkZone(engines.filter((engine) => engine.zone === zone), {
            chosen,
            servingFloor,
          });
        }
      },
    ),
    { seed: 9, numRuns: 1_000 },
  );
});

function checkZone(
  engines: readonly RolloutEngine[],
  wave: {
    readonly chosen: ReadonlySet<string>;
    readonly servingFloor: number;
  },
): void {
  let all = 0;
  let before = 0;
  let after = 0;
  let taken = 0;
  for (const engine of engines) {
    all += engine.capacity;
    if (engine.serving === null || engine.loading) continue;
    before += engine.capacity;
    if (wave.chosen.has(engine.upstream)) taken += 1;
    else after += engine.capacity;
  }
  if (taken === 0) return;
  const single = before === all && taken === 1;
  assert.ok(after >= all * wave.servingFloor || single);
}

test("loads start no faster than the rate limit of the weight store", () => {
  const plan = new WavePlan();
  const goal = { version: 2, servingFloor: 0, loadsPerSecond: 5 };
  const engines = Array.from(
    { length: 100 },
    (_, index) => makeEngine(index, {}),
  );
  let started = 0;
  for (let nowMs = 0; nowMs <= 10_000; nowMs += 100) {
    const chosen = new Set(plan.selectEngines(engines, goal, nowMs));
    started += chosen.size;
    for (const [index, engine] of engines.entries()) {
      if (!chosen.has(engine.upstream)) continue;
      engines[index] = { ...engine, loading: true };
    }
  }
  assert.ok(started <= 51, `${started} loads in 10 s`);
  assert.ok(started >= 49, `${started} loads in 10 s`);
});

test("an engine that failed gets no order during its backoff, and one that keeps failing does not block the rollout", () => {
  const goal = { version: 2, servingFloor: 0.6, loadsPerSecond: 100 };
  const resting = makeEngine(0, { serving: null, earliestOrderMs: 5_000 });
  const others = [makeEngine(3, {}), makeEngine(6, {})];
  const first = new WavePlan();
  assert.deepEqual(first.selectEngines([resting, ...others], goal, 0), []);
  const broken = { ...resting, consecutiveFailures: FAILURES_BEFORE_EXCLUSION };
  assert.deepEqual(new WavePlan().selectEngines([broken, ...others], goal, 0), [
    "e3",
  ]);
  assert.deepEqual(
    new WavePlan().selectEngines([resting, ...others], goal, 5_000),
    ["e0"],
  );
});

test("unused load tokens accumulate for one second only", () => {
  const plan = new WavePlan();
  const goal = { version: 2, servingFloor: 0, loadsPerSecond: 5 };
  const engines = Array.from(
    { length: 100 },
    (_, index) => makeEngine(index, {}),
  );
  plan.selectEngines([], goal, 0);
  assert.equal(plan.selectEngines(engines, goal, 60_000).length, 5);
});
