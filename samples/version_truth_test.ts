import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "#core";
import fc from "fast-check";
import {
  actualRuns,
  EngineFleet,
  FleetEngine,
  FleetStateReader,
} from "./engine_fleet_test_support.ts";
import {
  makeStep,
  makeTestCluster,
  parsePage,
  type TestCluster,
} from "./entry_test_support.ts";
import type { DeliveredSample } from "./sample_page.ts";

const FAULT_PERIOD_MS = 1_500;
const DELIVERY_TIMEOUT_MS = 60_000;
const GROUPS = 8;
const GROUP_SIZE = 2;

interface EngineFault {
  readonly atMs: number;
  readonly engine: number;
  readonly kind: "swap" | "fail_swap" | "restart";
  readonly loadMs: number;
}

interface Scenario {
  readonly versionReporting: readonly boolean[];
  readonly faults: readonly EngineFault[];
  readonly publishAtMs: readonly number[];
}

function makeFleet(
  scenario: Scenario,
): { readonly cluster: TestCluster; readonly fleet: EngineFleet } {
  const clock = new VirtualClock(1_000);
  const engines = scenario.versionReporting.map((reportsVersions, index) =>
    new FleetEngine(clock, { id: `e${index}`, reportsVersions })
  );
  const fleet = new EngineFleet(clock, engines);
  const cluster = makeTestCluster({
    clock,
    engines: engines.map((engine) => engine.record),
    completions: () => fleet,
    engineStates: new FleetStateReader(clock, engines),
  });
  for (const fault of scenario.faults) {
    clock.after(fault.atMs, () => {
      const engine = engines[fault.engine % engines.length];
      if (fault.kind === "swap") engine?.swap(fault.loadMs);
      if (fault.kind === "fail_swap") engine?.failSwap(fault.loadMs);
      if (fault.kind === "restart") engine?.restart();
    });
  }
  return { cluster, fleet };
}

async function deliverAll(
  scenario: Scenario,
): Promise<readonly DeliveredSample[]> {
  const { cluster, fleet } = makeFleet(scenario);
  for (const atMs of scenario.publishAtMs) {
    cluster.clock.after(atMs, () => {
      const version = Math.min(
        ...fleet.engines.map((engine) => engine.version),
      );
      void cluster.call(0, `PUT /v1/trainers/tuner/versions/${version}`);
    });
  }
  await cluster.clock.advanceAsync(300);
  cluster.entries[0]?.start();
  await cluster.call(
    0,
    "PUT /v1/trainers/tuner/steps/1",
    makeStep(GROUPS, GROUP_SIZE),
  );
  const received: DeliveredSample[] = [];
  let cursor = "";
  for (let atMs = 0; atMs < DELIVERY_TIMEOUT_MS; atMs += 250) {
    if (received.length === GROUPS * GROUP_SIZE) break;
    await cluster.clock.advanceAsync(250);
    const page = parsePage(
      await cluster.call(0, `GET /v1/trainers/tuner/samples?after=${cursor}`),
    );
    cursor = page.cursor;
    received.push(...page.samples);
  }
  return received;
}

test("each sample names the versions that generated its tokens, through swaps, failed swaps and restarts", async () => {
  const fault = fc.record({
    atMs: fc.nat(FAULT_PERIOD_MS),
    engine: fc.nat(2),
    kind: fc.constantFrom("swap" as const, "fail_swap", "restart"),
    loadMs: fc.integer({ min: 10, max: 800 }),
  }, { noNullPrototype: true });
  const scenarios = fc.record({
    versionReporting: fc.array(fc.boolean(), { minLength: 3, maxLength: 3 }),
    faults: fc.array(fault, { maxLength: 24 }),
    publishAtMs: fc.array(fc.nat(FAULT_PERIOD_MS), { maxLength: 3 }),
  }, { noNullPrototype: true });
  await fc.assert(
    fc.asyncProperty(scenarios, async (scenario) => {
      const samples = await deliverAll(scenario);
      assert.equal(
        samples.length,
        GROUPS * GROUP_SIZE,
        "not all samples were delivered",
      );
      for (const sample of samples) {
        assert.deepEqual(sample.versions, actualRuns(sample.text));
        const oldest = Math.min(
          ...sample.versions.map((run) => run.version),
        );
        assert.ok(
          oldest >= sample.deliveredAtVersion - 1,
          "sample exceeds the staleness bound",
        );
      }
    }),
    { seed: 5, numRuns: 400, includeErrorInReport: true },
  );
});
