import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryEventLog, VirtualClock } from "#core";
import { NO_DEPARTURES } from "./departures_machine.ts";
import { FleetTable } from "./fleet_table.ts";
import { createUpstream, TestCluster } from "./fleet_test_support.ts";
import { NamedLimits } from "./named_limits.ts";

const TRAVEL_MS = 50;

async function clusterWithUpstream(): Promise<TestCluster> {
  const cluster = new TestCluster();
  await cluster.start();
  cluster.control(1).server.recordHeartbeat(createUpstream());
  await cluster.clock.advanceAsync(TRAVEL_MS);
  return cluster;
}

/** Lets time pass while the upstream goes on sending heartbeats. */
async function advance(cluster: TestCluster, seconds: number): Promise<void> {
  const startedMs = cluster.clock.nowMs();
  for (let second = 0; second < seconds; second += 1) {
    await cluster.clock.advanceAsync(1_000);
    const sequence = Math.round(startedMs) + second;
    cluster.control(1).server.recordHeartbeat(createUpstream({ sequence }));
  }
}

test("a limit that one VM reads in a response is known to all, also when it changes and ends", async () => {
  const cluster = await clusterWithUpstream();
  for (const perSecond of [2.5, 1, null]) {
    cluster.follower.reportRequestLimit(createUpstream(), perSecond);
    assert.equal(cluster.follower.upstreams[0]?.requestLimit, perSecond);
    await cluster.clock.advanceAsync(TRAVEL_MS);
    for (const { server } of cluster.controls) {
      assert.equal(server.upstreams()[0]?.requestLimit, perSecond);
    }
    await advance(cluster, 1);
  }
});

test("a VM learns the limits that other VMs have read, and logs each change once", async () => {
  const cluster = await clusterWithUpstream();
  const limit = { id: "u", bornMs: 1, ageMs: 0 };
  for (const perSecond of [4, 4, 2, null, null]) {
    const { server } = cluster.control(2);
    server.recordLimits([{ ...limit, perSecond }]);
    await advance(cluster, 1);
    assert.equal(cluster.follower.upstreams[0]?.requestLimit, perSecond);
  }
  const logged = cluster.events.records().filter((each) =>
    each.event.code === 1420
  );
  assert.deepEqual(logged.map((each) => each.fields["perSecond"]), [
    4,
    2,
    null,
  ]);
});

test("a VM that is cut off when it reads a limit tells the others once it reaches control again", async () => {
  const cluster = await clusterWithUpstream();
  for (const vm of ["c1:1", "c2:1", "c3:1"]) {
    cluster.network.blockLink("e1:3", vm);
  }
  cluster.follower.reportRequestLimit(createUpstream(), 3);
  await advance(cluster, 4);
  assert.equal(cluster.follower.upstreams[0]?.requestLimit, 3);
  cluster.network.restoreLinks();
  await advance(cluster, 4);
  assert.equal(cluster.control(2).server.upstreams()[0]?.requestLimit, 3);
});

test("a control VM that has just started learns the limits from the others", async () => {
  const cluster = await clusterWithUpstream();
  cluster.follower.reportRequestLimit(createUpstream(), 3);
  await cluster.clock.advanceAsync(TRAVEL_MS);
  const started = cluster.addControl("c4:1");
  started.server.start();
  await cluster.clock.advanceAsync(1_000);
  assert.equal(started.server.upstreams()[0]?.requestLimit, 3);
});

test("the limit of the newest response holds, in whatever order reports arrive", () => {
  const table = new FleetTable({
    heartbeatTimeoutMs: 4_000,
    retentionMs: 9e4,
    departures: NO_DEPARTURES,
  });
  table.recordHeartbeat({ record: createUpstream(), ageMs: 0 }, 1_000);
  const limit = { id: "u", bornMs: 1 };
  assert.equal(
    table.recordLimit({ ...limit, perSecond: null, ageMs: 10 }, 1_000),
    true,
  );
  assert.equal(
    table.recordLimit({ ...limit, perSecond: 5, ageMs: 40 }, 1_010),
    false,
  );
  assert.equal(table.listed()[0]?.requestLimit, null);
  table.recordLimit({ ...limit, perSecond: 5, ageMs: 0 }, 1_020);
  table.recordHeartbeat(
    { record: createUpstream({ sequence: 2 }), ageMs: 0 },
    1_030,
  );
  assert.equal(table.listed()[0]?.requestLimit, 5);
});

test("a limit ends with the incarnation that named it", async () => {
  const cluster = await clusterWithUpstream();
  cluster.follower.reportRequestLimit(createUpstream(), 3);
  await cluster.clock.advanceAsync(TRAVEL_MS);
  const restarted = createUpstream({ bornMs: 2 });
  cluster.control(1).server.recordHeartbeat(restarted);
  await cluster.clock.advanceAsync(TRAVEL_MS);
  assert.equal(cluster.follower.upstreams[0]?.requestLimit, undefined);
});

test("what a VM has just read itself is not replaced by an older statement of a control VM", async () => {
  const clock = new VirtualClock();
  const limits = new NamedLimits({ clock, events: new MemoryEventLog() });
  const upstream = createUpstream();
  limits.observe(upstream, 3);
  limits.adopt({ ...upstream, requestLimit: null });
  assert.equal(limits.mark(upstream).requestLimit, 3);
  await clock.advanceAsync(1_000);
  limits.adopt({ ...upstream, requestLimit: null });
  assert.equal(limits.mark(upstream).requestLimit, null);
});
