import assert from "node:assert/strict";
import { test } from "node:test";
import { type FleetUpstream, incarnationOf } from "#core";
import { assignModels, planLoads, versionOnEngine } from "./load_plan.ts";
import { VersionLag } from "./version_lag.ts";

const MODELS = ["m0", "m1"];

function createEngine(at: number): FleetUpstream {
  return {
    id: `engine-${at}`,
    bornMs: 1,
    sequence: 1,
    service: "models",
    zone: `zone-${at % 3}`,
    address: { host: `10.0.0.${at}`, port: 80 },
    slots: 12,
    phase: "ready",
    serves: MODELS.map((model) => ({ model, version: 1 })),
  };
}

/** Publishes versions one after the other and loads each; returns the loads and the fewest usable engines. */
function simulateVersions(count: number, lag: number): {
  readonly loads: number;
  readonly fewestUsable: number;
} {
  const engines = Array.from({ length: count }, (_, at) => createEngine(at));
  const assigned = assignModels(engines, MODELS, new Map());
  const loadedVersions = new Map<string, Map<string, number>>();
  let loads = 0;
  let fewestUsable = Infinity;
  for (let version = 2; version < 12; version += 1) {
    const newestVersions = MODELS.map((model) => ({ model, version }));
    const allowedLags = new Map(MODELS.map((model) => [model, lag]));
    for (const model of MODELS) {
      const usable = engines.filter((each) =>
        versionOnEngine(each, model, loadedVersions) >= version - lag
      );
      if (version > 3) fewestUsable = Math.min(fewestUsable, usable.length);
    }
    const input = {
      engines,
      models: MODELS,
      newestVersions,
      allowedLags,
      assigned,
      loadedVersions,
    };
    let next = planLoads({ ...input, busyEngines: new Set() });
    while (next.length > 0) {
      assert.ok(next.length <= Math.ceil(count / 4));
      for (const load of next) {
        const key = incarnationOf(load.engine);
        const versions = loadedVersions.get(key) ?? new Map<string, number>();
        versions.set(load.model, load.version);
        loadedVersions.set(key, versions);
        loads += 1;
      }
      next = planLoads({ ...input, busyEngines: new Set() });
    }
  }
  return { loads, fewestUsable };
}

test("if work may be one version behind, half of all engines can accept each model's work at any time", () => {
  for (const count of [6, 8, 9]) {
    const { loads, fewestUsable } = simulateVersions(count, 1);
    assert.ok(fewestUsable >= Math.floor(count / 2), `${fewestUsable} usable`);
    const free = 10 * MODELS.length * Math.ceil(count / MODELS.length);
    assert.ok(loads <= free, `${loads} loads, ${free} free`);
  }
});

test("if work must use the newest version, each model has its own engines and all of them load it", () => {
  const { loads, fewestUsable } = simulateVersions(8, 0);
  assert.equal(loads, 10 * 8);
  assert.equal(fewestUsable, 0);
});

test("engines keep their model when another engine leaves", () => {
  const engines = Array.from({ length: 8 }, (_, at) => createEngine(at));
  const before = assignModels(engines, MODELS, new Map());
  const after = assignModels(engines.slice(1), MODELS, before);
  for (const [id, model] of after) assert.equal(before.get(id), model);
});

test("the allowed lag is the smallest lag of the latest requests, and 0 before the first request", () => {
  const lag = new VersionLag();
  assert.equal(lag.allowedLag("m0"), 0);
  lag.observe([{ model: "m0", version: 4 }], [{ model: "m0", version: 2 }]);
  assert.equal(lag.allowedLag("m0"), 2);
  lag.observe([{ model: "m0", version: 4 }], [{ model: "m0", version: 3 }]);
  lag.observe([{ model: "m0", version: 5 }], [{ model: "m0", version: 3 }]);
  assert.equal(lag.allowedLag("m0"), 1);
});
