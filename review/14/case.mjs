// Another writer announces the addresses of our workers under a service that is not named here.
import process from "node:process";
import { fileURLToPath } from "node:url";
import { call, PORTS, Record, Site, sleep } from "../lib-3/site.mjs";
import { Worker } from "../lib-3/worker.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
/** `id`: the other writer uses the identifiers of our workers, and higher sequence numbers. */
const MODE = process.env.MODE ?? "address";
const HOST = "site.example";
const ITEMS = 48;
const EVENTS = 10;
const EVENT_MS = 100;
const SLOTS = 4;
/** The trainer gives up this long after its submission: due_ms (7.5 s) and half as much again. */
const DEADLINE_MS = 12_000;
/** "has been at no worker for 5 s of steady state". */
const IDLE_MS = 5_000;

const record = new Record(
  fileURLToPath(new URL("record.txt", import.meta.url)),
);
const site = new Site({ stores: 3, fronts: 3, record });

/** When each item last was at a worker, and whether it was finished there. */
const items = new Map();
let running = 0;

function runCard(incoming, response, body) {
  const id = incoming.headers["request-id"];
  setTimeout(() => {
    response.writeHead(200, { "Request-Id": id, "Response-Stamp": `s.${id}` });
    response.end(`card ${body.length}`);
  }, 20);
}

function serve(worker, incoming, response, body) {
  if (worker.versions.size === 0) return runCard(incoming, response, body);
  const id = incoming.headers["request-id"];
  worker.runs ??= 0;
  if (worker.runs >= SLOTS) {
    response.writeHead(503, { "Not-Executed": "1", "Request-Id": id }).end();
    return;
  }
  worker.runs += 1;
  running += 1;
  const item = items.get(id) ?? { finished: false };
  items.set(id, item);
  item.seenMs = Infinity;
  record.write(`${worker.id} begins ${id}`);
  response.writeHead(200, {
    "Request-Id": id,
    "Response-Stamp": `s.${id}`,
    "Weight-Versions": String(worker.versions.get("m0")),
    "Content-Type": "text/event-stream",
  });
  let event = Number(incoming.headers["last-event-id"] ?? "0") + 1;
  const timer = setInterval(() => {
    response.write(`id: ${event}\ndata: ${id} ${event}\n\n`);
    event += 1;
    if (event <= EVENTS) return;
    clearInterval(timer);
    item.finished = true;
    response.end();
  }, EVENT_MS);
  response.on("close", () => {
    clearInterval(timer);
    worker.runs -= 1;
    running -= 1;
    item.seenMs = performance.now();
  });
}

const workers = ["models", "models", "models", "models", "cards", "cards"]
  .map((service, at) =>
    new Worker({
      site,
      ip: `${site.network}.${100 + at}`,
      zone: `z${at % 3 + 1}`,
      service,
      slots: SLOTS,
      models: service === "models" ? ["m0"] : [],
      named: () => 1,
      serve,
    })
  );

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
  }, {
    name: "r-cards",
    hostname: HOST,
    path_prefix: "/cards/",
    kind: "idempotent",
    timeout_ms: 2_000,
    target_latency_ms: 186,
    priority: 0,
    service: "cards",
    max_attempts: 2,
  }],
  services: [{
    name: "models",
    health_path: "/healthz",
    max_conns: 150,
    protocol: "h1",
    tls: false,
    engine: {
      slots: SLOTS,
      kv_capacity_tokens: 100_000,
      models: [{ name: "m0" }],
    },
  }, {
    name: "cards",
    health_path: "/healthz",
    max_conns: 96,
    protocol: "h1",
    tls: false,
  }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 33_554_432,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
};

/** One heartbeat of another writer for each of our workers. */
async function writeOtherEntries() {
  for (const [at, worker] of workers.entries()) {
    const { address, options } = worker;
    const usesId = MODE === "id";
    const id = usesId ? worker.id : `agent-${at}`;
    const answer = await call(site.controls()[at % 3], {
      method: "POST",
      path: `/workers/${id}/heartbeat`,
      body: {
        service: "elsewhere",
        address,
        zone: options.zone,
        version: "v1",
        slots: SLOTS,
        state: "ready",
        cold_left_ms: 0,
        seq: usesId ? 1_000 : 1,
        born: usesId ? worker.born : Date.now(),
      },
    });
    record.write(
      `heartbeat of ${id} for ${address}, service elsewhere: ${
        answer.status ?? answer.error
      }`,
    );
  }
}

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

const cards = { ok: 0, refused: 0 };
async function saveCards(untilMs) {
  for (let at = 0; performance.now() < untilMs; at += 1) {
    const answer = await ask({
      method: "POST",
      path: "/cards/save",
      headers: { "Request-Id": `card-${at}`, "Deadline-Ms": "2000" },
      body: "valve 7",
    });
    if (answer.status === 200) cards.ok += 1;
    else cards.refused += 1;
    await sleep(200);
  }
}

let code = 2;
try {
  site.start();
  await sleep(3_000);
  for (const each of workers) await each.start();
  const answer = await site.control("POST", "/config/replace", CONFIGURATION);
  record.write(`configuration: ${answer.status ?? answer.error}`);
  await site.waitUntilReady();
  // The table of workers is complete, and nothing has started lately.
  await sleep(6_000);

  const ids = Array.from({ length: ITEMS }, (_, at) => `item-${at}`);
  const submitted = await ask({
    method: "POST",
    path: "/tune/1",
    headers: { "Request-Id": "lot-1", "Deadline-Ms": "4000" },
    body: {
      step: 0,
      model: "m0",
      min_version: 1,
      desired: ITEMS / 4,
      items: ids.map((id, at) => ({
        id,
        path: "/tune/1/x",
        headers: {
          Model: "m0",
          "Token-Counts": "20,700",
          "Prompt-Prefix": `9c:16,${(at + 1).toString(16)}:4`,
        },
        body: Buffer.from(`prompt ${at}`).toString("base64"),
        tokens: 720,
        group: `g${Math.floor(at / 4)}`,
      })),
    },
  });
  const startMs = performance.now();
  record.write(`lot-1: ${submitted.status ?? submitted.error}`);
  if (submitted.status !== 202) throw new Error("the batch job is refused");
  saveCards(startMs + DEADLINE_MS);
  await sleep(500);
  if (TROUBLE) await writeOtherEntries();
  let next = 0;
  while (next < ITEMS && performance.now() < startMs + DEADLINE_MS) {
    const { status, text } = await ask({
      path: `/lots/lot-1?after=${next}`,
      headers: { "Wait-Ms": "500" },
    });
    if (status === 200) next = JSON.parse(text).next;
    await sleep(200);
  }
  const endMs = performance.now();
  const begun = items.size;
  const idle = ids.filter((id) => {
    const { finished = false, seenMs = startMs } = items.get(id) ?? {};
    return !finished && endMs - seenMs >= IDLE_MS;
  });
  record.write(
    `${next} of ${ITEMS} results after ${
      Math.round(endMs - startMs)
    } ms; ${begun} items had begun, ${idle.length} were at no worker for 5 s; ` +
      `${running} of ${4 * SLOTS} slots in use; cards: ${
        JSON.stringify(cards)
      }`,
  );
  const isBroken = next < ITEMS && idle.length > 0 && begun > 0 &&
    running < 2 * SLOTS;
  if (isBroken) {
    record.write(
      `BROKEN LOST: the step ran out of time while ${idle.length} of its items were at no worker`,
    );
  }
  code = isBroken ? 1 : next === ITEMS ? 0 : 2;
} catch (error) {
  record.write(`the case could not run: ${error.stack}`);
} finally {
  for (const each of workers) each.close();
  await site.close(process.env.KEEP === "1");
}
process.exit(code);
