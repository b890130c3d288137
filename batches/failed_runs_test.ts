import assert from "node:assert/strict";
import { test } from "node:test";
import type { ResponseMetadata } from "#requests";
import { numberedItems, testBatch, testItem } from "./batch_test_support.ts";
import type { BatchResult } from "./batch_types.ts";
import { ErrorShare } from "./error_share.ts";
import { BATCHES_EVENTS } from "./events.ts";
import { rejectHead } from "./item_response.ts";
import { FailedRuns } from "./failed_runs.ts";
import { RunnerWorld, sleep, type StubEngine } from "./runner_world.ts";

const EVENTS = 8;
const LIMIT_MS = 5_000;

function outcomeOf(
  status: number,
  metadata: Partial<ResponseMetadata> = {},
): string {
  const rejected = rejectHead(status, {
    requestId: "x",
    notRun: false,
    stamp: "s",
    leaving: false,
    requestLimit: null,
    version: 1,
    ...metadata,
  }, { requestId: "x", allowsVersion: (version) => version === 1 });
  return rejected?.outcome.kind ?? "text";
}

// Guards against items that are given up after responses that say nothing of them, as 503 or 502.
test("of the responses to an item, 500 alone counts as a failed attempt and 422 alone ends it", () => {
  for (let status = 200; status < 600; status += 1) {
    const expected = new Map([[200, "text"], [422, "impossible"], [
      500,
      "failed",
    ]]);
    assert.equal(outcomeOf(status), expected.get(status) ?? "error");
    assert.equal(outcomeOf(status, { notRun: true }), "refused");
    assert.equal(outcomeOf(status, { requestId: "y" }), "broken");
  }
  assert.equal(outcomeOf(200, { stamp: null }), "broken");
  assert.equal(outcomeOf(200, { version: null }), "broken");
  assert.equal(outcomeOf(200, { version: 2 }), "wrong_version");
});

test("an item pauses longer after each failed run in a row, and at an engine that failed it", () => {
  const failedRuns = new FailedRuns();
  failedRuns.record("a", 0);
  assert.equal(failedRuns.mayStart("a", 399), false);
  assert.equal(failedRuns.mayStart("a", 400), true);
  assert.equal(failedRuns.mayStart("b", 0), true);
  failedRuns.record("b", 10);
  assert.equal(failedRuns.mayStart("c", 59), false);
  assert.equal(failedRuns.mayStart("c", 60), true);
  for (let nowMs = 0; nowMs < 20_000; nowMs += 1_000) {
    failedRuns.record("a", nowMs);
    assert.equal(failedRuns.mayStart("c", nowMs + 1_000), true);
  }
  failedRuns.recordProgress();
  failedRuns.record("d", 30_000);
  assert.equal(failedRuns.mayStart("e", 30_000), true);
  assert.equal(failedRuns.countAt("a"), 21);
});

test("the error share of an engine falls with its sound runs and with time", () => {
  const errors = new ErrorShare();
  for (let at = 0; at < 8; at += 1) errors.record(true, 0);
  assert.equal(errors.at(0), 0.8);
  for (let at = 0; at < 10; at += 1) errors.record(false, 0);
  assert.equal(errors.at(0), 0.4);
  assert.ok(errors.at(30_000) < 0.06);
});

/** Runs items on engines of which the first answers each of them with a status. */
async function play(
  options: {
    readonly engines: number;
    readonly failing: number;
    readonly status: number;
    readonly items: number;
    readonly limitMs?: number;
  },
  check: (outcome: {
    readonly engines: readonly StubEngine[];
    readonly results: ReadonlyMap<string, BatchResult>;
    readonly world: RunnerWorld;
  }) => void,
): Promise<void> {
  const world = new RunnerWorld();
  const engines: StubEngine[] = [];
  for (let at = 0; at < options.engines; at += 1) {
    const engine = await world.addEngine(`e${at}`, {
      version: 1,
      events: EVENTS,
    });
    if (at < options.failing) engine.statusOf = () => options.status;
    engines.push(engine);
  }
  const batch = testBatch("b", numberedItems("b", options.items));
  try {
    world.submit(batch);
    const results = await world.results(batch, options.limitMs ?? LIMIT_MS);
    check({ engines, results, world });
  } finally {
    await world.stop();
  }
}

// Guards against items that are given up after responses of one sick engine while sound ones are idle.
for (const status of [500, 502, 503, 504, 404, 600]) {
  test(`items that one engine answers with ${status} are completed at others`, async () => {
    const load = { engines: 3, failing: 1, status, items: 20 };
    await play(load, ({ results, engines: [sick], world }) => {
      const outcomes = [...results.values()].map(({ outcome }) => outcome);
      assert.deepEqual(outcomes, Array(20).fill("completed"));
      const received = sick?.received ?? [];
      assert.equal(new Set(received).size, received.length, "sent there twice");
      const reports = world.events.records().filter(({ event }) =>
        event.code === BATCHES_EVENTS.engineFails.code
      );
      assert.equal(reports.length, received.length === 0 ? 0 : 1);
    });
  });
}

test("an item that fails at each engine with 500 is given up after its last attempt", async () => {
  const load = { engines: 2, failing: 2, status: 500, items: 1 };
  await play(load, ({ results, engines }) => {
    assert.equal(results.get("b-0")?.outcome, "given_up");
    const runs = engines.flatMap(({ received }) => received);
    assert.equal(runs.length, 3);
  });
});

// Guards against an item that is sent on and on without a pause since its failures don't count.
test("an item that no engine serves with 503 is not given up, and is sent again after pauses", async () => {
  const load = {
    engines: 2,
    failing: 2,
    status: 503,
    items: 1,
    limitMs: 2_000,
  };
  await play(load, ({ results, engines }) => {
    assert.equal(results.size, 0);
    const runs = engines.flatMap(({ received }) => received);
    assert.ok(runs.length >= 3 && runs.length <= 9, `${runs.length} runs`);
  });
});

test("the only engine gets an item again that it answered with 503", async () => {
  const world = new RunnerWorld();
  const engine = await world.addEngine("e", { version: 1, events: EVENTS });
  engine.statusOf = () => 503;
  const batch = testBatch("b", [testItem("x")]);
  try {
    world.submit(batch);
    await sleep(600);
    engine.statusOf = () => null;
    const results = await world.results(batch, LIMIT_MS);
    assert.equal(results.get("x")?.outcome, "completed");
  } finally {
    await world.stop();
  }
});
