import assert from "node:assert/strict";
import { test } from "node:test";
import { isFailure } from "#core";
import {
  FakeCompletions,
  makeSite,
  makeStep,
  pageOf,
} from "./entry_test_support.ts";

test("a step sent to one entry is made by all and handed over whole by any", async () => {
  let completions: FakeCompletions | undefined;
  const site = makeSite({
    entries: 3,
    completions: (clock) => completions = new FakeCompletions(clock),
  });
  for (const entry of site.entries) entry.start();
  const put = await site.call(
    0,
    "PUT /v1/trainers/tuner/steps/1",
    makeStep(40),
  );
  assert.ok(!isFailure(put));
  await site.clock.advanceAsync(5_000);
  const page = pageOf(
    await site.call(2, "GET /v1/trainers/tuner/samples?limit=4096"),
  );
  const slots = page.samples.map((sample) => `${sample.group}/${sample.index}`);
  assert.equal(new Set(slots).size, 80);
  assert.equal(slots.length, 80);
  assert.equal(completions?.calls, 80);
  assert.equal(page.cursor, "tuner~80");
  assert.equal(page.samples[0]?.score, page.samples[0]?.text.length);
});

test("a cursor asked for again gives the same bytes, also after the next one", async () => {
  const site = makeSite();
  site.entries[0]?.start();
  await site.call(0, "PUT /v1/trainers/tuner/steps/1", makeStep(6));
  await site.clock.advanceAsync(3_000);
  const first = await site.call(0, "GET /v1/trainers/tuner/samples?limit=4");
  const second = await site.call(
    0,
    "GET /v1/trainers/tuner/samples?limit=4&after=tuner~4",
  );
  const again = await site.call(0, "GET /v1/trainers/tuner/samples?limit=9");
  assert.deepEqual(again, first);
  const secondAgain = await site.call(
    0,
    "GET /v1/trainers/tuner/samples?limit=1&after=tuner~4",
  );
  assert.deepEqual(secondAgain, second);
});

test("a long poll waits for the first samples, and ends empty at its limit", async () => {
  const site = makeSite();
  site.entries[0]?.start();
  const early = site.call(
    0,
    "GET /v1/trainers/tuner/samples?wait_ms=300",
  );
  await site.clock.advanceAsync(500);
  assert.deepEqual(pageOf(await early), { cursor: "tuner~0", samples: [] });
  const late = site.call(0, "GET /v1/trainers/tuner/samples?wait_ms=9000");
  await site.call(0, "PUT /v1/trainers/tuner/steps/1", makeStep(1));
  await site.clock.advanceAsync(3_000);
  assert.equal(pageOf(await late).samples.length, 2);
});

test("samples without versions are made again, and scores are asked for again", async () => {
  let calls = 0;
  const site = makeSite({
    completions: (clock) => {
      const completions = new FakeCompletions(clock);
      completions.untold = 3;
      completions.onCall = () => calls += 1;
      return completions;
    },
  });
  site.scorer.failures = 2;
  site.entries[0]?.start();
  await site.call(0, "PUT /v1/trainers/tuner/steps/1", makeStep(2));
  await site.clock.advanceAsync(5_000);
  const page = pageOf(await site.call(0, "GET /v1/trainers/tuner/samples"));
  assert.equal(page.samples.length, 4);
  assert.equal(calls, 7);
});

test("a drained entry ends its groups, gives the rest back and lets long polls go", async () => {
  const site = makeSite({ entries: 2 });
  site.entries[0]?.start();
  await site.call(0, "PUT /v1/trainers/tuner/steps/1", makeStep(40));
  await site.clock.advanceAsync(250);
  const poll = site.call(
    0,
    "GET /v1/trainers/tuner/samples?wait_ms=60000&after=tuner~0",
  );
  const drained = site.entries[0]?.drain();
  await site.clock.advanceAsync(1_000);
  await drained;
  assert.ok(!isFailure(await poll));
  assert.equal(site.entries[0]?.status().groupsInWork, 0);
  site.entries[1]?.start();
  await site.clock.advanceAsync(5_000);
  const step = site.ledger.ask({ kind: "step", trainer: "tuner", step: 1 });
  assert.ok(step.ok && step.val.kind === "step");
  assert.equal(step.val.progress.open + step.val.progress.leased, 0);
});
