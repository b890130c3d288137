import assert from "node:assert/strict";
import { test } from "node:test";
import { type FleetUpstream, SeededRandom } from "#core";
import {
  CONTROLS,
  createNode,
  createUpstream,
  TestCluster,
} from "./fleet_test_support.ts";

test("a VM stops following a control VM that loses its quorum even if it still replies", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  assert.equal(cluster.follower.configuration?.version, 1);
  cluster.control(0).reachesQuorum = false;
  cluster.control(1).version = 2;
  cluster.control(2).version = 2;
  for (const { server } of cluster.controls) server.wakeWaiters();
  await cluster.clock.advanceAsync(1_000);
  assert.equal(cluster.follower.configuration?.version, 2);
});

test("a control VM acknowledges a heartbeat only if it reaches a quorum, but uses it in either case", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  assert.equal(
    cluster.control(1).server.recordHeartbeat(createUpstream()),
    true,
  );
  await cluster.clock.advanceAsync(500);
  assert.equal(cluster.follower.upstreams[0]?.sequence, 1);
  for (const control of cluster.controls) control.reachesQuorum = false;
  const draining = createUpstream({ sequence: 2, phase: "draining" });
  assert.equal(cluster.control(0).server.recordHeartbeat(draining), false);
  await cluster.clock.advanceAsync(3_000);
  assert.equal(cluster.follower.upstreams[0]?.phase, "draining");
});

test("a control VM that has just started does not remove upstreams that the others know", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  cluster.control(1).server.recordHeartbeat(createUpstream());
  await cluster.clock.advanceAsync(500);
  assert.equal(cluster.follower.upstreams.length, 1);
  assert.equal(cluster.control(2).server.upstreams().length, 1);
});

test("a control VM that is not a voter receives heartbeats as soon as the others observe it", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  const spare = cluster.addControl("c4:1");
  spare.server.start();
  await cluster.clock.advanceAsync(1_200);
  cluster.control(0).server.recordHeartbeat(createUpstream());
  await cluster.clock.advanceAsync(100);
  assert.equal(spare.server.upstreams().length, 1);
});

test("a VM that is partitioned from all control VMs logs the loss once and the recovery once", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  const before = cluster.events.records().length;
  for (const vm of CONTROLS) cluster.network.blockLink("e1:3", vm);
  await cluster.clock.advanceAsync(20_000);
  cluster.network.restoreLinks();
  await cluster.clock.advanceAsync(5_000);
  const codes = cluster.events.records().slice(before).map((each) =>
    each.event.code
  );
  assert.deepEqual(codes, [1411, 1416]);
});

test("a VM gets the list of VMs once and again when one of them starts to lead, not with each reply", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  const replies: (readonly unknown[] | null)[] = [];
  const observer = cluster.network.join("s9:2");
  let digest: string | undefined;
  const follow = async (leads: boolean): Promise<void> => {
    const node = { ...createNode("s9:2", "store", "z1"), leads, term: 4 };
    const reply = await observer.request(
      { to: "c1:1", channel: "fleet", timeoutMs: 1_000 },
      {
        kind: "follow",
        node,
        configurationVersion: 0,
        fleet: null,
        placementRevision: 0,
        confirm: false,
        waitMs: 0,
        nodesDigest: digest,
      },
    );
    const { nodes, nodesDigest } = reply.unwrap() as {
      readonly nodes: readonly unknown[] | null;
      readonly nodesDigest: string;
    };
    replies.push(nodes);
    digest = nodesDigest;
  };
  for (const leads of [false, false, true, true]) {
    const done = follow(leads);
    await cluster.clock.advanceAsync(100);
    await done;
  }
  assert.deepEqual(replies.map((nodes) => nodes !== null), [
    true,
    false,
    true,
    false,
  ]);
});

test("control VMs send each other the VMs that report to them, and all known ones to one at a time", async () => {
  const cluster = new TestCluster();
  const extra = Array.from({ length: 6 }, (_, at) => `c${at + 4}:1`);
  for (const vm of extra) cluster.addControl(vm).server.start();
  await cluster.start();
  const sizes: number[] = [];
  const observer = cluster.network.join("c99:1");
  observer.onNotice("fleet", (_from, body) => {
    const { kind, nodes } = body as { kind: string; nodes: unknown[] };
    if (kind === "nodes") sizes.push(nodes.length);
  });
  const spare = createNode("c99:1", "control", "z1");
  for (let second = 0; second < 8; second += 1) {
    observer.notify({ to: "c1:1", channel: "fleet" }, {
      kind: "nodes",
      nodes: [{ node: spare, ageMs: 0 }],
      askBeats: false,
    });
    if (second === 4) sizes.length = 0;
    await cluster.clock.advanceAsync(1_000);
  }
  const short = sizes.filter((size) => size === 1).length;
  assert.ok(sizes.length > 40, `${sizes.length} notices`);
  assert.ok(short > sizes.length * 0.8, `${short} of ${sizes.length} short`);
  for (const { server } of cluster.controls) {
    assert.equal(server.nodes().length, CONTROLS.length + extra.length + 1);
  }
});

test("a VM that gets changes only has the upstreams of its control VM, also after it follows another one", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  const random = new SeededRandom(9);
  const known = new Map<string, number>();
  for (let round = 0; round < 120; round += 1) {
    const id = `u${random.below(6)}`;
    const server = cluster.control(random.below(3)).server;
    const sequence = (known.get(id) ?? 0) + 1;
    known.set(id, sequence);
    const address = { host: "10.0.0.1", port: 1 + random.below(4) };
    const change = { id, sequence, address, bornMs: 1 + (sequence >> 2) };
    if (random.below(5) === 0) server.deregister(id, null);
    else server.recordHeartbeat(createUpstream(change));
    if (round % 40 === 20) cluster.control(0).reachesQuorum = false;
    if (round % 40 === 30) cluster.control(0).reachesQuorum = true;
    await cluster.clock.advanceAsync(100);
  }
  await cluster.clock.advanceAsync(3_000);
  const namesOf = (all: readonly FleetUpstream[]): readonly string[] =>
    all.map((each) => `${each.id} ${each.bornMs} ${each.address.port}`).sort();
  assert.deepEqual(
    namesOf(cluster.follower.upstreams),
    namesOf(cluster.control(0).server.upstreams()),
  );
});

test("all VMs know within a moment that a store VM has started to lead", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  const store = cluster.network.join("s1:2");
  const node = { ...createNode("s1:2", "store", "z3"), leads: true, term: 5 };
  store.notify({ to: "c3:1", channel: "fleet" }, {
    kind: "nodes",
    nodes: [{ node, ageMs: 0 }],
    askBeats: false,
  });
  await cluster.clock.advanceAsync(50);
  const known = cluster.follower.nodes.find((each) => each.vm === "s1:2");
  assert.equal(known?.leads, true);
});

test("a VM that starts among many control VMs is confirmed by the leader that the first one names", async () => {
  const cluster = new TestCluster();
  for (const control of cluster.controls) {
    control.leader = "c3:1";
    control.server.start();
  }
  cluster.control(2).leader = null;
  cluster.follower.run();
  await cluster.clock.advanceAsync(100);
  assert.equal(cluster.follower.confirmed, true);
});

test("a VM follows voters, not the many other control VMs of its zone", async () => {
  const cluster = new TestCluster();
  for (let at = 4; at < 16; at += 1) {
    const spare = cluster.addControl(`c${at}:1`);
    spare.reachesQuorum = false;
    spare.server.start();
  }
  await cluster.start();
  cluster.network.blockLink("e1:3", "c1:1");
  await cluster.clock.advanceAsync(3_000);
  cluster.control(1).version = 2;
  cluster.control(2).version = 2;
  for (const { server } of cluster.controls) server.wakeWaiters();
  await cluster.clock.advanceAsync(200);
  assert.equal(cluster.follower.configuration?.version, 2);
  assert.deepEqual(cluster.follower.controlVms().slice(0, 3), CONTROLS);
});
