import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { test } from "node:test";
import {
  callRoute,
  createEntry,
  listen,
  readBody,
  upstreamRecord,
} from "./test_entry.ts";

test("a completion is returned complete, as one response and as a stream", async () => {
  const engine = createServer((request, response) => {
    let body = "";
    request.on("data", (bytes) => body += bytes);
    request.on("end", () => {
      const id = JSON.parse(body).request_id;
      response.writeHead(200, { "content-type": "text/event-stream" });
      for (const tokens of [1, 2, 3]) {
        const last = tokens === 3;
        response.write(`data: ${
          JSON.stringify({
            id,
            model_version: 4,
            choices: [{
              text: `t${tokens} `,
              finish_reason: last ? "stop" : null,
            }],
            usage: { completion_tokens: tokens },
          })
        }\n\n`);
      }
      response.end("data: [DONE]\n\n");
    });
  });
  await listen(engine);
  const entry = createEntry([
    upstreamRecord("engine-1", engine, { role: "engine" }),
  ]);
  entry.start();
  try {
    const body = { model: "advice", prompt: "p", max_tokens: 3 };
    const whole = await callRoute(entry, {
      route: "completions",
      body: Buffer.from(JSON.stringify(body)),
    });
    const parsed = JSON.parse(await readBody(whole));
    assert.equal(parsed.choices[0].text, "t1 t2 t3 ");
    assert.deepEqual(parsed.model_versions, [{ version: 4, tokens: 3 }]);
    const stream = await callRoute(entry, {
      route: "completions",
      body: Buffer.from(JSON.stringify({ ...body, stream: true })),
    });
    assert.match(await readBody(stream), /t1 .*t2 .*t3 .*\[DONE\]\n\n$/s);
    const id = stream.headers["cicadafield-request"] ?? "";
    assert.notEqual(entry.explain(id), undefined);
    await entry.drain();
  } finally {
    entry.stop();
    engine.close();
  }
});

test("a save with an idempotency key runs once and its response is repeated", async () => {
  let runs = 0;
  const service = createServer((request, response) => {
    request.resume();
    request.on("end", () => {
      runs += 1;
      response.writeHead(201, { "content-type": "text/plain" });
      response.end(`card ${runs} ${request.url}`);
    });
  });
  await listen(service);
  const entry = createEntry([
    upstreamRecord("cards-1", service, { role: "service" }),
  ]);
  entry.start();
  try {
    const call = {
      route: "services",
      path: "/services/cards/save",
      target: "",
      rawHeaders: [],
      parameters: { service: "cards", path: "save" },
      headers: { "cicadafield-tenant": "tana", "idempotency-key": "k1" },
      body: Buffer.from("card"),
    };
    const first = await callRoute(entry, call);
    const second = await callRoute(entry, call);
    assert.equal(first.status, 201);
    assert.equal(await readBody(first), "card 1 /save");
    assert.equal(await readBody(second), "card 1 /save");
    assert.equal(runs, 1);
    await entry.drain();
  } finally {
    entry.stop();
    service.close();
  }
});
