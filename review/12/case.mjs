// Engines stream without a length, and a few of their streams are reset after a whole event.
import process from "node:process";
import { fileURLToPath } from "node:url";
import { call, PORTS, Record, Site, sleep } from "../lib-3/site.mjs";
import { Worker } from "../lib-3/worker.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
const FAULTY_WORKERS = 2;
const SHARE = 0.02;
const LOTS = 8;
const ITEMS = 240;
const EVENTS = 10;
const EVENT_MS = 20;
const SLOTS = 12;
const HOST = "site.example";

const record = new Record(
  fileURLToPath(new URL("record.txt", import.meta.url)),
);
const site = new Site({ stores: 3, fronts: 3, record });

const dataOf = (id, event) => `${id} word ${event}`;
const textOf = (id) =>
  Array.from({ length: EVENTS }, (_, at) => dataOf(id, at + 1)).join("\n");
let broken = 0;

/** Streams the events of an item from the one asked for; the answer has no length and ends with its connection. */
function serve(worker, incoming, response) {
  const id = incoming.headers["request-id"];
  const { socket } = response;
  worker.runs ??= 0;
  if (worker.runs >= SLOTS) {
    response.writeHead(503, { "Not-Executed": "1", "Request-Id": id }).end();
    return;
  }
  worker.runs += 1;
  let event = Number(incoming.headers["last-event-id"] ?? "0") + 1;
  const isFaulty = TROUBLE && worker.isFaulty && Math.random() < SHARE;
  const last = isFaulty
    ? event + Math.floor(Math.random() * (EVENTS - event))
    : EVENTS;
  socket.write(
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
      `Request-Id: ${id}\r\nResponse-Stamp: s.${worker.id}.${id}\r\n` +
      "Weight-Versions: 1\r\nConnection: close\r\n\r\n",
  );
  const timer = setInterval(() => {
    const text = `id: ${event}\ndata: ${dataOf(id, event)}\n\n`;
    event += 1;
    if (event <= last) {
      socket.write(text);
      return;
    }
    clearInterval(timer);
    if (last === EVENTS) {
      socket.end(text);
      return;
    }
    broken += 1;
    record.write(`${worker.id} resets ${id} after event ${last} of ${EVENTS}`);
    socket.write(text, () => socket.resetAndDestroy());
  }, EVENT_MS);
  socket.on("close", () => {
    clearInterval(timer);
    worker.runs -= 1;
  });
}

const workers = Array.from({ length: 4 }, (_, at) => {
  const worker = new Worker({
    site,
    ip: `${site.network}.${100 + at}`,
    zone: `z${at % 3 + 1}`,
    service: "models",
    slots: SLOTS,
    models: ["m0"],
    named: () => 1,
    serve,
  });
  worker.isFaulty = at < FAULTY_WORKERS;
  return worker;
});

const CONFIGURATION = {
  version: 1,
  routes: [{
    name: "r-lots",
    hostname: HOST,
    path_prefix: "/tune/",
    kind: "rollout",
    timeout_ms: 10_000,
    target_latency_ms: 400,
    priority: 1,
    service: "models",
    max_attempts: 3,
    max_queue_s: 40,
    due_ms: 7_500,
    single_version: false,
    sticky: true,
    resumable: true,
  }],
  services: [{
    name: "models",
    health_path: "/healthz",
    max_conns: 150,
    protocol: "h1",
    tls: false,
    engine: {
      slots: SLOTS,
      kv_capacity_tokens: 102_972,
      models: [{ name: "m0" }],
    },
  }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 33_554_432,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

let turn = 0;
function ask(options) {
  turn += 1;
  const { ip } = site.fronts[turn % site.fronts.length];
  const headers = { Host: HOST, ...options.headers };
  return call(`${ip}:${PORTS.front}`, {
    timeoutMs: 4_500,
    ...options,
    headers,
  });
}

const seen = { whole: 0, wrong: 0, other: 0 };

/** Submits a batch job and reads its results. */
async function runLot(step) {
  const lot = `lot-${step}`;
  const items = Array.from({ length: ITEMS }, (_, at) => ({
    id: `${lot}-${at}`,
    path: "/tune/1/x",
    headers: {
      Model: "m0",
      "Token-Counts": "20,700",
      "Prompt-Prefix": `9c:16,${(step * ITEMS + at + 1).toString(16)}:4`,
    },
    body: Buffer.from(`prompt ${at}`).toString("base64"),
    tokens: 720,
    group: `g${Math.floor(at / 4)}`,
  }));
  const submitted = await ask({
    method: "POST",
    path: "/tune/1",
    headers: { "Request-Id": lot, "Deadline-Ms": "4000" },
    body: { step, model: "m0", min_version: 1, desired: ITEMS / 4, items },
  });
  if (submitted.status !== 202) throw new Error(`${lot}: ${submitted.status}`);
  const untilMs = performance.now() + 12_000;
  let next = 0;
  while (next < ITEMS && performance.now() < untilMs) {
    const { status, text } = await ask({
      path: `/lots/${lot}?after=${next}`,
      headers: { "Wait-Ms": "500" },
    });
    if (status !== 200) continue;
    const page = JSON.parse(text);
    for (const result of page.results) {
      if (result.state !== "completed") seen.other += 1;
      else if (result.text === textOf(result.id)) seen.whole += 1;
      else {
        seen.wrong += 1;
        const events = result.text.split("\n").length;
        record.write(
          `BROKEN MIXED: ${result.id} is completed with ${events} of ${EVENTS} events`,
        );
      }
    }
    next = page.next;
  }
  await ask({ method: "DELETE", path: `/lots/${lot}` });
}

let code = 2;
try {
  site.start();
  await sleep(3_000);
  for (const each of workers) await each.start();
  const answer = await site.control("POST", "/config/replace", CONFIGURATION);
  record.write(`configuration: ${answer.status ?? answer.error}`);
  await site.waitUntilReady();
  await sleep(2_000);
  for (let step = 0; step < LOTS; step += 1) await runLot(step);
  record.write(
    `${broken} streams were reset on the way; results: ${JSON.stringify(seen)}`,
  );
  code = seen.wrong > 0 ? 1 : seen.whole > 1_000 ? 0 : 2;
} catch (error) {
  record.write(`the case could not run: ${error.stack}`);
} finally {
  for (const each of workers) each.close();
  await site.close(process.env.KEEP === "1");
}
process.exit(code);
