import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import type { ReplicatedLog } from "#agreement";
import {
  type FleetUpstream,
  MemoryEventLog,
  Metrics,
  Ok,
  type RoutingConfiguration,
  SeededRandom,
  SystemClock,
} from "#core";
import { UnlimitedPermits } from "#quotas";
import { type ResponseMetadata, UpstreamDialect } from "#requests";
import { testBatch, testItem } from "./batch_test_support.ts";
import { BatchesMachine } from "./batches_machine.ts";
import { BatchRunner } from "./batch_runner.ts";
import { type ScoringOutcome, ScoringPort } from "./item_scoring.ts";

const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "r",
    host: "h",
    pathPrefix: "/b/",
    kind: "batch",
    split: [{ service: "models", weight: 1 }],
  }],
  services: [{
    name: "models",
    maximumConnections: 10,
    engine: { slots: 4, cacheTokens: 10_000, models: ["m"] },
  }],
} as unknown as RoutingConfiguration;

class TestDialect extends UpstreamDialect {
  override callerOf(): string {
    return "";
  }

  override callHeaders(base: readonly string[]): readonly string[] {
    return base;
  }

  override readResumption(): ReturnType<UpstreamDialect["readResumption"]> {
    return Ok(null);
  }

  override identityCall(): null {
    return null;
  }

  override readBornMs(): null {
    return null;
  }

  override readResponse(): ResponseMetadata {
    return {
      requestId: "x",
      notRun: false,
      stamp: "s",
      leaving: false,
      requestLimit: null,
      version: 1,
    };
  }

  override readEventVersion(): number | null {
    return null;
  }
}

class NoScoring extends ScoringPort {
  override send(): Promise<ScoringOutcome> {
    throw new Error("no item of this test is scored");
  }
}

class FakeLog {
  leaseMs = Infinity;
  role = "leader";

  leaseUntilMs(): number {
    return this.leaseMs;
  }

  status(): { readonly role: string } {
    return { role: this.role };
  }

  onApplied(): () => void {
    return () => {};
  }

  propose(): Promise<unknown> {
    return Promise.resolve(Ok(1));
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Time within which an item starts on an idle engine. */
const START_LIMIT_MS = 5_000;

/** Runs a batch of one item, accepted by route `r`, on an engine that never ends its text. */
async function withRun(
  use: (state: {
    readonly log: FakeLog;
    readonly runs: readonly ServerResponse[];
    readonly cancelled: () => number;
    readonly runner: BatchRunner;
  }) => Promise<void>,
  configuration = CONFIGURATION,
): Promise<void> {
  const runs: ServerResponse[] = [];
  let cancelled = 0;
  const server = createServer((request, response) => {
    request.resume();
    runs.push(response);
    response.write("id: 0\ndata: a\n\n");
    const timer = setInterval(() => response.write(": \n\n"), 50);
    response.on("close", () => {
      clearInterval(timer);
      cancelled += 1;
    });
  });
  await new Promise<void>((resolve) =>
    server.listen({ host: "127.0.0.1", port: 0 }, resolve)
  );
  const { port } = server.address() as AddressInfo;
  const engine: FleetUpstream = {
    id: "e",
    bornMs: 1,
    sequence: 1,
    service: "models",
    zone: "z",
    address: { host: "127.0.0.1", port },
    slots: 4,
    phase: "ready",
    serves: [{ model: "m", version: 1 }],
  };
  const machine = new BatchesMachine();
  const item = testItem("x", {
    target: "/b/1",
    body: new Uint8Array(1),
    promptTokens: 10,
    expectedTokens: 1_000,
  });
  const batch = testBatch("b", [item], { minimumVersion: 1 });
  const command = { kind: "accept" as const, batch, keepMs: 1_000 };
  machine.apply({ index: 1, atMs: Date.now(), command });
  const log = new FakeLog();
  const runner = new BatchRunner({
    log: log as unknown as ReplicatedLog,
    machine,
    clock: new SystemClock(),
    events: new MemoryEventLog(),
    metrics: new Metrics(),
    random: new SeededRandom(1),
    dialect: new TestDialect(),
    upstreams: () => [engine],
    onLeaving: () => {},
    onRequestLimit: () => {},
    permits: new UnlimitedPermits(),
    configuration: () => configuration,
    drainMs: 2_000,
    fetchReport: () => Promise.resolve(undefined),
    scoringPort: new NoScoring(),
    onLeads: () => {},
  });
  runner.start();
  try {
    const untilMs = Date.now() + START_LIMIT_MS;
    while (runs.length === 0 && Date.now() < untilMs) await sleep(10);
    assert.equal(runs.length, 1, "the item runs");
    await use({ log, runs, cancelled: () => cancelled, runner });
  } finally {
    await runner.stop();
    server.closeAllConnections();
    server.close();
  }
}

test("a leader whose lease lapses for a moment goes on with its runs", async () => {
  await withRun(async ({ log, runs, cancelled }) => {
    log.leaseMs = 0;
    await sleep(150);
    log.leaseMs = Infinity;
    await sleep(100);
    assert.equal(cancelled(), 0);
    assert.equal(runs.length, 1);
  });
});

test("a leader that is replaced cancels its runs at once, one without a lease after a second", async () => {
  await withRun(async ({ log, cancelled }) => {
    log.leaseMs = 0;
    log.role = "follower";
    await sleep(150);
    assert.equal(cancelled(), 1);
  });
  await withRun(async ({ log, cancelled }) => {
    log.leaseMs = 0;
    await sleep(1_250);
    assert.equal(cancelled(), 1);
  });
});

// Guards against items that wait without an end once a configuration gives their route another name.
test("an item runs at the service of its host and path if its route was renamed or names were exchanged", async () => {
  const [route] = CONFIGURATION.routes;
  assert.ok(route !== undefined);
  const split = [{ service: "others", weight: 1 }];
  const renamed = [{ ...route, name: "s" }];
  const exchanged = [...renamed, { ...route, pathPrefix: "/c/", split }];
  for (const routes of [renamed, exchanged]) {
    await withRun(() => Promise.resolve(), { ...CONFIGURATION, routes });
  }
});

// Guards against a report that earlier builds did not send, and against the load of a VM that no longer leads.
test("the leader reports its load for the services that can be scaled, and for no others", async () => {
  await withRun(({ runner }) => {
    assert.equal(runner.load(), undefined);
    return Promise.resolve();
  });
  const services = CONFIGURATION.services.map((each) => ({
    ...each,
    scaling: {
      minimum: 1,
      maximum: 2,
      bootMs: 0,
      spotPriceRatio: null,
      zonePrices: {},
    },
  }));
  await withRun(async ({ runner, log }) => {
    assert.deepEqual(runner.load(), [
      { service: "models", queued: 0, running: 1, neededSlots: 1 },
    ]);
    log.leaseMs = 0;
    log.role = "follower";
    await sleep(150);
    assert.equal(runner.load(), undefined);
  }, { ...CONFIGURATION, services });
});
