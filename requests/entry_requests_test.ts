import { Buffer } from "node:buffer";
import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { test } from "node:test";
import {
  type AcceptedBundle,
  Blackboard,
  BOARD_WRITERS,
  type BoardSections,
  type Bundle,
  EMPTY_BOARD,
  type HttpAnswer,
  type HttpCall,
  isFailure,
  LocalControl,
  MemoryEventLog,
  Metrics,
  SeededRandom,
  SystemClock,
  type UpstreamRecord,
} from "#core";
import { MemoryNetwork } from "#wire";
import { ClaimsMachine } from "./claims.ts";
import { EntryRequests } from "./entry_requests.ts";

const HOST = "127.5.0.2";

const BUNDLE: Bundle = {
  schema: 1,
  cluster: "test",
  version: 1,
  predecessor: null,
  zones: [{ name: "a", region: "r" }],
  vms: [],
  tenants: [{ name: "tana", weight: 1, maximumOutstanding: 100 }],
  classes: [
    {
      name: "drafting",
      rank: 1,
      floor: 0,
      maximumQueued: 100,
      defaultDeadlineMs: 60_000,
    },
    {
      name: "lookup",
      rank: 2,
      floor: 0.1,
      maximumQueued: 100,
      defaultDeadlineMs: 60_000,
    },
  ],
  models: [{ name: "advice", servingFloor: 0.5, loadsPerSecond: 1 }],
  services: [{ name: "cards", idempotentMethods: ["GET"] }],
  trainers: [],
  operators: [],
  limits: {
    bodyBytes: 65_536,
    answerBytes: 65_536,
    claimRetentionMs: 600_000,
    claimsStored: 100,
    upstreamLeaseMs: 60_000,
  },
};

const ACCEPTED: AcceptedBundle = {
  signed: { bundle: BUNDLE, signer: "", signature: "" },
  digest: "",
  index: 1,
  acceptedAtMs: 0,
};

function record(
  id: string,
  server: Server,
  offer: { readonly role: "engine" | "service" },
): UpstreamRecord {
  const address = server.address();
  assert(typeof address === "object" && address !== null);
  const isEngine = offer.role === "engine";
  return {
    id,
    incarnation: 1,
    sequence: 1,
    zone: "a",
    address: { host: HOST, port: address.port },
    role: offer.role,
    serves: isEngine ? [{ model: "advice", version: 4 }] : [],
    services: isEngine ? [] : ["cards"],
    capacity: 4,
    enforcesFences: true,
    reportsVersions: true,
    leaving: false,
    expiresAtMs: Number.POSITIVE_INFINITY,
  };
}

function makeEntry(records: readonly UpstreamRecord[]): EntryRequests {
  const clock = new SystemClock();
  const random = new SeededRandom(5);
  const board = new Blackboard<BoardSections>({
    ...EMPTY_BOARD,
    bundle: ACCEPTED,
    upstreams: new Map(records.map((each) => [each.id, each])),
  }, BOARD_WRITERS);
  return new EntryRequests({
    vm: "entry-1",
    zone: "a",
    sourceHost: "127.5.0.1",
    board,
    control: new LocalControl([new ClaimsMachine()], clock),
    network: new MemoryNetwork({ clock, random }).join("entry-1"),
    clock,
    random,
    events: new MemoryEventLog(),
    metrics: new Metrics(),
  });
}

function listen(server: Server): Promise<void> {
  return new Promise((resolve) => server.listen(0, HOST, resolve));
}

async function callRoute(
  entry: EntryRequests,
  call: Partial<HttpCall> & { readonly route: string },
): Promise<HttpAnswer> {
  const route = entry.routes().find((each) => each.name === call.route);
  assert(route !== undefined);
  const answer = await route.handle({
    method: "POST",
    path: "/",
    parameters: {},
    query: new URLSearchParams(),
    headers: { "cicadafield-tenant": "tana" },
    body: new Uint8Array(),
    signal: new AbortController().signal,
    ...call,
  });
  assert(!isFailure(answer), JSON.stringify(answer));
  return answer as HttpAnswer;
}

async function textOf(answer: HttpAnswer): Promise<string> {
  if (typeof answer.body === "string") return answer.body;
  if (answer.body instanceof Uint8Array) {
    return Buffer.from(answer.body).toString();
  }
  let text = "";
  for await (const part of answer.body) text += part;
  return text;
}

test("a completion comes back whole, as one answer and as a stream", async () => {
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
  const entry = makeEntry([record("engine-1", engine, { role: "engine" })]);
  entry.start();
  try {
    const body = { model: "advice", prompt: "p", max_tokens: 3 };
    const whole = await callRoute(entry, {
      route: "completions",
      body: Buffer.from(JSON.stringify(body)),
    });
    const parsed = JSON.parse(await textOf(whole));
    assert.equal(parsed.choices[0].text, "t1 t2 t3 ");
    assert.deepEqual(parsed.model_versions, [{ version: 4, tokens: 3 }]);
    const stream = await callRoute(entry, {
      route: "completions",
      body: Buffer.from(JSON.stringify({ ...body, stream: true })),
    });
    assert.match(await textOf(stream), /t1 .*t2 .*t3 .*\[DONE\]\n\n$/s);
    const id = stream.headers["cicadafield-request"] ?? "";
    assert.notEqual(entry.explain(id), undefined);
    await entry.drain();
  } finally {
    entry.stop();
    engine.close();
  }
});

test("a keyed save runs once and its answer is given again", async () => {
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
  const entry = makeEntry([record("cards-1", service, { role: "service" })]);
  entry.start();
  try {
    const call = {
      route: "services",
      path: "/services/cards/save",
      parameters: { service: "cards", path: "save" },
      headers: { "cicadafield-tenant": "tana", "idempotency-key": "k1" },
      body: Buffer.from("card"),
    };
    const first = await callRoute(entry, call);
    const second = await callRoute(entry, call);
    assert.equal(first.status, 201);
    assert.equal(await textOf(first), "card 1 /save");
    assert.equal(await textOf(second), "card 1 /save");
    assert.equal(runs, 1);
    await entry.drain();
  } finally {
    entry.stop();
    service.close();
  }
});
