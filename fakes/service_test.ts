import assert from "node:assert/strict";
import { test } from "node:test";
import { JsonClient } from "./json_client.ts";
import { FakeService } from "./service.ts";
import {
  baseUrlOf,
  RecordingEntryVm,
  standaloneOptions,
} from "./fakes_test_support.ts";
import { FakeWeightStore } from "./weight_store.ts";

const HOST = "127.7.0.2";

function service(): FakeService {
  return new FakeService({
    ...standaloneOptions(HOST, "cards-1"),
    services: ["cards", "scorer"],
    workMs: 0,
  });
}

test("each save of a card is counted, including one whose response is lost", async () => {
  const cards = service();
  const client = new JsonClient();
  await cards.start();
  const save = {
    method: "POST",
    baseUrl: baseUrlOf(cards),
    path: "/cards",
    body: { id: "card-1" },
    timeoutMs: 5_000,
  } as const;
  assert.equal((await client.send(save)).status, 201);
  cards.injectFault("reset_after_running", 1);
  assert.equal((await client.send(save)).status, 0);
  cards.injectFault("reset_before_running", 1);
  assert.equal((await client.send(save)).status, 0);
  assert.equal(cards.executionCount("card-1"), 2);
  client.close();
  await cards.crash();
});

test("equal texts have equal scores", async () => {
  const scorer = service();
  const client = new JsonClient();
  await scorer.start();
  const scores = new Set<string>();
  for (const trainer of ["one", "two"]) {
    const response = await client.send({
      method: "POST",
      baseUrl: baseUrlOf(scorer),
      path: "/score",
      body: { trainer, prompt: "p", text: "crux at bolt 4" },
      timeoutMs: 5_000,
    });
    scores.add(response.text);
  }
  assert.equal(scores.size, 1);
  client.close();
  await scorer.crash();
});

test("the weight store rejects transfers above its rate limit", async () => {
  const store = new FakeWeightStore({
    ...standaloneOptions(HOST, "store-1"),
    loadsPerSecond: 0.01,
    transferMs: 0,
  });
  const client = new JsonClient();
  await store.start();
  const load = {
    method: "GET",
    baseUrl: baseUrlOf(store),
    path: "/v1/weights/advice/2",
    timeoutMs: 5_000,
  } as const;
  assert.equal((await client.send(load)).status, 200);
  const refused = await client.send(load);
  assert.equal(refused.status, 429);
  assert.equal(refused.headers["retry-after"], "1");
  client.close();
  await store.crash();
});

test("a fake announces itself to the next entry VM when one rejects it, and deregisters there", async () => {
  const first = new RecordingEntryVm({ host: HOST, port: 0 });
  const second = new RecordingEntryVm({ host: HOST, port: 0 });
  await first.listen();
  await second.listen();
  first.rejectsCalls = true;
  const cards = new FakeService({
    ...standaloneOptions(HOST, "cards-1"),
    entries: [baseUrlOf(first), baseUrlOf(second)],
    services: ["cards"],
    workMs: 0,
  });
  await cards.listen();
  assert.equal(await cards.announcer.announce(), true);
  await cards.stop();
  const routes = second.calls.map((call) => call.route);
  assert.deepEqual(routes, [
    "PUT /v1/upstreams/cards-1",
    "POST /v1/upstreams/cards-1/leave",
  ]);
  assert.equal(JSON.parse(second.calls[0]?.body ?? "").sequence, 2);
  await first.crash();
  await second.crash();
});
