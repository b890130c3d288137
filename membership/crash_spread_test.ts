import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryEventLog, SeededRandom } from "#core";
import { FleetFollower } from "./fleet_follower.ts";
import { CONTROLS, createNode, TestCluster } from "./fleet_test_support.ts";

const CALL = { digest: "d", bodyBytes: 4 };

function recordCrash(follower: FleetFollower, incarnation: string): void {
  const evidence = "connection_refused";
  const crash = { incarnation, evidence, evidenceAgeMs: 1 } as const;
  follower.crashes.recordCrash(CALL, crash);
}

function startFollower(cluster: TestCluster, vm: string): FleetFollower {
  const follower = new FleetFollower({
    network: cluster.network.join(vm),
    clock: cluster.clock,
    random: new SeededRandom(5),
    events: new MemoryEventLog(),
    self: () => createNode(vm, "entry", "z2"),
    seeds: () => CONTROLS,
    onChange: () => {},
  });
  void follower.run();
  return follower;
}

test("crashes that three VMs see under one call add up, and a VM that starts later knows them", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  const others = ["e2:3", "e3:3"].map((vm) => startFollower(cluster, vm));
  await cluster.clock.advanceAsync(100);
  for (const [at, follower] of [cluster.follower, ...others].entries()) {
    recordCrash(follower, `u${at}:1`);
  }
  await cluster.clock.advanceAsync(50);
  for (const follower of [cluster.follower, ...others]) {
    assert.ok(follower.crashes.isBlocked("d"));
  }
  const late = startFollower(cluster, "e4:3");
  await cluster.clock.advanceAsync(50);
  assert.ok(late.crashes.isBlocked("d"));
  const blocked = cluster.events.records().filter(({ event }) =>
    event.code === 1422
  );
  assert.equal(blocked.length, 1);
});

test("a crash reaches all control VMs although the notice about it is lost", async () => {
  const cluster = new TestCluster();
  await cluster.start();
  cluster.network.links = { ...cluster.network.links, dropChance: 1 };
  recordCrash(cluster.follower, "u1:1");
  await cluster.clock.advanceAsync(20);
  cluster.network.links = { ...cluster.network.links, dropChance: 0 };
  await cluster.clock.advanceAsync(6_000);
  for (const { server } of cluster.controls) {
    assert.equal(server.crashes.crashesOf("d"), 1);
  }
});
