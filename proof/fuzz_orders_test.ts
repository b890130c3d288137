import assert from "node:assert/strict";
import { test } from "node:test";
import { VirtualClock } from "#core";
import { ORDER_LIMIT_MS, WEIGHTS_EVENTS } from "#weights";
import { fuzz } from "./fuzz_orders.ts";
import { LEASE_MS, OrdersWorld } from "./orders_world.ts";

const ENGINE_COUNT = 400;
const DURATION_SECONDS = 70;

test("no engine ends on an older order than the last committed one under network faults and leader changes", async () => {
  await fuzz({ seed: 1, runs: 40 });
});

test("an engine whose loads fail repeatedly receives its order again, regardless of state reads in between", async () => {
  const clock = new VirtualClock(1_000);
  const world = new OrdersWorld(clock, 1);
  const [engine] = world.engines;
  assert.ok(engine);
  engine.loadsToFail = 8;
  world.published = 2;
  await clock.advanceAsync(300_000);
  for (const coordinator of world.coordinators) coordinator.stop();
  assert.equal(engine.state, "serving");
  assert.equal(engine.version, 2);
});

test("a new leader delays its first order to an engine that ignores fences, but not to others", async () => {
  const clock = new VirtualClock(1_000);
  const world = new OrdersWorld(clock, 4);
  await clock.advanceAsync(3_000);
  world.changeLeader();
  await clock.advanceAsync(LEASE_MS - 10);
  world.published = 2;
  await clock.advanceAsync(20_000);
  for (const coordinator of world.coordinators) coordinator.stop();
  const leaderSinceMs = world.leaderSinceMs.get("control-2") ?? 0;
  const firstOrderDelays = new Map<boolean, number>();
  for (const { vm, order, atMs } of world.sentOrders) {
    if (vm !== "control-2") continue;
    const engine = world.engines.find((one) => one.id === order.upstream);
    const enforces = engine?.enforcesFences ?? true;
    const known = firstOrderDelays.get(enforces) ?? Number.MAX_SAFE_INTEGER;
    firstOrderDelays.set(enforces, Math.min(known, atMs - leaderSinceMs));
  }
  assert.ok((firstOrderDelays.get(true) ?? 0) < ORDER_LIMIT_MS);
  assert.ok((firstOrderDelays.get(false) ?? 0) >= ORDER_LIMIT_MS);
});

test("orders of an engine that is gone for ten minutes are removed, and those of other engines stay", async () => {
  const clock = new VirtualClock(1_000);
  const world = new OrdersWorld(clock, 2);
  world.published = 2;
  await clock.advanceAsync(20_000);
  world.departed.add("e1");
  await clock.advanceAsync(500_000);
  assert.equal(world.orders.query(null).unwrap().orders.length, 2);
  await clock.advanceAsync(200_000);
  for (const coordinator of world.coordinators) coordinator.stop();
  const { orders } = world.orders.query(null).unwrap();
  assert.deepEqual(orders.map((order) => order.upstream), ["e0"]);
});

test("a desired version whose fence an engine rejects is committed again under a newer fence", async () => {
  const clock = new VirtualClock(1_000);
  const world = new OrdersWorld(clock, 1);
  const [engine] = world.engines;
  assert.ok(engine);
  await clock.advanceAsync(1_000);
  engine.fence = world.logIndex + 2;
  world.published = 2;
  await clock.advanceAsync(20_000);
  for (const coordinator of world.coordinators) coordinator.stop();
  assert.equal(engine.version, 2);
  assert.equal(world.logIndex, 2);
});

test("a rollout without faults reports no failed load and sends each order once", async () => {
  const clock = new VirtualClock(1_000);
  const world = new OrdersWorld(clock, 8);
  for (const engine of world.engines) engine.loadMs = 3_000;
  world.published = 2;
  await clock.advanceAsync(40_000);
  for (const coordinator of world.coordinators) coordinator.stop();
  const failed = world.events.records().filter(({ event }) =>
    event.code === WEIGHTS_EVENTS.loadFailed.code
  );
  assert.deepEqual(failed, []);
  assert.equal(world.sentOrders.length, 8);
  for (const engine of world.engines) assert.equal(engine.version, 2);
});

test("state reads of many loading engines stay under their limit", async () => {
  const clock = new VirtualClock(1_000);
  const world = new OrdersWorld(clock, ENGINE_COUNT);
  for (const engine of world.engines) engine.loadMs = 20_000;
  world.published = 2;
  await clock.advanceAsync(DURATION_SECONDS * 1_000);
  for (const coordinator of world.coordinators) coordinator.stop();
  const roundSeconds = ENGINE_COUNT / 200;
  const whileLoading = 20 / roundSeconds + 2;
  const settled = 1 + DURATION_SECONDS / 15;
  assert.ok(world.stateReads <= ENGINE_COUNT * (whileLoading + settled));
  for (const engine of world.engines) assert.equal(engine.version, 2);
});
