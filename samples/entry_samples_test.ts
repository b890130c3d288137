import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type CompletionAnswer,
  type CompletionCall,
  type CompletionOptions,
  Err,
  fail,
  type Failure,
  isFailure,
  Ok,
  type PartialAnswer,
  type Result,
} from "#core";
import {
  FakeCompletions,
  makeSite,
  makeStep,
  parsePage,
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
  const page = parsePage(
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
  assert.deepEqual(parsePage(await early), { cursor: "tuner~0", samples: [] });
  const late = site.call(0, "GET /v1/trainers/tuner/samples?wait_ms=9000");
  await site.call(0, "PUT /v1/trainers/tuner/steps/1", makeStep(1));
  await site.clock.advanceAsync(3_000);
  assert.equal(parsePage(await late).samples.length, 2);
});

test("samples without versions are made again, and scores are asked for again", async () => {
  let calls = 0;
  const site = makeSite({
    completions: (clock) => {
      const completions = new FakeCompletions(clock);
      completions.unversionedAnswers = 3;
      completions.onCall = () => calls += 1;
      return completions;
    },
  });
  site.scorer.failures = 2;
  site.entries[0]?.start();
  await site.call(0, "PUT /v1/trainers/tuner/steps/1", makeStep(2));
  await site.clock.advanceAsync(5_000);
  const page = parsePage(await site.call(0, "GET /v1/trainers/tuner/samples"));
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

class StuckEngine extends FakeCompletions {
  readonly avoided: (readonly string[])[] = [];
  cancelled = 0;

  override async complete(
    call: CompletionCall,
    options: CompletionOptions = {},
  ): Promise<Result<CompletionAnswer, Failure>> {
    if (call.avoid.length > 0) this.avoided.push(call.avoid);
    const first = this.calls === 0;
    if (!first) return await super.complete(call, options);
    this.calls += 1;
    options.onChunk?.({ text: "a", tokens: 1, version: 3, upstream: "e1" });
    return await new Promise((resolve) => {
      options.signal?.addEventListener("abort", () => {
        this.cancelled += 1;
        resolve(Err(fail("cancelled", "ended")));
      });
    });
  }
}

test("a sample on a stuck engine is run on another one, and the first run is cancelled", async () => {
  let completions: StuckEngine | undefined;
  const site = makeSite({
    completions: (clock) => completions = new StuckEngine(clock),
  });
  site.entries[0]?.start();
  await site.call(0, "PUT /v1/trainers/tuner/steps/1", makeStep(8));
  await site.clock.advanceAsync(4_000);
  const page = parsePage(await site.call(0, "GET /v1/trainers/tuner/samples"));
  assert.equal(page.samples.length, 16);
  assert.deepEqual(completions?.avoided, [["e1"]]);
  assert.equal(completions?.cancelled, 1);
});

/** The first run gives one token and stops; a run that goes on from them gives the rest. */
class StuckThenResumedEngine extends StuckEngine {
  readonly resumed: (PartialAnswer | undefined)[] = [];

  override async complete(
    call: CompletionCall,
    options: CompletionOptions = {},
  ): Promise<Result<CompletionAnswer, Failure>> {
    if (call.avoid.length === 0) return await super.complete(call, options);
    this.resumed.push(options.resume);
    const before = options.resume ?? { text: "", tokens: 0, runs: [] };
    return Ok({
      text: `${before.text}bcd`,
      tokens: before.tokens + 3,
      runs: [...before.runs, { version: 4, tokens: 3 }],
      upstream: "e2",
      finishReason: "stop",
    });
  }
}

test("another run of a sample goes on from the tokens that the slow one made, and names both versions", async () => {
  let completions: StuckThenResumedEngine | undefined;
  const site = makeSite({
    completions: (clock) => completions = new StuckThenResumedEngine(clock),
  });
  site.entries[0]?.start();
  await site.call(0, "PUT /v1/trainers/tuner/steps/1", makeStep(8));
  await site.clock.advanceAsync(4_000);
  const page = parsePage(await site.call(0, "GET /v1/trainers/tuner/samples"));
  assert.deepEqual(completions?.resumed, [
    { text: "a", tokens: 1, runs: [{ version: 3, tokens: 1 }] },
  ]);
  const resumed = page.samples.find((sample) => sample.text === "abcd");
  assert.deepEqual(resumed?.versions, [
    { version: 3, tokens: 1 },
    { version: 4, tokens: 3 },
  ]);
  assert.equal(site.entries[0]?.status().wastedPart, 0);
});

test("a run that a new version makes too old is ended at once and made again", async () => {
  let completions: StuckEngine | undefined;
  const site = makeSite({
    completions: (clock) => completions = new StuckEngine(clock),
  });
  site.entries[0]?.start();
  await site.call(0, "PUT /v1/trainers/tuner/steps/1", makeStep(1, 1));
  await site.clock.advanceAsync(1_000);
  assert.equal(completions?.cancelled, 0);
  await site.call(0, "PUT /v1/trainers/tuner/versions/5", {});
  completions.version = 5;
  await site.clock.advanceAsync(3_000);
  assert.equal(completions.cancelled, 1);
  const page = parsePage(await site.call(0, "GET /v1/trainers/tuner/samples"));
  assert.deepEqual(page.samples[0]?.versions, [{ version: 5, tokens: 4 }]);
});

const BAD_REQUESTS = [
  ["PUT /v1/trainers/tuner/steps/1", makeStep(0), "invalid_step"],
  ["PUT /v1/trainers/tuner/steps/1", "{", "malformed_request"],
  ["PUT /v1/trainers/tuner/steps/x", makeStep(1), "malformed_request"],
  ["PUT /v1/trainers/nobody/steps/1", makeStep(1), "unknown_trainer"],
  ["GET /v1/trainers/tuner/steps/7", null, "not_found"],
  ["GET /v1/trainers/tuner/samples?limit=0", null, "malformed_request"],
  ["GET /v1/trainers/tuner/samples?wait_ms=-1", null, "malformed_request"],
  ["GET /v1/trainers/tuner/samples?after=tuner~9", null, "malformed_request"],
  ["GET /v1/trainers/tuner/samples?after=other~0", null, "malformed_request"],
  ["GET /v1/trainers/nobody/samples", null, "unknown_trainer"],
  ["PUT /v1/trainers/nobody/versions/1", null, "unknown_trainer"],
  ["PUT /v1/trainers/tuner/versions/1.5", null, "malformed_request"],
] as const;

for (const [request, body, kind] of BAD_REQUESTS) {
  test(`${request} with ${JSON.stringify(body)?.slice(0, 20)} is ${kind}`, async () => {
    const site = makeSite();
    const before = site.ledger.snapshot();
    const answer = await site.call(0, request, body);
    assert.ok(isFailure(answer));
    assert.equal(answer.kind, kind);
    assert.deepEqual(
      { ...site.ledger.snapshot() as object, atMs: 0 },
      { ...before as object, atMs: 0 },
    );
  });
}
