import assert from "node:assert/strict";
import { test } from "node:test";
import type { FleetUpstream, Milliseconds } from "#core";
import type { ControlReplica } from "#membership";
import {
  type ControlVm,
  ControlWorld,
  NAMED_SERVICE,
} from "./control_world.ts";

const BORN_MS = 500;
const DOWN_MS: Milliseconds = 200;
/** A heartbeat that is taken for news counts for 4.2 s. */
const WATCHED_MS: Milliseconds = 5_000;
const WATCH_STEP_MS: Milliseconds = 100;
/** Time after which control VMs that were killed together serve again. */
const RECOVERY_MS: Milliseconds = 3_000;

function heartbeat(change: Partial<FleetUpstream> = {}): FleetUpstream {
  return {
    id: "u",
    bornMs: BORN_MS,
    sequence: 1,
    service: NAMED_SERVICE,
    zone: "z0",
    address: { host: "10.1.0.1", port: 1 },
    slots: 8,
    phase: "ready",
    serves: [],
    ...change,
  };
}

function replicaOf(vm: ControlVm | undefined): ControlReplica {
  const replica = vm?.process?.replica;
  assert.ok(replica !== undefined);
  return replica;
}

function isReady(world: ControlWorld): boolean {
  return world.vms.some(({ process }) =>
    process?.replica.fleet.readyUpstreams(NAMED_SERVICE).length === 1
  );
}

/** Runs the world while a promise is pending. */
async function settle<Value>(
  world: ControlWorld,
  promise: Promise<Value>,
): Promise<Value> {
  await world.run(1_000);
  return await promise;
}

/** How an upstream may say that it leaves; resolves with whether that was acknowledged. */
type Departure = (replica: ControlReplica) => Promise<boolean>;

const DEPARTURES: ReadonlyMap<string, Departure> = new Map<string, Departure>([
  ["a leave call", (replica) => replica.acceptLeave("u", BORN_MS)],
  [
    "a leave call without a start time",
    (replica) => replica.acceptLeave("u", null),
  ],
  [
    "a draining heartbeat",
    (replica) =>
      replica.acceptHeartbeat(heartbeat({ sequence: 9, phase: "draining" })),
  ],
  ["a response", (replica) => {
    replica.fleet.recordLeaving([{ id: "u", bornMs: BORN_MS }]);
    return Promise.resolve(true);
  }],
]);

/** Kills all control VMs at once and starts them again, with their disks. */
async function restartAll(world: ControlWorld): Promise<void> {
  for (const vm of world.vms) world.kill(vm);
  await world.run(DOWN_MS);
  for (const vm of world.vms) world.restart(vm);
}

/** Lets every control VM receive a heartbeat, then watches whether the upstream counts as ready anywhere. */
async function isUsedAfter(
  world: ControlWorld,
  late: FleetUpstream,
): Promise<boolean> {
  for (const vm of world.vms) void replicaOf(vm).acceptHeartbeat(late);
  let used = false;
  for (let ms = 0; ms < WATCHED_MS; ms += WATCH_STEP_MS) {
    await world.run(WATCH_STEP_MS);
    used ||= isReady(world);
  }
  return used;
}

// Guards against a worker that has left and is used again: its last heartbeat arrives after all control VMs restarted.
for (const [name, depart] of DEPARTURES) {
  for (const vms of [3, 10]) {
    test(`a departure by ${name} holds after a restart of all ${vms} control VMs`, async () => {
      const world = new ControlWorld({ vms, zones: 3, losses: 1, seed: 46 });
      await world.start();
      const [first] = world.voters();
      const accepted = replicaOf(first).acceptHeartbeat(heartbeat());
      assert.equal(await settle(world, accepted), true);
      assert.equal(isReady(world), true);
      const departed = depart(replicaOf(world.voters()[1]));
      assert.equal(await settle(world, departed), true);
      assert.equal(isReady(world), false);
      for (const late of [{ sequence: 2 }, { sequence: 99 }]) {
        await restartAll(world);
        await world.run(RECOVERY_MS);
        assert.equal(await isUsedAfter(world, heartbeat(late)), false);
      }
      const next = heartbeat({ bornMs: world.clock.wallMs(), sequence: 1 });
      assert.equal(await isUsedAfter(world, next), true);
    });
  }
}

// Guards against the same for a heartbeat that arrives before a control VM has read its log.
test("a late heartbeat that arrives while the control VMs start is revoked once they have read the log", async () => {
  const world = new ControlWorld({ vms: 3, zones: 3, losses: 1, seed: 47 });
  await world.start();
  const [vm] = world.vms;
  await settle(world, replicaOf(vm).acceptHeartbeat(heartbeat()));
  const departed = replicaOf(vm).acceptLeave("u", BORN_MS);
  assert.equal(await settle(world, departed), true);
  await restartAll(world);
  for (const each of world.vms) {
    replicaOf(each).fleet.recordHeartbeat(heartbeat({ sequence: 3 }));
  }
  await world.run(RECOVERY_MS);
  assert.equal(isReady(world), false);
});

// Guards against an acknowledgement that only the memory of one VM stands behind.
test("a departure is not acknowledged by a control VM that can't store it, and a repeated call is", async () => {
  const world = new ControlWorld({ vms: 3, zones: 3, losses: 1, seed: 48 });
  await world.start();
  const leader = world.leader();
  const other = world.vms.find((each) => each !== leader);
  assert.ok(leader !== undefined && other !== undefined);
  for (const vm of world.vms) if (vm !== other) world.cutOff(vm);
  let outcome: boolean | undefined;
  void replicaOf(other).acceptLeave("u", BORN_MS).then((stored) => {
    outcome = stored;
  });
  await world.run(2_500);
  assert.equal(outcome, false);
  world.network.restoreLinks();
  await world.run(RECOVERY_MS);
  const again = replicaOf(other).acceptLeave("u", BORN_MS);
  assert.equal(await settle(world, again), true);
});

// Guards against another writer that makes a worker leave by a heartbeat with the worker's identifier.
test("a draining heartbeat of a service that is not named makes no upstream leave, though it bears its identifier", async () => {
  const world = new ControlWorld({ vms: 3, zones: 3, losses: 1, seed: 63 });
  await world.start();
  await settle(world, world.change(1));
  const foreign = heartbeat({
    service: "elsewhere",
    bornMs: BORN_MS + 3_600_000,
    phase: "draining",
  });
  const [vm] = world.vms;
  for (const record of [heartbeat(), foreign, heartbeat({ sequence: 2 })]) {
    const accepted = replicaOf(vm).acceptHeartbeat(record);
    assert.equal(await settle(world, accepted), true);
  }
  assert.equal(isReady(world), true);
  await restartAll(world);
  await world.run(RECOVERY_MS);
  assert.equal(await isUsedAfter(world, heartbeat({ sequence: 3 })), true);
});
