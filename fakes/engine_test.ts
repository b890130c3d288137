import assert from "node:assert/strict";
import { test } from "node:test";
import type { VersionRun } from "#core";
import { ENGINE_DEFAULTS, FakeEngine } from "./engine.ts";
import { appendRun } from "./engine_record.ts";
import { JsonClient } from "./json_client.ts";
import { baseUrlOf, standaloneOptions } from "./fakes_test_support.ts";
import { expectedText } from "./token_text.ts";

const HOST = "127.7.0.1";
const REQUEST = {
  request_id: "r-1",
  model: "advice",
  prompt: "pressure drops at night in flat 12",
  max_tokens: 40,
  seed: 7,
  stream: true,
};

interface Chunk {
  readonly model_version?: number;
  readonly choices: readonly {
    readonly text: string;
    readonly finish_reason: string | null;
  }[];
  readonly usage: { readonly completion_tokens: number };
}

function chunksOf(stream: string): readonly Chunk[] {
  return stream.split("\n\n")
    .filter((event) => event.startsWith("data: {"))
    .map((event) => JSON.parse(event.slice("data: ".length)));
}

function textOf(stream: string): string {
  return chunksOf(stream).map((chunk) => chunk.choices[0]?.text).join("");
}

function runsOf(stream: string, tokensBefore = 0): readonly VersionRun[] {
  let runs: readonly VersionRun[] = [];
  let total = tokensBefore;
  for (const chunk of chunksOf(stream)) {
    const tokens = chunk.usage.completion_tokens - total;
    total = chunk.usage.completion_tokens;
    runs = appendRun(runs, { version: chunk.model_version ?? 0, tokens });
  }
  return runs;
}

async function withEngine(
  options: Partial<ConstructorParameters<typeof FakeEngine>[0]>,
  body: (
    engine: FakeEngine,
    post: (path: string, value: unknown) => Promise<
      { readonly status: number; readonly text: string }
    >,
  ) => Promise<void>,
): Promise<void> {
  const engine = new FakeEngine({
    ...ENGINE_DEFAULTS,
    ...standaloneOptions(HOST, "engine-1"),
    model: "advice",
    naturalTokens: { shortest: 100, longest: 100 },
    ...options,
  });
  const client = new JsonClient();
  await engine.start();
  try {
    await body(engine, (path, value) =>
      client.send({
        method: "POST",
        baseUrl: baseUrlOf(engine),
        path,
        body: value,
        timeoutMs: 10_000,
      }));
  } finally {
    client.close();
    await engine.crash();
  }
}

test("a completion contains every token, its length and an end marker", () =>
  withEngine({}, async (engine, post) => {
    const response = await post("/v1/completions", REQUEST);
    const runs = [{ version: 1, tokens: 40 }];
    assert.deepEqual(runsOf(response.text), runs);
    assert.equal(textOf(response.text), expectedText(REQUEST, runs));
    assert.equal(
      chunksOf(response.text).at(-1)?.choices[0]?.finish_reason,
      "length",
    );
    assert.ok(response.text.endsWith("data: [DONE]\n\n"));
    assert.equal(engine.record.totals().executions, 1);
  }));

test("a resumed completion continues with the remaining tokens", () =>
  withEngine({}, async (_engine, post) => {
    const first = expectedText(REQUEST, [{ version: 1, tokens: 15 }]);
    const resumed = await post("/v1/completions", {
      ...REQUEST,
      resume: { text: first, tokens: 15 },
    });
    const complete = expectedText(REQUEST, [{ version: 1, tokens: 40 }]);
    assert.equal(first + textOf(resumed.text), complete);
  }));

test("the chunks of a stream report a swap of weights in the middle of it", () =>
  withEngine(
    { swapMs: 5, performance: { ...ENGINE_DEFAULTS.performance, tokenMs: 5 } },
    async (engine, post) => {
      const pending = post("/v1/completions", REQUEST);
      while (engine.record.totals().tokens < 5) {
        await engine.options.clock.sleep(5);
      }
      const order = { fence: 9, model: "advice", version: 2 };
      assert.equal((await post("/v1/orders", order)).status, 200);
      const stream = (await pending).text;
      const runs = runsOf(stream);
      assert.deepEqual(runs.map((run) => run.version), [1, 2]);
      assert.deepEqual(engine.record.executions()[0]?.runs, runs);
      assert.equal(textOf(stream), expectedText(REQUEST, runs));
    },
  ));

test("an engine that does not report versions omits them from its chunks", () =>
  withEngine({ reportsVersions: false }, async (_engine, post) => {
    const response = await post("/v1/completions", REQUEST);
    const versions = chunksOf(response.text).map((chunk) =>
      chunk.model_version
    );
    assert.deepEqual(new Set(versions), new Set([undefined]));
  }));

test("an engine that enforces fences rejects an order with an old fence", () =>
  withEngine({}, async (_engine, post) => {
    await post("/v1/orders", { fence: 9, model: "advice", version: 2 });
    const response = await post("/v1/orders", {
      fence: 8,
      model: "advice",
      version: 1,
    });
    assert.equal(response.status, 409);
    assert.deepEqual(JSON.parse(response.text), { fence: 9 });
  }));

test("an engine that ignores fences accepts an order with an old fence", () =>
  withEngine({ enforcesFences: false }, async (engine, post) => {
    await post("/v1/orders", { fence: 9, model: "advice", version: 2 });
    const response = await post("/v1/orders", {
      fence: 8,
      model: "advice",
      version: 3,
    });
    assert.equal(response.status, 200);
    assert.deepEqual(
      engine.weights.orders().map((order) => order.fence),
      [9, 8],
    );
  }));

test("a swap that fails partway aborts the streams, and the engine rejects later requests", () =>
  withEngine({
    swapMs: 5,
    naturalTokens: { shortest: 1_000_000, longest: 1_000_000 },
  }, async (engine, post) => {
    engine.weights.failNextSwaps(1);
    const pending = post("/v1/completions", {
      ...REQUEST,
      max_tokens: 1_000_000,
    });
    while (engine.record.totals().tokens < 5) {
      await engine.options.clock.sleep(5);
    }
    await post("/v1/orders", { fence: 9, model: "advice", version: 2 });
    const stream = await pending;
    assert.equal(stream.status, 0);
    assert.equal(engine.record.executions()[0]?.outcome, "cut");
    assert.deepEqual(engine.currentAnnouncement().serves, []);
    assert.equal((await post("/v1/completions", REQUEST)).status, 503);
  }));
