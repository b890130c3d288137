/**
 * Fuzz of orders and fences: orders resent, doubled, late and reordered, answers lost, leaders that
 * change and are thawed in the middle, engines of both kinds that restart and fail. In the end every
 * engine serves the last published version.
 *
 * @module
 */
import assert from "node:assert/strict";
import { VirtualClock } from "#core";
import { ORDER_LIMIT_MS } from "#weights";
import fc from "fast-check";
import type { FuzzOptions } from "./fuzz.ts";
import { type OrderFate, OrdersWorld } from "./orders_world.ts";

const ENGINES = 4;
const FAULTS_MS = 12_000;
const LATEST_MS = 8_000;
/** Long enough for the longest rest after failures and the slowest reading of a settled engine. */
const QUIET_MS = 90_000;

interface Moment {
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
  readonly moments: readonly Moment[];
  readonly fates: readonly OrderFate[];
}

async function runScenario(scenario: Scenario): Promise<void> {
  const clock = new VirtualClock(1_000);
  const world = new OrdersWorld(clock, ENGINES);
  world.fates.push(...scenario.fates);
  for (const moment of scenario.moments) {
    clock.after(moment.afterMs, () => play(world, moment));
  }
  await clock.advanceAsync(FAULTS_MS + LATEST_MS * 2);
  world.fates.length = 0;
  await clock.advanceAsync(QUIET_MS);
  for (const coordinator of world.coordinators) coordinator.stop();
  checkOrders(world);
  for (const engine of world.engines) {
    assert.equal(engine.state, "serving", `${engine.id} does not serve`);
    assert.equal(engine.version, world.published, `${engine.id} is behind`);
  }
}

function play(world: OrdersWorld, moment: Moment): void {
  const engine = world.engines[moment.engine];
  if (moment.kind === "publish") world.published += 1;
  if (moment.kind === "change_leader") world.changeLeader();
  if (moment.kind === "restart") engine?.restart();
  if (moment.kind === "fail_swap" && engine !== undefined) {
    engine.failNext += 1;
  }
  if (moment.kind === "lose_reply") world.loseNextReply = true;
}

/** Fences grow with versions, and orders end with the lease under which they were given. */
function checkOrders(world: OrdersWorld): void {
  const newest = new Map<string, { fence: number; version: number }>();
  for (const { order } of world.given) {
    const known = newest.get(order.upstream);
    if (known !== undefined && order.fence > known.fence) {
      assert.ok(order.version >= known.version, "a newer fence went back");
    }
    if (known === undefined || order.fence > known.fence) {
      newest.set(order.upstream, order);
    }
  }
  for (const [at, later] of world.given.entries()) {
    for (const earlier of world.given.slice(0, at)) {
      if (earlier.vm === later.vm) continue;
      const endMs = earlier.atMs + earlier.limitMs;
      assert.ok(endMs <= later.atMs, "orders of two leaders overlap");
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

/** Runs the fuzz; throws with the seed and the shrunk scenario. */
export async function fuzz(options: FuzzOptions): Promise<void> {
  const plain = { noNullPrototype: true };
  const moment = fc.record({
    afterMs: fc.nat(FAULTS_MS),
    kind: fc.constantFrom(
      "publish" as const,
      "publish" as const,
      "change_leader" as const,
      "restart" as const,
      "fail_swap" as const,
      "lose_reply" as const,
    ),
    engine: fc.nat(ENGINES - 1),
  }, plain);
  const fate = fc.record({
    lost: fc.boolean(),
    answerLost: fc.boolean(),
    doubled: fc.boolean(),
    lateMs: fc.oneof(fc.nat(20), fc.nat(LATEST_MS)),
  }, plain);
  const scenario = fc.record({
    moments: fc.array(moment, { maxLength: 14 }),
    fates: fc.array(fate, { maxLength: 24 }),
  }, plain);
  await fc.assert(
    fc.asyncProperty(scenario, runScenario),
    { seed: options.seed, numRuns: options.runs, includeErrorInReport: true },
  );
}
