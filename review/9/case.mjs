/**
 * One model worker fails part of its requests while its health check is good: it begins to run them and answers 503,
 * without `Not-Executed`. Items are given up although no worker has answered 500 or 422.
 */
import { createHash } from "node:crypto";
import { sleep } from "../lib-2/client.mjs";
import { hasTrouble, openRecord, runCase } from "../lib-2/record.mjs";
import { Site, ZONES } from "../lib-2/site.mjs";
import { jobOf, Trainer } from "../lib-2/trainer.mjs";
import { Worker } from "../lib-2/worker.mjs";

const HOST = "tuning.example";
const SERVICE = "advisor-llm";
const WORKERS = 7;
const MAX_ATTEMPTS = 3;
const STEP_EVERY_MS = 4_000;
const STEP_MS = 12_000;
const STEPS = 4;
/** `srv_grey`: share .15 of the workers fail x .4 of their requests, for 5 s. */
const GREY_WORKERS = 1;
const GREY_SHARE = 0.4;
const GREY_FROM_MS = 3_900;
const GREY_MS = 5_000;
const FAILURE = { status: 503, afterMs: 40 };

const note = openRecord(import.meta.url);
const site = new Site();
const workers = [];
const events = new Map();
let isGrey = false;

/** The grey worker fails the same part of the requests each time, as one does that can't read a part of its store. */
function isFailing(id) {
  const [first] = createHash("sha256").update(id).digest();
  return first < GREY_SHARE * 256;
}

function routeOf(name, prefix) {
  return {
    name,
    hostname: HOST,
    path_prefix: prefix,
    kind: "rollout",
    timeout_ms: 10_000,
    target_latency_ms: 400,
    priority: 1,
    service: SERVICE,
    max_attempts: MAX_ATTEMPTS,
    max_queue_s: 40,
    due_ms: 7_500,
    single_version: false,
    sticky: true,
    resumable: true,
  };
}

/** A trainer with a step each 4 s: 36 groups of 4 items of 8 events, about as many items as both trainers of the site send. */
async function train(trainer, results) {
  const reading = [];
  for (let step = 1; step <= STEPS; step += 1) {
    const job = jobOf(`valve${step}`, {
      step,
      minVersion: 1,
      groups: 36,
      size: 4,
      events: 8,
      desired: 32,
    });
    for (const item of job.items) events.set(item.id, item.events);
    const beganMs = await trainer.submit(job);
    reading.push(
      trainer.read(job, beganMs + STEP_MS).then(async (read) => {
        results.push({ job, read });
        await trainer.end(job);
      }),
    );
    await sleep(STEP_EVERY_MS);
  }
  await Promise.all(reading);
}

async function play() {
  await site.start();
  const configured = await site.configure({
    version: 3,
    routes: [routeOf("r-valve", "/valve/")],
    services: [{
      name: SERVICE,
      health_path: "/healthz",
      max_conns: 150,
      protocol: "h1",
      tls: false,
      engine: {
        slots: 12,
        kv_capacity_tokens: 102_972,
        kv_token_bytes: 163_840,
        link_mbps: 8_800_000,
        models: [{ name: "valve" }],
      },
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
  for (let at = 0; at < WORKERS; at += 1) {
    const worker = new Worker({
      id: `w${at}`,
      service: SERVICE,
      zone: ZONES[at % ZONES.length],
      address: site.workerAddress(at),
      controls: site.controls(),
      model: "valve",
      eventMs: 40,
      eventsOf: (id) => events.get(id),
      failureOf: (id) =>
        isGrey && at < GREY_WORKERS && isFailing(id) ? FAILURE : null,
    });
    workers.push(worker);
    await worker.start();
  }
  await sleep(1_500);
  if (hasTrouble) {
    setTimeout(() => {
      isGrey = true;
      note(`worker w0 fails ${GREY_SHARE} of the requests`);
    }, GREY_FROM_MS);
    setTimeout(() => {
      isGrey = false;
      note("worker w0 is sound again");
    }, GREY_FROM_MS + GREY_MS);
  }
  const trainer = new Trainer({
    site,
    host: HOST,
    prefix: "/valve/",
    model: "valve",
    note,
  });
  const results = [];
  await train(trainer, results);

  const runs = workers.flatMap((each) => each.runs);
  let early = 0;
  let listedCount = 0;
  let itemCount = 0;
  for (const { job, read } of results) {
    itemCount += job.items.length;
    for (const { id } of job.items) {
      const listed = read.get(id);
      if (listed !== undefined) listedCount += 1;
      const own = runs.filter((run) => run.id === id);
      const ends = own.map((run) => `${run.worker} ${run.end}`).join("; ");
      const hasFailed = own.some((run) => run.end?.startsWith("answered"));
      if (hasFailed || listed?.state !== "completed") {
        note(`${id}: ${listed?.state ?? "not listed"}; ${ends}`);
      }
      if (listed?.state !== "terminated") continue;
      const count = (end) => own.filter((run) => run.end === end).length;
      const mayEnd = count("answered 422") > 0 ||
        count("answered 500") >= MAX_ATTEMPTS;
      if (!mayEnd) early += 1;
    }
  }
  note(`${listedCount} of ${itemCount} items are listed`);
  note(
    `items listed as terminated before a 422, ${MAX_ATTEMPTS} answers of 500, ` +
      `max_queue_s, the end of their job or of their route: ${early}`,
  );
  if (early > 0) return 1;
  return listedCount === itemCount ? 0 : 2;
}

await runCase(site, note, play);
