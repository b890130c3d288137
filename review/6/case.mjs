/**
 * The workers of a service are replaced one after the other while a step runs on a route with `single_version`. Items
 * whose texts were begun by the older version are left without a worker until the step's time is up.
 */
import { sleep } from "../lib-2/client.mjs";
import { hasTrouble, openRecord, runCase } from "../lib-2/record.mjs";
import { Site, ZONES } from "../lib-2/site.mjs";
import { jobOf, Trainer } from "../lib-2/trainer.mjs";
import { Worker } from "../lib-2/worker.mjs";

const HOST = "tuning.example";
const PREFIX = "/tune/";
const SERVICE = "models";
const MODEL = "advice";
const WORKERS = 4;
/** `release`: half of the workers are replaced, one at a time, one second apart. */
const REPLACED = WORKERS / 2;
const GAP_MS = 1_000;
const DRAIN_MS = 2_000;
/** A trainer waits this long for a step. */
const STEP_MS = 12_000;
/** LOST: 5 s of steady state without a worker. */
const ABSENT_MS = 5_000;

const note = openRecord(import.meta.url);
const site = new Site();
const workers = [];

async function addWorker(number, version) {
  const worker = new Worker({
    id: `w${number}`,
    service: SERVICE,
    zone: ZONES[number % ZONES.length],
    address: site.workerAddress(number),
    controls: site.controls(),
    model: MODEL,
    version,
    eventMs: 40,
    eventsOf: (id) => events.get(id),
  });
  workers.push(worker);
  await worker.start();
  note(`worker ${worker.id} starts with version ${version}`);
  return worker;
}

const events = new Map();

function newJob(id, options) {
  const job = jobOf(id, options);
  for (const item of job.items) events.set(item.id, item.events);
  return job;
}

/** Replaces the workers that still have the older version: the new one starts first, the old one drains and leaves. */
async function release(old) {
  const leaving = [];
  for (const [at, worker] of old.entries()) {
    await addWorker(10 + at, 2);
    note(`worker ${worker.id} (version ${worker.version}) reports draining`);
    leaving.push(
      worker.drainAndLeave(DRAIN_MS + 100).then(({ acknowledged }) =>
        note(`worker ${worker.id} has left (acknowledged: ${acknowledged})`)
      ),
    );
    if (at + 1 < old.length) await sleep(GAP_MS);
  }
  await Promise.all(leaving);
  return performance.now();
}

async function play() {
  await site.start();
  const configured = await site.configure({
    version: 7,
    routes: [{
      name: "r-tune",
      hostname: HOST,
      path_prefix: PREFIX,
      kind: "rollout",
      timeout_ms: 10_000,
      target_latency_ms: 400,
      priority: 1,
      service: SERVICE,
      max_attempts: 3,
      max_queue_s: 40,
      due_ms: 7_500,
      single_version: true,
      sticky: true,
      resumable: true,
    }],
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
        models: [{ name: MODEL }],
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
  for (let at = 0; at < WORKERS; at += 1) await addWorker(at, 1);
  await sleep(1_500);
  const trainer = new Trainer({
    site,
    host: HOST,
    prefix: PREFIX,
    model: MODEL,
    note,
  });

  // A first step at version 1, after which the trainer names version 2.
  const first = newJob("step1", {
    step: 1,
    minVersion: 1,
    groups: 2,
    size: 4,
    events: 30,
    desired: 2,
  });
  const firstMs = await trainer.submit(first);
  const firstResults = await trainer.read(first, firstMs + STEP_MS);
  await trainer.end(first);
  if (firstResults.size < first.items.length) {
    note(`step 1 has ${firstResults.size} of ${first.items.length} results`);
    return 2;
  }
  const named = await site.nameVersion(MODEL, 2);
  const namedMs = performance.now();
  note(`version 2 is named (acknowledged: ${named})`);
  await sleep(4_000);
  const old = workers.filter((each) => each.version === 1);
  note(`workers with version 1: ${old.map((each) => each.id).join(" ")}`);
  if (old.length !== REPLACED) return 2;

  // The second step allows versions 1 and 2.
  const second = newJob("step2", {
    step: 2,
    minVersion: 1,
    groups: 4,
    size: 4,
    events: 110,
    desired: 4,
  });
  const beganMs = await trainer.submit(second);
  const reading = trainer.read(second, beganMs + STEP_MS);
  let steadyMs = beganMs;
  if (hasTrouble) {
    await sleep(1_000);
    steadyMs = await release(old);
  }
  const results = await reading;
  const endMs = performance.now();
  await trainer.end(second);

  const runs = workers.flatMap((each) => each.runs);
  let broken = 0;
  for (const { id } of second.items) {
    const own = runs.filter((each) => each.id === id);
    const listed = results.get(id);
    const parts = own.map((run) => {
      const at = `${((run.fromMs - beganMs) / 1_000).toFixed(2)}`;
      return `${run.worker} v${run.version} at ${at} s after ${
        run.lastEventId ?? "-"
      }: ${run.events} events, ${run.end}`;
    });
    note(`${id}: ${listed?.state ?? "not listed"}; ${parts.join("; ")}`);
    if (listed !== undefined) {
      const isWhole = listed.versions.length === 1;
      if (!isWhole) note(`  versions ${listed.versions}`);
      continue;
    }
    if (own.some((run) => run.end === "complete")) continue;
    const lastMs = Math.max(beganMs, ...own.map((run) => run.toMs));
    const absentMs = endMs - Math.max(lastMs, steadyMs);
    note(
      `  at no worker for the last ${(absentMs / 1_000).toFixed(2)} s of` +
        " steady state before the step's time was up",
    );
    if (absentMs >= ABSENT_MS) broken += 1;
  }
  const ready = workers.filter((each) => each.isUp && each.state === "ready");
  note(
    `step 2: ${results.size} of ${second.items.length} items listed after ${
      ((endMs - beganMs) / 1_000).toFixed(2)
    } s; version 2 was named ${
      ((beganMs - namedMs) / 1_000).toFixed(2)
    } s before the step; ${ready.length} workers ready, versions ${
      ready.map((each) => each.version).join(" ")
    }, ${
      runs.filter((run) => run.toMs === Infinity).length
    } runs in progress of ${ready.length * 12} slots`,
  );
  note(`items that break LOST: ${broken}`);
  if (results.size === second.items.length) return 0;
  return broken > 0 ? 1 : 2;
}

await runCase(site, note, play);
