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
  readonly requests: LeaderClient;
  readonly asked: string[];
}

function createFixture(
  answer: (vm: string) => Result<unknown, Failure> | undefined,
): Fixture {
  const clock = new VirtualClock();
  const network = new MemoryNetwork({ clock, random: new SeededRandom(2) });
  const asked: string[] = [];
  for (const vm of VMS) {
    network.join(vm).onRequest("batches", () => {
      asked.push(vm);
      const result = answer(vm);
      return result === undefined
        ? new Promise(() => {})
        : Promise.resolve(result);
    });
  }
  const requests = new LeaderClient({
    network: network.join("caller"),
    clock,
    channel: "batches",
    candidates: () => VMS,
  });
  return { clock, requests, asked };
}

async function sendAndSettle(
  fixture: Fixture,
): Promise<Result<unknown, Failure>> {
  let settled: Result<unknown, Failure> | undefined;
  fixture.requests.send({}, TIMEOUTS).then((result) => settled = result);
  await fixture.clock.advanceAsync(3_000);
  if (settled === undefined) throw new Error("no outcome in time");
  return settled;
}

test("the leader that another VM names is asked next, and kept to", async () => {
  const fixture = createFixture((vm) =>
    vm === "c"
      ? Ok("done")
      : Err(fail("not_leader", "c leads", { detail: "c" }))
  );
  assert.equal((await sendAndSettle(fixture)).unwrap(), "done");
  assert.deepEqual(fixture.asked, ["a", "c"]);
  await sendAndSettle(fixture);
  assert.deepEqual(fixture.asked, ["a", "c", "c"]);
});

test("a refusal that is the leader's own is given back at once", async () => {
  const fixture = createFixture(() => Err(fail("conflict", "another content")));
  const result = await sendAndSettle(fixture);
  assert.ok(result.err);
  assert.equal(result.val.kind, "conflict");
  assert.deepEqual(fixture.asked, ["a"]);
});

test("without a leader the request surely was not carried out", async () => {
  const fixture = createFixture(() =>
    Err(fail("not_leader", "no leader is known"))
  );
  const result = await sendAndSettle(fixture);
  assert.ok(result.err);
  assert.equal(result.val.kind, "no_quorum");
  assert.equal(result.val.ran, "no");
  assert.ok((result.val.retryAfterMs ?? 0) > 0);
  assert.deepEqual([...new Set(fixture.asked)], VMS);
});

test("when a VM took the request and said nothing, the outcome is unknown", async () => {
  const fixture = createFixture((vm) =>
    vm === "a" ? undefined : Err(fail("not_leader", "no leader is known"))
  );
  const result = await sendAndSettle(fixture);
  assert.ok(result.err);
  assert.equal(result.val.kind, "outcome_unknown");
  assert.equal(result.val.ran, "unknown");
});
