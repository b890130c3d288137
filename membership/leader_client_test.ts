import assert from "node:assert/strict";
import { test } from "node:test";
import {
  Err,
  fail,
  type Failure,
  Ok,
  type Result,
  SeededRandom,
  VirtualClock,
} from "#core";
import { MemoryNetwork } from "#wire";
import { LeaderClient } from "./leader_client.ts";

const VMS = ["a", "b", "c"];
const TIMEOUTS = { attemptMs: 500, totalMs: 2_000 };

interface Fixture {
  readonly clock: VirtualClock;
  readonly client: LeaderClient;
  readonly askedVms: string[];
}

function createFixture(
  resultOf: (vm: string) => Result<unknown, Failure> | undefined,
): Fixture {
  const clock = new VirtualClock();
  const network = new MemoryNetwork({ clock, random: new SeededRandom(2) });
  const askedVms: string[] = [];
  for (const vm of VMS) {
    network.join(vm).onRequest("batches", () => {
      askedVms.push(vm);
      const result = resultOf(vm);
      return result === undefined
        ? new Promise(() => {})
        : Promise.resolve(result);
    });
  }
  const client = new LeaderClient({
    network: network.join("caller"),
    clock,
    channel: "batches",
    candidates: () => VMS,
  });
  return { clock, client, askedVms };
}

async function sendAndSettle(
  fixture: Fixture,
): Promise<Result<unknown, Failure>> {
  let settled: Result<unknown, Failure> | undefined;
  fixture.client.send({}, TIMEOUTS).then((result) => settled = result);
  await fixture.clock.advanceAsync(3_000);
  if (settled === undefined) {
    throw new Error("the request did not settle in time");
  }
  return settled;
}

test("the leader named by another VM receives the request next, and later requests directly", async () => {
  const fixture = createFixture((vm) =>
    vm === "c"
      ? Ok("done")
      : Err(fail("not_leader", "c leads", { detail: "c" }))
  );
  assert.equal((await sendAndSettle(fixture)).unwrap(), "done");
  assert.deepEqual(fixture.askedVms, ["a", "c"]);
  await sendAndSettle(fixture);
  assert.deepEqual(fixture.askedVms, ["a", "c", "c"]);
});

test("a request that waits for a VM that no longer leads is sent to its successor once that is known", async () => {
  const fixture = createFixture((vm) => vm === "a" ? undefined : Ok(vm));
  const results: Result<unknown, Failure>[] = [];
  fixture.client.send({}, TIMEOUTS).then((result) => results.push(result));
  await fixture.clock.advanceAsync(100);
  assert.equal(results.length, 0);
  fixture.client.preferLeader("c");
  await fixture.clock.advanceAsync(50);
  assert.equal(results[0]?.unwrap(), "c");
  assert.deepEqual(fixture.askedVms, ["a", "c"]);
});

test("a rejection by the leader is returned at once without trying another VM", async () => {
  const fixture = createFixture(() => Err(fail("conflict", "another content")));
  const result = await sendAndSettle(fixture);
  assert.ok(result.err);
  assert.equal(result.val.kind, "conflict");
  assert.deepEqual(fixture.askedVms, ["a"]);
});

test("without a leader the request fails with no_quorum as not run", async () => {
  const fixture = createFixture(() =>
    Err(fail("not_leader", "no leader is known"))
  );
  const result = await sendAndSettle(fixture);
  assert.ok(result.err);
  assert.equal(result.val.kind, "no_quorum");
  assert.equal(result.val.ran, "no");
  assert.ok((result.val.retryAfterMs ?? 0) > 0);
  assert.deepEqual([...new Set(fixture.askedVms)], VMS);
});

test("when a VM receives the request and does not reply, the outcome is unknown", async () => {
  const fixture = createFixture((vm) =>
    vm === "a" ? undefined : Err(fail("not_leader", "no leader is known"))
  );
  const result = await sendAndSettle(fixture);
  assert.ok(result.err);
  assert.equal(result.val.kind, "outcome_unknown");
  assert.equal(result.val.ran, "unknown");
});
