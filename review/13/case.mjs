// Workers answer without a length, and a few of these answers are reset on the way.
import process from "node:process";
import { fileURLToPath } from "node:url";
import { call, PORTS, Record, Site, sleep } from "../lib-3/site.mjs";
import { Worker } from "../lib-3/worker.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
/** Share of the workers that are faulty, and of their answers that break off. */
const FAULTY_WORKERS = 1;
const SHARE = 0.02;
const LENGTH_MS = 30_000;
const CLIENTS = 12;
const HOST = "site.example";

const record = new Record(
  fileURLToPath(new URL("record.txt", import.meta.url)),
);
const site = new Site({ stores: 3, fronts: 3, record });

const bodyOf = (id) => `card ${id} `.padEnd(800, "saved ");
let broken = 0;

/** Answers without a length: the answer ends with its connection. */
function serve(worker, incoming, response) {
  const id = incoming.headers["request-id"];
  const { socket } = response;
  const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" +
    `Request-Id: ${id}\r\nResponse-Stamp: s.${worker.id}.${id}\r\n` +
    "Connection: close\r\n\r\n";
  const text = bodyOf(id);
  const isFaulty = TROUBLE && worker.isFaulty && Math.random() < SHARE;
  setTimeout(() => {
    if (socket.destroyed) return;
    if (!isFaulty) {
      socket.end(head + text);
      return;
    }
    broken += 1;
    const part = text.slice(0, 300);
    record.write(`${worker.id} sends 300 of 800 bytes of ${id} and resets`);
    socket.write(head + part, () => socket.resetAndDestroy());
  }, 10 + Math.random() * 20);
}

const workers = Array.from({ length: 3 }, (_, at) => {
  const worker = new Worker({
    site,
    ip: `${site.network}.${100 + at}`,
    zone: `z${at + 1}`,
    service: "cards",
    slots: 6,
    models: [],
    serve,
  });
  worker.isFaulty = at < FAULTY_WORKERS;
  return worker;
});

const CONFIGURATION = {
  version: 1,
  routes: [["idem", "idempotent"], ["once", "non_idempotent"]].map((
    [name, kind],
  ) => ({
    name,
    hostname: HOST,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: 2_000,
    target_latency_ms: 186,
    priority: 0,
    service: "cards",
    max_attempts: 2,
  })),
  services: [{
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

const seen = { whole: 0, short: 0, failed: 0 };

async function client(at, untilMs) {
  const kind = at % 2 === 0 ? "idem" : "once";
  const { ip } = site.fronts[at % site.fronts.length];
  for (let count = 0; performance.now() < untilMs; count += 1) {
    const id = `${kind}-${at}-${count}`;
    const answer = await call(`${ip}:${PORTS.front}`, {
      method: "POST",
      path: `/${kind}/save`,
      headers: { Host: HOST, "Request-Id": id, "Deadline-Ms": "2000" },
      body: `valve ${count}`,
      timeoutMs: 3_000,
    });
    const isSuccess = answer.status === 200 && answer.whole;
    if (!isSuccess) seen.failed += 1;
    else if (answer.text === bodyOf(id)) seen.whole += 1;
    else {
      seen.short += 1;
      record.write(
        `BROKEN MIXED: the client gets 200 for ${id}, Content-Length ${
          answer.headers["content-length"]
        }, with ${answer.text.length} of 800 bytes`,
      );
    }
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
  const untilMs = performance.now() + LENGTH_MS;
  await Promise.all(
    Array.from({ length: CLIENTS }, (_, at) => client(at, untilMs)),
  );
  record.write(
    `${broken} answers were reset on the way; clients saw ${
      JSON.stringify(seen)
    }`,
  );
  code = seen.short > 0 ? 1 : seen.whole > 1_000 ? 0 : 2;
} catch (error) {
  record.write(`the case could not run: ${error.stack}`);
} finally {
  for (const each of workers) each.close();
  await site.close(process.env.KEEP === "1");
}
process.exit(code);
