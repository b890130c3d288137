import assert from "node:assert/strict";
import { test } from "node:test";
import { type Bytes, MEBIBYTE, type Milliseconds } from "#core";
import { AGREEMENT_EVENTS } from "./events.ts";
import { checkRecovery, runStep } from "./fuzz_model.ts";
import { LargeStateReplica } from "./large_state_group.ts";
import { SimulatedGroup, type SimulatedVm } from "./simulated_group.ts";
import { DEFAULT_SNAPSHOT_POLICY } from "./snapshot_policy.ts";

const VMS = ["a", "b", "c"];
/** More syncs than a snapshot and the rewritten log of the group need. */
const MAXIMUM_SYNCS = 50;
const SETTLE_MS: Milliseconds = 2_000;
const SNAPSHOT_RETRY_MS: Milliseconds = 6_000;

async function startGroup(seed: number): Promise<SimulatedGroup> {
  const group = new SimulatedGroup({ seed, vms: VMS });
  await group.startAll();
  return group;
}

async function proposeMany(
  group: SimulatedGroup,
  count: number,
): Promise<void> {
  for (let left = count; left > 0; left -= 1) {
    await runStep(group, { kind: "propose", count: 3 });
    await group.run(10);
  }
}

/** Returns a VM that runs no leader. */
function followerVm(group: SimulatedGroup): SimulatedVm {
  const leader = group.leader();
  const follower = group.vms.find((vm) => vm.process !== leader);
  assert.ok(follower !== undefined);
  return follower;
}

test("a crash at any sync of a snapshot or of the log file after it loses nothing", async () => {
  for (let syncs = 0; syncs < MAXIMUM_SYNCS; syncs += 1) {
    const group = await startGroup(syncs);
    await proposeMany(group, 10);
    const vm = followerVm(group);
    group.crashAtSync(vm, syncs);
    await proposeMany(group, 40);
    await group.run(SETTLE_MS);
    assert.equal(vm.process, undefined, `no crash at sync ${syncs}`);
    assert.ok([...vm.disk.files.keys()].length > 0);
    await checkRecovery(group);
  }
});

test("a crash at any sync of the transfer and installation of a snapshot loses nothing", async () => {
  const crashed = new Set<number>();
  for (let syncs = 0; syncs < MAXIMUM_SYNCS; syncs += 1) {
    const group = await startGroup(syncs);
    await proposeMany(group, 40);
    const vm = followerVm(group);
    group.loseDisk(vm);
    group.start(vm);
    group.crashAtSync(vm, syncs);
    await group.run(SETTLE_MS);
    if (vm.process === undefined) crashed.add(syncs);
    await checkRecovery(group);
  }
  assert.ok(crashed.size >= 8, `crashed at ${crashed.size} syncs`);
});

/** Commits values of 1 MiB until one is rejected; returns how many were committed. */
async function fillLog(replica: LargeStateReplica): Promise<number> {
  for (let count = 0; count < 80; count += 1) {
    const { failure } = await replica.store(count, MEBIBYTE);
    if (failure === undefined) continue;
    assert.equal(failure.kind, "not_ready");
    assert.equal(failure.ran, "no");
    assert.ok((failure.retryAfterMs ?? 0) > 0);
    return count;
  }
  return assert.fail("every command was accepted");
}

test("a leader whose snapshots do not fit on the disk rejects commands, loses none, and recovers by itself", async () => {
  const replica = new LargeStateReplica();
  await replica.start();
  replica.disk.hasSpace = (name) => !name.startsWith("partial-");
  const committed = await fillLog(replica);
  const limit: Bytes = DEFAULT_SNAPSHOT_POLICY.maximumBytes + 2 * MEBIBYTE;
  assert.ok(replica.storedBytes("log-") <= limit);
  assert.equal(replica.storedBytes("partial-"), 0);
  const full = replica.events.records().filter(({ event }) =>
    event === AGREEMENT_EVENTS.diskFull
  );
  assert.ok(full.length > 0);
  replica.disk.hasSpace = () => true;
  await replica.clock.advanceAsync(SNAPSHOT_RETRY_MS);
  await replica.clock.advanceAsync(SNAPSHOT_RETRY_MS);
  const { failure } = await replica.store(committed, MEBIBYTE);
  assert.equal(failure, undefined);
  await replica.restart();
  assert.equal(replica.machine.blobs.size, committed + 1);
});
