import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicatedLog } from "#agreement";
import {
  type FleetUpstream,
  type MachineCommand,
  MemoryEventLog,
  Metrics,
  Ok,
  type RouteKind,
  type RouteRule,
  type RoutingConfiguration,
  SeededRandom,
  VirtualClock,
} from "#core";
import { UnlimitedPermits } from "#quotas";
import { RouteRules, type UpstreamDialect } from "#requests";
import { BatchRunner } from "./batch_runner.ts";
import { testBatch, testItem } from "./batch_test_support.ts";
import type { Batch } from "./batch_types.ts";
import { type BatchesCommand, BatchesMachine } from "./batches_machine.ts";
import { findItemRoute } from "./item_routes.ts";
import type { ScoringPort } from "./item_scoring.ts";

interface TestRoute {
  readonly name: string;
  readonly prefix: string;
  readonly service: string;
  readonly kind?: RouteKind;
}

function configurationOf(
  version: number,
  routes: readonly TestRoute[],
): RoutingConfiguration {
  return {
    version,
    routes: routes.map(({ name, prefix, service, kind = "batch" }) => ({
      name,
      host: "h",
      pathPrefix: prefix,
      kind,
      split: [{ service, weight: 1 }],
      priority: 0,
    })) as unknown as readonly RouteRule[],
    services: [],
    limits: {} as RoutingConfiguration["limits"],
  };
}

function serviceOf(
  routes: readonly TestRoute[],
  target: string,
  path = "/b/submission",
): string | undefined {
  const rules = new RouteRules(configurationOf(1, routes));
  const route = findItemRoute(rules, { host: "h", path }, target);
  return route?.split[0]?.service;
}

// Guards against items that run at the service of another route, or nowhere, once routes have other names.
test("host and path select the service of an item, whatever the name of its route is", () => {
  const b = { name: "r", prefix: "/b/", service: "models" };
  const c = { name: "s", prefix: "/c/", service: "others" };
  assert.equal(serviceOf([b, c], "/b/1?x=/c/"), "models");
  assert.equal(serviceOf([{ ...b, name: "new" }, c], "/b/1"), "models");
  const exchanged = [{ ...b, name: "s" }, { ...c, name: "r" }];
  assert.equal(serviceOf(exchanged, "/b/1"), "models");
  assert.equal(serviceOf([{ ...c, name: "r" }], "/b/1"), undefined);
  assert.equal(serviceOf([{ ...b, service: "moved" }], "/b/1"), "moved");
  assert.equal(serviceOf([{ ...b, kind: "once" }], "/b/1"), undefined);
});

test("an item whose path is under no batch route runs where its submission went", () => {
  const b = { name: "r", prefix: "/b/", service: "models" };
  const calls = { ...b, prefix: "/b/calls/", kind: "once" as const };
  assert.equal(serviceOf([b], "/elsewhere/1"), "models");
  assert.equal(serviceOf([b, calls], "/b/calls/1"), "models");
  assert.equal(serviceOf([b], "/elsewhere/1", "/c/submission"), undefined);
});

/** The runner of a leader whose log applies at once, with one engine that is never reached. */
class Leader {
  readonly clock = new VirtualClock();
  readonly machine = new BatchesMachine();
  configuration = configurationOf(1, [
    { name: "r", prefix: "/b/", service: "models" },
  ]);
  readonly #runner: BatchRunner;
  #index = 0;

  constructor(batch: Batch) {
    this.#apply({ kind: "accept", batch, keepMs: 1_000 });
    const log = {
      leaseUntilMs: () => Infinity,
      status: () => ({ role: "leader" }),
      onApplied: () => () => {},
      propose: ({ command }: MachineCommand) => {
        this.#apply(command as BatchesCommand);
        return Promise.resolve(Ok(1));
      },
    };
    this.#runner = new BatchRunner({
      log: log as unknown as ReplicatedLog,
      machine: this.machine,
      clock: this.clock,
      events: new MemoryEventLog(),
      metrics: new Metrics(),
      random: new SeededRandom(1),
      dialect: {} as UpstreamDialect,
      upstreams: (): readonly FleetUpstream[] => [],
      onLeaving: () => {},
      onRequestLimit: () => {},
      permits: new UnlimitedPermits(),
      configuration: () => this.configuration,
      drainMs: 2_000,
      fetchReport: () => Promise.resolve(undefined),
      scoringPort: {} as ScoringPort,
      onLeads: () => {},
    });
    this.#runner.start();
  }

  /** Lets time pass; returns the outcomes listed by then. */
  async pass(ms: number): Promise<readonly string[]> {
    for (let at = 0; at < ms; at += 50) {
      this.clock.advance(50);
      await new Promise((resolve) => setImmediate(resolve));
    }
    const results = this.machine.find("b")?.results ?? [];
    return results.map(({ outcome }) => outcome);
  }

  #apply(command: BatchesCommand): void {
    this.#index += 1;
    const atMs = this.clock.wallMs();
    this.machine.apply({ index: this.#index, atMs, command });
  }
}

function batchOf(configurationVersion: number): Batch {
  const items = [testItem("x", { target: "/b/1" })];
  return testBatch("b", items, { path: "/b/1", configurationVersion });
}

// Guards against items that wait until the trainer gives up after a configuration has removed their route.
test("an item that waits is abandoned some seconds after its route was removed", async () => {
  const leader = new Leader(batchOf(1));
  assert.deepEqual(await leader.pass(10_000), []);
  leader.configuration = configurationOf(2, []);
  assert.deepEqual(await leader.pass(2_500), []);
  assert.deepEqual(await leader.pass(1_500), ["given_up"]);
});

test("an item keeps waiting if its route comes back, also under another name", async () => {
  const leader = new Leader(batchOf(1));
  for (const version of [2, 4, 6]) {
    leader.configuration = configurationOf(version, []);
    assert.deepEqual(await leader.pass(2_000), []);
    leader.configuration = configurationOf(version + 1, [
      { name: `r${version}`, prefix: "/b/", service: "models" },
    ]);
    assert.deepEqual(await leader.pass(2_000), []);
  }
});

// Guards against a leader with an old configuration that abandons what was accepted under a newer one.
test("an item is not abandoned by a configuration older than that of its acceptance", async () => {
  const leader = new Leader(batchOf(3));
  leader.configuration = configurationOf(2, []);
  assert.deepEqual(await leader.pass(10_000), []);
  leader.configuration = configurationOf(3, []);
  assert.deepEqual(await leader.pass(4_000), ["given_up"]);
});
