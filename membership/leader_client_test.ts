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
const PATIENCE = { attemptMs: 500, totalMs: 2_000 };

interface World {
  readonly clock: VirtualClock;
  readonly requests: LeaderClient;
  readonly asked: string[];
}

function world(
  answer: (vm: string) => Result<unknown, Failure> | undefined,
): World {
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

async function outcome(
  played: World,
): Promise<Result<unknown, Failure>> {
  let settled: Result<unknown, Failure> | undefined;
  played.requests.send({}, PATIENCE).then((result) => settled = result);
  await played.clock.advanceAsync(3_000);
  if (settled === undefined) throw new Error("no outcome in time");
  return settled;
}

test("the leader that another VM names is asked next, and kept to", async () => {
  const played = world((vm) =>
    vm === "c"
      ? Ok("done")
      : Err(fail("not_leader", "c leads", { detail: "c" }))
  );
  assert.equal((await outcome(played)).unwrap(), "done");
  assert.deepEqual(played.asked, ["a", "c"]);
  await outcome(played);
  assert.deepEqual(played.asked, ["a", "c", "c"]);
});

test("a refusal that is the leader's own is given back at once", async () => {
  const played = world(() => Err(fail("conflict", "another content")));
  const result = await outcome(played);
  assert.ok(result.err);
  assert.equal(result.val.kind, "conflict");
  assert.deepEqual(played.asked, ["a"]);
});

test("without a leader the request surely was not carried out", async () => {
  const played = world(() => Err(fail("not_leader", "no leader is known")));
  const result = await outcome(played);
  assert.ok(result.err);
  assert.equal(result.val.kind, "no_quorum");
  assert.equal(result.val.ran, "no");
  assert.ok((result.val.retryAfterMs ?? 0) > 0);
  assert.deepEqual([...new Set(played.asked)], VMS);
});

test("when a VM took the request and said nothing, the outcome is unknown", async () => {
  const played = world((vm) =>
    vm === "a" ? undefined : Err(fail("not_leader", "no leader is known"))
  );
  const result = await outcome(played);
  assert.ok(result.err);
  assert.equal(result.val.kind, "outcome_unknown");
  assert.equal(result.val.ran, "unknown");
});
