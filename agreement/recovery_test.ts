import assert from "node:assert/strict";
import { test } from "node:test";
import { unpackMessage } from "./messages.ts";
import { SimulatedGroup, type SimulatedVm } from "./simulated_group.ts";

const REPAIR_MS = 10_000;

async function groupOf(
  ...spares: readonly string[]
): Promise<SimulatedGroup> {
  const group = new SimulatedGroup({ seed: 9, vms: ["a", "b", "c"], spares });
  await group.startAll();
  return group;
}

function vmOf(group: SimulatedGroup, name: string): SimulatedVm {
  return group.vms.find((vm) => vm.name === name) as SimulatedVm;
}

async function commit(group: SimulatedGroup, count: number): Promise<number> {
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

function seated(group: SimulatedGroup): readonly string[] {
  return group.settledSeats.map((seat) => seat.vm).sort();
}

test("a replica restarted after 500 changes is not ready before it has them all", async () => {
  const group = await groupOf();
  const late = vmOf(group, "c");
  group.crash(late);
  await group.run(3_000);
  assert.equal(await commit(group, 500), 500);
  group.start(late);
  let readyItems: number | undefined;
  for (let step = 0; step < 2_000 && readyItems === undefined; step += 1) {
    await group.run(2);
    if (late.process?.log.status().ready !== true) continue;
    readyItems = late.process.machine.items.length;
  }
  assert.equal(readyItems, 500);
});

test("a second VM may be lost right after the repair of a first", async () => {
  const group = await groupOf();
  await commit(group, 30);
  const first = vmOf(group, "c");
  const old = first.replica;
  group.loseDisk(first);
  group.start(first);
  await group.run(REPAIR_MS);
  assert.notEqual(first.replica, old);
  assert.ok(group.settledSeats.some((seat) => seat.replica === first.replica));
  group.loseDisk(vmOf(group, "a"));
  await group.run(REPAIR_MS);
  assert.equal(await commit(group, 5), 5);
});

test("after a repair the old replica is needed no more, not even when all restart", async () => {
  const group = await groupOf();
  await commit(group, 1);
  const first = vmOf(group, "c");
  group.loseDisk(first);
  group.start(first);
  await group.run(REPAIR_MS);
  for (const vm of group.vms) group.crash(vm);
  group.start(vmOf(group, "b"));
  group.start(first);
  await group.run(REPAIR_MS);
  assert.equal(await commit(group, 5), 5);
});

test("an emptied VM whose first start is asked for again joins its group", async () => {
  const group = await groupOf();
  await commit(group, 5);
  const first = vmOf(group, "a");
  group.loseDisk(first);
  group.start(first, true);
  await group.run(REPAIR_MS);
  assert.equal(first.process?.machine.items.length, 5);
  assert.ok(group.settledSeats.some((seat) => seat.replica === first.replica));
});

test("a VM that is named as a control VM gets a seat before another one loses its own", async () => {
  const group = await groupOf("d");
  await commit(group, 30);
  group.peers = ["b", "c", "d"];
  await group.run(REPAIR_MS);
  assert.deepEqual(seated(group), ["a", "b", "c"]);
  group.start(vmOf(group, "d"));
  await group.run(2 * REPAIR_MS);
  assert.deepEqual(seated(group), ["b", "c", "d"]);
  group.crash(vmOf(group, "a"));
  assert.equal(await commit(group, 5), 5);
});

test("a VM that lost its seat and is named again gets one again", async () => {
  const group = await groupOf("d");
  group.start(vmOf(group, "d"));
  for (const peers of [["b", "c", "d"], ["a", "b", "c"], ["a", "c", "d"]]) {
    group.peers = peers;
    await group.run(2 * REPAIR_MS);
    assert.deepEqual(seated(group), peers);
    const leader = group.vms.find((vm) => vm.process === group.leader());
    assert.ok(leader !== undefined);
    group.crash(leader);
    await group.run(REPAIR_MS);
    group.start(leader);
  }
});

test("a leader that was frozen reads nothing once others have a leader", async () => {
  const group = await groupOf();
  await commit(group, 5);
  const old = group.vms.find((vm) => vm.process === group.leader());
  assert.ok(old?.process !== undefined);
  group.freeze(old);
  await group.run(5_000);
  assert.equal(await commit(group, 5), 5);
  const { log } = old.process;
  const answer = await log.query({ machine: "bundles", question: null });
  assert.equal(answer.ok, false);
  assert.equal(log.leaseUntilMs(), 0);
});

test("a replica whose disk is full for a while goes on by itself once there is room", async () => {
  const group = await groupOf();
  const full = vmOf(group, "c");
  const process = full.process;
  full.disk.full = true;
  assert.equal(await commit(group, 30), 30);
  assert.equal(full.process, process);
  const other = group.vms.find((vm) =>
    vm !== full && vm.process !== group.leader()
  );
  assert.ok(other !== undefined);
  group.crash(other);
  assert.equal(await commit(group, 1), 0);
  full.disk.full = false;
  await group.run(1_000);
  assert.equal(await commit(group, 5), 5);
  assert.equal(full.process, process);
});

test("a replica stops in good order while its disk is full", async () => {
  const group = await groupOf();
  const full = vmOf(group, "c");
  full.disk.full = true;
  await commit(group, 10);
  group.stop(full);
  await group.run(2_000);
  assert.equal(full.process, undefined);
});

test("a replica with a disk error starts again with what it had promised", async () => {
  const group = await groupOf();
  const faulty = vmOf(group, "c");
  faulty.disk.broken = true;
  assert.equal(await commit(group, 30), 30);
  assert.equal(vmOf(group, "c").process, undefined);
  group.start(faulty);
  await group.run(REPAIR_MS);
  assert.equal(faulty.process?.machine.items.length, 30);
});

test("a leader sends a replica that needs a snapshot no more than heartbeats besides", async () => {
  const group = await groupOf();
  const full = vmOf(group, "c");
  full.disk.full = true;
  await commit(group, 40);
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

test("a new leader sends no entries that the others have", async () => {
  const group = await groupOf();
  await commit(group, 5);
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
