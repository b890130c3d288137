/**
 * A worker of a plain service starts again with newer software under its identifier before any stream has gone to it, and
 * its first heartbeat is late. Then it crashes under streams that may be resumed: they go on at workers of the older one.
 */
import { ask, sleep } from "../lib-2/client.mjs";
import { hasTrouble, openRecord, runCase } from "../lib-2/record.mjs";
import { Site, ZONES } from "../lib-2/site.mjs";
import { Worker } from "../lib-2/worker.mjs";

const HOST = "notes.example";
const PREFIX = "/notes/";
const SERVICE = "notes";
const WORKERS = 6;
const EVENTS = 12;
const EVENT_MS = 30;
const STREAMS = 120;
const STREAM_INTERVAL_MS = 5;
const DEADLINE_MS = 8_000;
/** "A heartbeat may arrive seconds late." */
const LATE_MS = 3_000;
/** ORDER: more than two streams. */
const ALLOWED = 2;

const note = openRecord(import.meta.url);
const site = new Site();
const workers = [];

/** Streams the events of a text; each tells the software that made it. */
async function stream(run, _request, response, worker) {
  const { software } = worker.options;
  response.writeHead(200, {
    "Content-Type": "text/event-stream",
    "Request-Id": run.id,
    "Response-Stamp": `stamp.${worker.id}.${run.id}`,
  });
  const first = Number(run.lastEventId ?? 0) + 1;
  note(`${worker.id} (${software}) runs ${run.id} from event ${first}`);
  for (let event = first; event <= EVENTS; event += 1) {
    await sleep(EVENT_MS);
    if (!worker.isUp || response.destroyed) return;
    response.write(`id: ${event}\ndata: ${run.id}.${event} by ${software}\n\n`);
  }
  response.end();
}

async function startWorker(number, software, firstBeatMs) {
  const worker = new Worker({
    id: `w${number}`,
    service: SERVICE,
    zone: ZONES[number % ZONES.length],
    address: site.workerAddress(number),
    controls: site.controls(),
    model: null,
    slots: 30,
    software,
    firstBeatMs,
    onRequest: stream,
  });
  workers.push(worker);
  await worker.start();
  note(`worker ${worker.id} starts with software ${software}`);
  return worker;
}

async function askStream(number) {
  const id = `s${number}`;
  const reply = await ask(site.frontAddress(number % site.fronts), {
    method: "POST",
    path: `${PREFIX}${id}`,
    headers: {
      Host: HOST,
      "Request-Id": id,
      "Deadline-Ms": String(DEADLINE_MS),
    },
    body: "prompt",
    timeoutMs: DEADLINE_MS,
  });
  const versions = [...new Set(reply.text?.match(/by v\d/g))];
  const events = reply.text?.match(/^id: /gm)?.length ?? 0;
  note(
    `stream ${id}: ${
      reply.status === 0 ? reply.why : reply.status
    }, ${events} events ${versions.join(", then ")}`,
  );
  return { status: reply.status, versions, events };
}

async function play() {
  await site.start();
  const configured = await site.configure({
    version: 7,
    routes: [{
      name: "r-notes",
      hostname: HOST,
      path_prefix: PREFIX,
      kind: "streaming",
      timeout_ms: 10_000,
      target_latency_ms: 400,
      priority: 1,
      service: SERVICE,
      max_attempts: 3,
      resumable: true,
    }],
    services: [{
      name: SERVICE,
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
  });
  if (!configured || !await site.untilReady()) {
    note("the site did not become ready");
    return 2;
  }
  for (let at = 0; at < WORKERS; at += 1) await startWorker(at, "v1", 0);
  await sleep(3_500);

  let newer = null;
  if (hasTrouble) {
    workers[0].end();
    note("worker w0 ends");
    await sleep(200);
    newer = await startWorker(0, "v2", LATE_MS);
  }
  const pending = [];
  for (let number = 0; number < STREAMS; number += 1) {
    pending.push(askStream(number));
    await sleep(STREAM_INTERVAL_MS);
  }
  if (newer !== null) {
    newer.end();
    note("worker w0 crashes");
  }
  const replies = await Promise.all(pending);
  const whole = replies.filter(({ status, events }) =>
    status === 200 && events === EVENTS
  );
  const joined = replies.filter(({ versions }) => versions.length > 1);
  note(
    `${STREAMS} streams, ${whole.length} complete, ${joined.length} hold events of two software versions`,
  );
  if (!hasTrouble && whole.length < STREAMS) return 2;
  return joined.length > ALLOWED ? 1 : 0;
}

await runCase(site, note, play);
