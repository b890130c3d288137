import assert from "node:assert/strict";
import { test } from "node:test";
import {
  Err,
  fail,
  type Failure,
  MemoryEventLog,
  Ok,
  type Result,
  SeededRandom,
  VirtualClock,
} from "#core";
import { MemoryNetwork } from "#wire";
import { MEMBERSHIP_EVENTS } from "./events.ts";
import { LeaderClient } from "./leader_client.ts";

const VMS = ["a", "b", "c"];
const TIMEOUTS = { attemptMs: 500, totalMs: 2_000 };

interface Fixture {
  readonly clock: VirtualClock;
  readonly client: LeaderClient;
  readonly askedVms: string[];
  readonly events: MemoryEventLog;
}

function createFixture(
  resultOf: (vm: string) => Result<unknown, Failure> | undefined,
  probe?: unknown,
): Fixture {
  const clock = new VirtualClock();
  const network = new MemoryNetwork({ clock, random: new SeededRandom(2) });
  const askedVms: string[] = [];
  const events = new MemoryEventLog();
  for (const vm of VMS) {
    network.join(vm).onRequest("batches", (_from, body) => {
      askedVms.push(body === probe ? `${vm}?` : vm);
      const result = resultOf(vm);
      return result === undefined
        ? new Promise(() => {})
        : Promise.resolve(result);
    });
  }
  const client = new LeaderClient({
    network: network.join("caller"),
    clock,
    events,
    channel: "batches",
    candidates: () => VMS,
    ...(probe === undefined ? {} : { probe }),
  });
  return { clock, client, askedVms, events };
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

test("a VM that does not reply holds up no request while another one leads, also not the next one", async () => {
  const fixture = createFixture((vm) => vm === "a" ? undefined : Ok(vm));
  const timeouts = { ...TIMEOUTS, silenceMs: 200 };
  const results: Result<unknown, Failure>[] = [];
  fixture.client.send({}, timeouts).then((result) => results.push(result));
  await fixture.clock.advanceAsync(250);
  assert.equal(results[0]?.unwrap(), "b");
  fixture.client.send({}, timeouts).then((result) => results.push(result));
  await fixture.clock.advanceAsync(50);
  assert.equal(results[1]?.unwrap(), "b");
  assert.deepEqual(fixture.askedVms, ["a", "b", "b"]);
});

test("a silent leader that the other VMs still name is not asked again, and its successor is once it is named", async () => {
  let leader = "a";
  const fixture = createFixture((vm) => {
    if (vm === "a") return undefined;
    if (vm === leader) return Ok(vm);
    return Err(fail("not_leader", "", { detail: leader }));
  });
  const results: Result<unknown, Failure>[] = [];
  const timeouts = { attemptMs: 1_900, totalMs: 2_000, silenceMs: 200 };
  fixture.client.send({}, timeouts).then((result) => results.push(result));
  await fixture.clock.advanceAsync(600);
  assert.equal(results.length, 0);
  leader = "c";
  await fixture.clock.advanceAsync(300);
  assert.equal(results[0]?.unwrap(), "c");
  const line = fixture.events.records().find(({ event }) =>
    event === MEMBERSHIP_EVENTS.leaderRequestDelayed
  );
  const attempts = line?.fields["attempts"] as { readonly outcome: string }[];
  assert.deepEqual(
    [...new Set(attempts.map(({ outcome }) => outcome))],
    ["not_leader", "ok"],
  );
  assert.equal(fixture.askedVms.filter((vm) => vm === "a").length, 1);
});

test("a rejection does not promise that nothing ran while a silent VM may have executed the request", async () => {
  const fixture = createFixture((vm) =>
    vm === "a" ? undefined : Err(fail("overloaded", "full"))
  );
  const results: Result<unknown, Failure>[] = [];
  const timeouts = { ...TIMEOUTS, silenceMs: 200 };
  fixture.client.send({}, timeouts).then((result) => results.push(result));
  await fixture.clock.advanceAsync(250);
  const [result] = results;
  assert.ok(result?.err);
  assert.equal(result.val.kind, "outcome_unknown");
  assert.equal(result.val.ran, "unknown");
});

test("while no VM leads none is sent the request itself, and the leader gets it once", async () => {
  let leads = false;
  const fixture = createFixture(
    (vm) =>
      leads && vm === "b" ? Ok(vm) : Err(fail("not_leader", "none leads")),
    "probe",
  );
  const results: Result<unknown, Failure>[] = [];
  const send = (): void => {
    fixture.client.send({}, TIMEOUTS).then((result) => results.push(result));
  };
  send();
  await fixture.clock.advanceAsync(500);
  assert.deepEqual(fixture.askedVms.filter((vm) => !vm.endsWith("?")), []);
  leads = true;
  await fixture.clock.advanceAsync(500);
  send();
  await fixture.clock.advanceAsync(50);
  assert.equal(results.length, 2);
  const requests = fixture.askedVms.filter((vm) => !vm.endsWith("?"));
  assert.deepEqual(requests, ["b", "b"]);
});
