import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicatedLog } from "#agreement";
import {
  type FleetUpstream,
  MemoryEventLog,
  Metrics,
  Ok,
  type RoutingConfiguration,
  SeededRandom,
  VirtualClock,
} from "#core";
import { UnlimitedPermits } from "#quotas";
import type { UpstreamDialect } from "#requests";
import { BatchRunner } from "./batch_runner.ts";
import { testBatch, testItem } from "./batch_test_support.ts";
import { BatchesMachine } from "./batches_machine.ts";
import type { ScoringPort } from "./item_scoring.ts";

const ROUTE_PRIORITY = 3;
const ENGINE = {
  id: "w1",
  service: "models",
  zone: "z",
  slots: 4,
  phase: "ready",
  startedMs: 0,
  address: { host: "h", port: 1 },
  serves: [{ name: "m", version: 1 }],
  requestLimit: 5,
} as unknown as FleetUpstream;

/** Permits that are never available, and the priorities with which they were asked for. */
class NoPermits extends UnlimitedPermits {
  readonly priorities: number[] = [];

  override available(): number {
    return 0;
  }

  override setBacklog(
    ...[, backlog]: readonly [string?, { readonly priority: number }?]
  ): void {
    if (backlog !== undefined) this.priorities.push(backlog.priority);
  }
}

/** Returns the priority with which a leader asks for permits for the items of a batch. */
async function askedPriority(
  tenant: string | null | undefined,
): Promise<number | undefined> {
  const machine = new BatchesMachine();
  const batch = {
    ...testBatch("b", [testItem("i")]),
    ...(tenant === undefined ? {} : { tenant }),
  };
  const command = { kind: "accept" as const, batch, keepMs: 60_000 };
  machine.apply({ index: 1, atMs: 0, command });
  const clock = new VirtualClock();
  const permits = new NoPermits();
  const configuration = {
    version: 1,
    routes: [{
      name: "r",
      host: batch.host,
      pathPrefix: "/",
      kind: "batch",
      split: [{ service: "models", weight: 1 }],
      priority: ROUTE_PRIORITY,
    }],
    services: [{
      name: "models",
      maximumConnections: 10,
      engine: { slots: 4, cacheTokens: 1e6, models: ["m"] },
    }],
    limits: {},
    tenants: [
      { name: "urgent", keyDigests: [], priority: 0 },
      { name: "plain", keyDigests: [], priority: null },
    ],
  } as unknown as RoutingConfiguration;
  const runner = new BatchRunner({
    log: {
      leaseUntilMs: () => Infinity,
      status: () => ({ role: "leader" }),
      onApplied: () => () => {},
      propose: () => Promise.resolve(Ok(1)),
    } as unknown as ReplicatedLog,
    machine,
    clock,
    events: new MemoryEventLog(),
    metrics: new Metrics(),
    random: new SeededRandom(1),
    dialect: {} as UpstreamDialect,
    upstreams: () => [ENGINE],
    onLeaving: () => {},
    onRequestLimit: () => {},
    permits,
    configuration: () => configuration,
    drainMs: 2_000,
    fetchReport: () => Promise.resolve(undefined),
    scoringPort: {} as ScoringPort,
    onLeads: () => {},
  });
  runner.start();
  await clock.advanceAsync(500);
  runner.stop();
  return permits.priorities.find((each) => each < Number.MAX_SAFE_INTEGER);
}

// Guards against items of an urgent tenant that wait for permits behind calls of others.
test("items have the priority of their tenant, or else that of their route", async () => {
  assert.equal(await askedPriority("urgent"), 0);
  assert.equal(await askedPriority("plain"), ROUTE_PRIORITY);
  assert.equal(await askedPriority("removed"), ROUTE_PRIORITY);
  assert.equal(await askedPriority(null), ROUTE_PRIORITY);
  assert.equal(await askedPriority(undefined), ROUTE_PRIORITY);
});
