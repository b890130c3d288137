/**
 * Fuzz model of orders and fences. An order tells an engine which version to serve; its fence lets the engine reject
 * older orders. Orders are resent, duplicated, delayed and reordered, replies are lost, leaders change while orders
 * are in flight, and engines with and without fences restart and fail to load. After the faults every engine must
 * serve the last published version.
 *
 * @module
 */
import assert from "node:assert/strict";
import { VirtualClock } from "#core";
import { ORDER_LIMIT_MS } from "#weights";
import fc from "fast-check";
import type { FuzzOptions } from "./fuzz.ts";
import { type OrderFault, OrdersWorld } from "./orders_world.ts";

const ENGINE_COUNT = 4;
const FAULT_PERIOD_MS = 12_000;
const MAXIMUM_DELAY_MS = 8_000;
/** Covers the longest backoff after failed loads and the longest interval between state reads of a settled engine. */
const SETTLE_MS = 90_000;

interface ScheduledEvent {
  readonly afterMs: number;
  readonly kind:
    | "publish"
    | "change_leader"
    | "restart"
    | "fail_swap"
    | "lose_reply";
  readonly engine: number;
}

interface Scenario {
  readonly scheduledEvents: readonly ScheduledEvent[];
  readonly orderFaults: readonly OrderFault[];
}

async function runScenario(scenario: Scenario): Promise<void> {
  const clock = new VirtualClock(1_000);
  const world = new OrdersWorld(clock, ENGINE_COUNT);
  world.orderFaults.push(...scenario.orderFaults);
  for (const event of scenario.scheduledEvents) {
    clock.after(event.afterMs, () => applyEvent(world, event));
  }
  await clock.advanceAsync(FAULT_PERIOD_MS + MAXIMUM_DELAY_MS * 2);
  world.orderFaults.length = 0;
  await clock.advanceAsync(SETTLE_MS);
  for (const coordinator of world.coordinators) coordinator.stop();
  checkOrders(world);
  for (const engine of world.engines) {
    assert.equal(engine.state, "serving", `${engine.id} is not serving`);
    assert.equal(
      engine.version,
      world.published,
      `${engine.id} serves an old version`,
    );
  }
}

function applyEvent(world: OrdersWorld, event: ScheduledEvent): void {
  const engine = world.engines[event.engine];
  if (event.kind === "publish") world.published += 1;
  if (event.kind === "change_leader") world.changeLeader();
  if (event.kind === "restart") engine?.restart();
  if (event.kind === "fail_swap" && engine !== undefined) {
    engine.loadsToFail += 1;
  }
  if (event.kind === "lose_reply") world.loseNextReply = true;
}

/**
 * Checks that versions never decrease as fences grow, that orders of two leaders never overlap in time, and that a new
 * leader waits before it orders an engine that ignores fences.
 */
function checkOrders(world: OrdersWorld): void {
  const newest = new Map<string, { fence: number; version: number }>();
  for (const { order } of world.sentOrders) {
    const known = newest.get(order.upstream);
    if (known !== undefined && order.fence > known.fence) {
      assert.ok(
        order.version >= known.version,
        "a newer fence has an older version",
      );
    }
    if (known === undefined || order.fence > known.fence) {
      newest.set(order.upstream, order);
    }
  }
  for (const [at, later] of world.sentOrders.entries()) {
    for (const earlier of world.sentOrders.slice(0, at)) {
      if (earlier.vm === later.vm) continue;
      const endMs = earlier.atMs + earlier.limitMs;
      assert.ok(endMs <= later.atMs, "orders of two leaders overlap in time");
      const engine = world.engines.find((candidate) =>
        candidate.id === later.order.upstream
      );
      const sameEngine = earlier.order.upstream === later.order.upstream;
      if (!sameEngine || engine?.enforcesFences !== false) continue;
      assert.ok(
        later.atMs >= earlier.atMs + ORDER_LIMIT_MS,
        "the new leader did not wait for an engine that ignores fences",
      );
    }
  }
}

/** Runs the fuzz model; on a failed check throws an error with the seed and the shrunk scenario. */
export async function fuzz(options: FuzzOptions): Promise<void> {
  const plain = { noNullPrototype: true };
  const event = fc.record({
    afterMs: fc.nat(FAULT_PERIOD_MS),
    kind: fc.constantFrom(
      "publish" as const,
      "publish" as const,
      "change_leader" as const,
      "restart" as const,
      "fail_swap" as const,
      "lose_reply" as const,
    ),
    engine: fc.nat(ENGINE_COUNT - 1),
  }, plain);
  const orderFault = fc.record({
    lost: fc.boolean(),
    replyLost: fc.boolean(),
    duplicated: fc.boolean(),
    delayMs: fc.oneof(fc.nat(20), fc.nat(MAXIMUM_DELAY_MS)),
  }, plain);
  const scenario = fc.record({
    scheduledEvents: fc.array(event, { maxLength: 14 }),
    orderFaults: fc.array(orderFault, { maxLength: 24 }),
  }, plain);
  await fc.assert(
    fc.asyncProperty(scenario, runScenario),
    { seed: options.seed, numRuns: options.runs, includeErrorInReport: true },
  );
}
