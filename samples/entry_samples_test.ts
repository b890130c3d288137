import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import {
  type AcceptedBundle,
  Blackboard,
  BOARD_WRITERS,
  type BoardSections,
  type CompletionAnswer,
  type CompletionCall,
  type CompletionOptions,
  CompletionPort,
  EMPTY_BOARD,
  Err,
  fail,
  type Failure,
  type HttpAnswer,
  type HttpCall,
  isFailure,
  LocalControl,
  MemoryEventLog,
  Metrics,
  Ok,
  type Result,
  SeededRandom,
  type ServiceAnswer,
  type ServiceCall,
  ServicePort,
  type TrainerEntry,
  type UpstreamRecord,
  VirtualClock,
} from "#core";
import { EntrySamples } from "./entry_samples.ts";
import { LedgerMachine } from "./ledger_machine.ts";
import type { DeliveredSample } from "./sample_page.ts";

const TRAINER: TrainerEntry = {
  name: "tuner",
  tenant: "tana",
  class: "drafting",
  model: "advice",
  scorer: "scorer",
  weight: 1,
  maximumStaleness: 2,
};

class FakeCompletions extends CompletionPort {
  version = 3;
  calls = 0;
  /** Answers that name no versions, first. */
  untold = 0;
  readonly #clock: VirtualClock;
  readonly #delayMs: number;

  constructor(clock: VirtualClock, delayMs = 50) {
    super();
    this.#clock = clock;
    this.#delayMs = delayMs;
  }

  override async complete(
    call: CompletionCall,
    options: CompletionOptions = {},
  ): Promise<Result<CompletionAnswer, Failure>> {
    this.calls += 1;
    const version = this.version;
    await this.#clock.sleep(this.#delayMs);
    if (options.signal?.aborted) return Err(fail("cancelled", "ended"));
    const told = this.untold === 0;
    if (!told) this.untold -= 1;
    return Ok({
      text: `text of ${call.prompt} by ${call.seed}`,
      tokens: 4,
      runs: told ? [{ version, tokens: 4 }] : null,
      upstream: "e1",
      finishReason: "stop",
    });
  }
}

class FakeScorer extends ServicePort {
  failures = 0;

  override call(call: ServiceCall): Promise<Result<ServiceAnswer, Failure>> {
    if (this.failures > 0) {
      this.failures -= 1;
      return Promise.resolve(Err(fail("upstream_failed", "no answer")));
    }
    const { text } = JSON.parse(Buffer.from(call.body).toString()) as {
      readonly text: string;
    };
    return Promise.resolve(Ok({
      status: 200,
      headers: {},
      body: Buffer.from(JSON.stringify({ score: text.length })),
      upstream: "s1",
    }));
  }
}

interface Site {
  readonly clock: VirtualClock;
  readonly completions: FakeCompletions;
  readonly scorer: FakeScorer;
  readonly ledger: LedgerMachine;
  readonly entries: readonly EntrySamples[];
  call(
    entry: number,
    request: string,
    body?: unknown,
  ): Promise<HttpAnswer | Failure>;
}

function makeSite(entryCount = 1): Site {
  const clock = new VirtualClock(1_000);
  const ledger = new LedgerMachine({
    rules: (name) => name === TRAINER.name ? TRAINER : null,
  });
  const control = new LocalControl([ledger], clock);
  const completions = new FakeCompletions(clock);
  const scorer = new FakeScorer();
  const entries: EntrySamples[] = [];
  for (let number = 1; number <= entryCount; number += 1) {
    entries.push(
      new EntrySamples({
        vm: `entry-${number}`,
        zone: "a",
        board: makeBoard(),
        control,
        completions,
        services: scorer,
        clock,
        random: new SeededRandom(number),
        events: new MemoryEventLog(),
        metrics: new Metrics(),
      }),
    );
  }
  return {
    clock,
    completions,
    scorer,
    ledger,
    entries,
    call: (entry, request, body) => callRoute(entries[entry]!, request, body),
  };
}

function makeBoard(): Blackboard<BoardSections> {
  const board = new Blackboard<BoardSections>(EMPTY_BOARD, BOARD_WRITERS);
  const bundle = {
    signed: { bundle: { vms: [], trainers: [TRAINER] } },
  } as unknown as AcceptedBundle;
  board.write("bundles", "bundle", bundle);
  const engine = {
    id: "e1",
    zone: "a",
    role: "engine",
    leaving: false,
    capacity: 16,
    expiresAtMs: Number.MAX_SAFE_INTEGER,
  } as UpstreamRecord;
  board.write("registry", "upstreams", new Map([["e1", engine]]));
  return board;
}

function callRoute(
  entry: EntrySamples,
  request: string,
  body?: unknown,
): Promise<HttpAnswer | Failure> {
  const [method = "", target = ""] = request.split(" ");
  const url = new URL(target, "http://entry");
  for (const route of entry.routes()) {
    if (route.method !== method) continue;
    const names: string[] = [];
    const pattern = route.pattern.replaceAll(/:(\w+)/g, (_, name: string) => {
      names.push(name);
      return "([^/]+)";
    });
    const found = new RegExp(`^${pattern}$`).exec(url.pathname);
    if (found === null) continue;
    const parameters: Record<string, string> = {};
    for (const [at, name] of names.entries()) {
      parameters[name] = found[at + 1] ?? "";
    }
    const call: HttpCall = {
      method,
      path: url.pathname,
      parameters,
      query: url.searchParams,
      headers: {},
      body: Buffer.from(
        typeof body === "string" ? body : JSON.stringify(body ?? null),
      ),
      signal: new AbortController().signal,
    };
    return route.handle(call);
  }
  throw new Error(`no route for ${request}`);
}

function makeStep(groups: number, groupSize = 2): unknown {
  return {
    groups: Array.from(
      { length: groups },
      (_, group) => ({ group, prompt: `p${group}` }),
    ),
    groupSize,
    bound: 1,
    deadlineMs: 60_000,
    maximumTokens: 64,
  };
}

function pageOf(answer: HttpAnswer | Failure): {
  readonly cursor: string;
  readonly samples: readonly DeliveredSample[];
} {
  assert.ok(!isFailure(answer), JSON.stringify(answer));
  return JSON.parse(answer.body as string);
}

test("a step sent to one entry is made by all and handed over whole by any", async () => {
  const site = makeSite(3);
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
  assert.equal(site.completions.calls, 80);
  assert.equal(page.cursor, "tuner~80");
  assert.equal(page.samples[0]?.score, page.samples[0]?.text.length);
});

test("a cursor asked for again gives the same bytes, also after the next one", async () => {
  const site = makeSite(1);
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
  const site = makeSite(1);
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
  const site = makeSite(1);
  site.completions.untold = 3;
  site.scorer.failures = 2;
  site.entries[0]?.start();
  await site.call(0, "PUT /v1/trainers/tuner/steps/1", makeStep(2));
  await site.clock.advanceAsync(5_000);
  const page = pageOf(await site.call(0, "GET /v1/trainers/tuner/samples"));
  assert.equal(page.samples.length, 4);
  assert.equal(site.completions.calls, 7);
});

test("a drained entry ends its groups, gives the rest back and lets long polls go", async () => {
  const site = makeSite(2);
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
