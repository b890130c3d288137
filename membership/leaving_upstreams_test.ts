import assert from "node:assert/strict";
import { test } from "node:test";
import { CONTROLS, createUpstream, TestCluster } from "./fleet_test_support.ts";

test("an upstream that tells one VM that it is leaving gets no calls from any, while its heartbeats say ready", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  cluster.control(1).server.recordHeartbeat(createUpstream());
  await cluster.clock.advanceAsync(500);
  cluster.follower.reportLeaving(createUpstream());
  assert.equal(cluster.follower.upstreams[0]?.phase, "draining");
  await cluster.clock.advanceAsync(200);
  for (const { server } of cluster.controls) {
    assert.equal(server.upstreams()[0]?.phase, "draining");
  }
  cluster.control(2).server.recordHeartbeat(createUpstream({ sequence: 2 }));
  await cluster.clock.advanceAsync(500);
  assert.equal(cluster.follower.upstreams[0]?.phase, "draining");
});

test("a VM that is cut off from control sends nothing more to a leaving upstream, and tells the others later", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  cluster.control(0).server.recordHeartbeat(createUpstream());
  await cluster.clock.advanceAsync(500);
  for (const vm of CONTROLS) cluster.network.blockLink("e1:3", vm);
  cluster.follower.reportLeaving(createUpstream());
  assert.equal(cluster.follower.upstreams[0]?.phase, "draining");
  await cluster.clock.advanceAsync(2_000);
  assert.equal(cluster.control(0).server.upstreams()[0]?.phase, "ready");
  cluster.network.restoreLinks();
  cluster.control(0).server.recordHeartbeat(createUpstream({ sequence: 2 }));
  await cluster.clock.advanceAsync(3_000);
  assert.equal(cluster.control(0).server.upstreams()[0]?.phase, "draining");
  assert.equal(cluster.follower.upstreams[0]?.phase, "draining");
});

test("a leaving notice bars neither a later incarnation of the upstream nor another one at its address", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  const { server } = cluster.control(0);
  server.recordHeartbeat(createUpstream());
  await cluster.clock.advanceAsync(500);
  cluster.follower.reportLeaving(createUpstream());
  await cluster.clock.advanceAsync(200);
  server.recordHeartbeat(createUpstream({ bornMs: 2 }));
  const successor = { id: "v", bornMs: 3, service: "other" };
  await cluster.clock.advanceAsync(500);
  assert.equal(cluster.follower.upstreams[0]?.phase, "ready");
  server.recordHeartbeat(createUpstream(successor));
  await cluster.clock.advanceAsync(500);
  assert.deepEqual(
    cluster.follower.upstreams.map(({ id, phase }) => [id, phase]),
    [["v", "ready"]],
  );
});
