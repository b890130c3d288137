import assert from "node:assert/strict";
import { test } from "node:test";
import { unpackMessage } from "./messages.ts";
import { SimulatedGroup, type SimulatedVm } from "./simulated_group.ts";

const REPAIR_LIMIT_MS = 10_000;

async function startGroup(
  ...spares: readonly string[]
): Promise<SimulatedGroup> {
  const group = new SimulatedGroup({ seed: 9, vms: ["a", "b", "c"], spares });
  await group.startAll();
  return group;
}

function vmNamed(group: SimulatedGroup, name: string): SimulatedVm {
  return group.vms.find((vm) => vm.name === name) as SimulatedVm;
}

async function commitCommands(
  group: SimulatedGroup,
  count: number,
): Promise<number> {
  const before = group.oracle.acknowledgedCount;
  for (let left = count; left > 0; left -= 1) {
    const leader = group.leader();
    const vm = group.vms.find((each) => each.process === leader);
    if (vm !== undefined) group.propose(vm);
    await group.run(20);
  }
  await group.run(1_000);
  return group.oracle.acknowledgedCount - before;
}

function voterVms(group: SimulatedGroup): readonly string[] {
  return group.settledVoters.map((voter) => voter.vm).sort();
}

test("a replica restarted after 500 changes is not ready until it has applied them all", async () => {
  const group = await startGroup();
  const restarted = vmNamed(group, "c");
  group.crash(restarted);
  await group.run(3_000);
  assert.equal(await commitCommands(group, 500), 500);
  group.start(restarted);
  let itemsWhenReady: number | undefined;
  for (let step = 0; step < 2_000 && itemsWhenReady === undefined; step += 1) {
    await group.run(2);
    if (restarted.process?.log.status().ready !== true) continue;
    itemsWhenReady = restarted.process.machine.items.length;
  }
  assert.equal(itemsWhenReady, 500);
});

test("a second VM may be lost immediately after the first one is repaired", async () => {
  const group = await startGroup();
  await commitCommands(group, 30);
  const first = vmNamed(group, "c");
  const old = first.replica;
  group.loseDisk(first);
  group.start(first);
  await group.run(REPAIR_LIMIT_MS);
  assert.notEqual(first.replica, old);
  assert.ok(
    group.settledVoters.some((voter) => voter.replica === first.replica),
  );
  group.loseDisk(vmNamed(group, "a"));
  await group.run(REPAIR_LIMIT_MS);
  assert.equal(await commitCommands(group, 5), 5);
});

test("after a repair the old replica is no longer needed, even if all replicas restart", async () => {
  const group = await startGroup();
  await commitCommands(group, 1);
  const first = vmNamed(group, "c");
  group.loseDisk(first);
  group.start(first);
  await group.run(REPAIR_LIMIT_MS);
  for (const vm of group.vms) group.crash(vm);
  group.start(vmNamed(group, "b"));
  group.start(first);
  await group.run(REPAIR_LIMIT_MS);
  assert.equal(await commitCommands(group, 5), 5);
});

test("a VM that lost its disk and repeats its first start rejoins its group", async () => {
  const group = await startGroup();
  await commitCommands(group, 5);
  const first = vmNamed(group, "a");
  group.loseDisk(first);
  group.start(first, true);
  await group.run(REPAIR_LIMIT_MS);
  assert.equal(first.process?.machine.items.length, 5);
  assert.ok(
    group.settledVoters.some((voter) => voter.replica === first.replica),
  );
});

test("a newly configured control VM becomes a voter before a former one is removed", async () => {
  const group = await startGroup("d");
  await commitCommands(group, 30);
  group.peers = ["b", "c", "d"];
  await group.run(REPAIR_LIMIT_MS);
  assert.deepEqual(voterVms(group), ["a", "b", "c"]);
  group.start(vmNamed(group, "d"));
  await group.run(2 * REPAIR_LIMIT_MS);
  assert.deepEqual(voterVms(group), ["b", "c", "d"]);
  group.crash(vmNamed(group, "a"));
  assert.equal(await commitCommands(group, 5), 5);
});

test("a removed VM that is configured again becomes a voter again", async () => {
  const group = await startGroup("d");
  group.start(vmNamed(group, "d"));
  for (const peers of [["b", "c", "d"], ["a", "b", "c"], ["a", "c", "d"]]) {
    group.peers = peers;
    await group.run(2 * REPAIR_LIMIT_MS);
    assert.deepEqual(voterVms(group), peers);
    const leader = group.vms.find((vm) => vm.process === group.leader());
    assert.ok(leader !== undefined);
    group.crash(leader);
    await group.run(REPAIR_LIMIT_MS);
    group.start(leader);
  }
});

test("a paused leader rejects reads once the others have elected a new leader", async () => {
  const group = await startGroup();
  await commitCommands(group, 5);
  const old = group.vms.find((vm) => vm.process === group.leader());
  assert.ok(old?.process !== undefined);
  group.pause(old);
  await group.run(5_000);
  assert.equal(await commitCommands(group, 5), 5);
  const { log } = old.process;
  const result = await log.query({ machine: "bundles", question: null });
  assert.equal(result.ok, false);
  assert.equal(log.leaseUntilMs(), 0);
});

test("a replica whose disk is temporarily full resumes without a restart once there is space", async () => {
  const group = await startGroup();
  const full = vmNamed(group, "c");
  const process = full.process;
  full.disk.full = true;
  assert.equal(await commitCommands(group, 30), 30);
  assert.equal(full.process, process);
  const other = group.vms.find((vm) =>
    vm !== full && vm.process !== group.leader()
  );
  assert.ok(other !== undefined);
  group.crash(other);
  assert.equal(await commitCommands(group, 1), 0);
  full.disk.full = false;
  await group.run(1_000);
  assert.equal(await commitCommands(group, 5), 5);
  assert.equal(full.process, process);
});

test("a replica shuts down gracefully while its disk is full", async () => {
  const group = await startGroup();
  const full = vmNamed(group, "c");
  full.disk.full = true;
  await commitCommands(group, 10);
  group.stop(full);
  await group.run(2_000);
  assert.equal(full.process, undefined);
});

test("a replica that failed with a disk error recovers all entries after a restart", async () => {
  const group = await startGroup();
  const faulty = vmNamed(group, "c");
  faulty.disk.failsNextChange = true;
  assert.equal(await commitCommands(group, 30), 30);
  assert.equal(vmNamed(group, "c").process, undefined);
  group.start(faulty);
  await group.run(REPAIR_LIMIT_MS);
  assert.equal(faulty.process?.machine.items.length, 30);
});

test("a leader sends only heartbeats besides the snapshot to a replica that needs one", async () => {
  const group = await startGroup();
  const full = vmNamed(group, "c");
  full.disk.full = true;
  await commitCommands(group, 40);
  const leader = group.leader();
  assert.ok(leader !== undefined);
  let sent = 0;
  const notify = leader.network.notify.bind(leader.network);
  leader.network.notify = (options, body) => {
    if (options.to === full.name) sent += 1;
    notify(options, body);
  };
  await group.run(5_000);
  assert.ok(sent <= 100, `${sent} messages`);
});

test("a new leader does not resend entries that the followers have", async () => {
  const group = await startGroup();
  await commitCommands(group, 5);
  const old = group.vms.find((vm) => vm.process === group.leader());
  assert.ok(old !== undefined);
  let sent = 0;
  for (const { process } of group.vms) {
    if (process === undefined) continue;
    const notify = process.network.notify.bind(process.network);
    process.network.notify = (options, body) => {
      const message = unpackMessage(body);
      if (message?.kind === "append") sent += message.entries.length;
      notify(options, body);
    };
  }
  group.crash(old);
  await group.run(5_000);
  assert.notEqual(group.leader(), undefined);
  assert.ok(sent <= 2, `${sent} entries`);
});
