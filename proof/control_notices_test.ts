import assert from "node:assert/strict";
import { test } from "node:test";
import type { Milliseconds } from "#core";
import type { CrashRecord, LimitObservation } from "#membership";
import { ControlWorld } from "./control_world.ts";

const SITE = { vms: 10, zones: 4, losses: 2 };
const HEARD_MS: Milliseconds = 3_000;
const STEP_MS: Milliseconds = 2;
/** Messages that one piece of news may cost, with several paths between each two VMs. */
const MAXIMUM_MESSAGES = 1_000;
const CALL = { digest: "d", bodyBytes: 4 };
const ENGINE = {
  id: "u1",
  bornMs: 1,
  sequence: 1,
  service: "s",
  zone: "z0",
  address: { host: "10.1.0.1", port: 1 },
  slots: 8,
  phase: "ready",
  serves: [],
} as const;

/** Returns how many more messages than usual the control VMs send after they hear something. */
async function messagesFor(
  seed: number,
  hear: (world: ControlWorld) => Promise<void>,
): Promise<number> {
  const world = new ControlWorld({ ...SITE, seed });
  await world.start();
  world.vms[0]?.process?.replica.fleet.recordHeartbeat(ENGINE);
  await world.run(1_000);
  const startMessages = world.network.sentMessages;
  await world.run(HEARD_MS);
  const usual = world.network.sentMessages - startMessages;
  await hear(world);
  const heardMessages = world.network.sentMessages;
  let messages = 0;
  // Messages without end would take the test without end.
  for (
    let ms = 0;
    ms < HEARD_MS && messages <= MAXIMUM_MESSAGES;
    ms += STEP_MS
  ) {
    await world.run(STEP_MS);
    messages = world.network.sentMessages - heardMessages - usual;
  }
  return messages;
}

function recordCrash(
  world: ControlWorld,
  at: number,
  record: Partial<CrashRecord>,
): void {
  const empty = { ...CALL, crashes: [], answeredAgeMs: null };
  const fleet = world.vms[at]?.process?.replica.fleet;
  fleet?.recordCrashes([{ ...empty, ...record }]);
}

function recordLimit(
  world: ControlWorld,
  at: number,
  perSecond: LimitObservation["perSecond"],
): void {
  const { id, bornMs } = ENGINE;
  const fleet = world.vms[at]?.process?.replica.fleet;
  fleet?.recordLimits([{ id, bornMs, perSecond, ageMs: 0 }]);
}

test("a crash and a response to the same call some milliseconds apart do not go round for ever", async () => {
  for (const seed of [1, 2, 3]) {
    for (const apartMs of [0, 0.5, 1, 2, 4]) {
      const messages = await messagesFor(seed, async (world) => {
        const crashes = [{ incarnation: "u1:1", ageMs: 0 }];
        recordCrash(world, 0, { crashes });
        await world.run(apartMs);
        recordCrash(world, 5, { answeredAgeMs: 0 });
      });
      const where = `seed ${seed}, ${apartMs} ms apart`;
      assert.ok(messages <= MAXIMUM_MESSAGES, `${where}: ${messages} messages`);
    }
  }
});

test("two limits that an upstream names some milliseconds apart do not go round for ever", async () => {
  for (const seed of [1, 2, 3]) {
    for (const apartMs of [0, 0.5, 1, 2, 4]) {
      const messages = await messagesFor(seed, async (world) => {
        recordLimit(world, 0, 5);
        await world.run(apartMs);
        recordLimit(world, 5, null);
      });
      const where = `seed ${seed}, ${apartMs} ms apart`;
      assert.ok(messages <= MAXIMUM_MESSAGES, `${where}: ${messages} messages`);
    }
  }
});
