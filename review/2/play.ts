/**
 * A trainer's step is accepted, and more of its items wait than the engines have slots. Then a valid configuration
 * removes the route under its name and adds one of another name with the same host, prefix, kind and service. The items
 * that wait have to run as the others.
 */
import { type Answer, runCase, send, type Sent, sleep } from "../lib/site.ts";

const HOST = "ficu95.example";
const SERVICE = "huvo11a";
const MODEL = "daka510000";
const JOB = "7c41e09b52d6a3f8";
const PREFIX = "/pufi791/";
const GROUPS = 20;
const GROUP_SIZE = 4;
const ENGINES = 3;
/** The trainer gives up, like the clients of its kind of request. */
const DEADLINE_MS = 12_000;
/** Time in which an item of a step may be at no worker. */
const IDLE_MS = 5_000;
const CHANGE_AFTER_MS = 400;

const configuration = (
  version: number,
  name: string,
): { readonly version: number } & Record<string, unknown> => ({
  version,
  routes: [{
    name,
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
    single_version: false,
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

function job(): string {
  const items = [];
  for (let at = 0; at < GROUPS * GROUP_SIZE; at += 1) {
    const id = `e5b2907c14da6${at.toString(16).padStart(3, "0")}`;
    const group = Math.floor(at / GROUP_SIZE);
    items.push({
      id,
      path: `${PREFIX}3/${id}`,
      headers: {
        Model: MODEL,
        "Token-Counts": "1016,576",
        "Prompt-Prefix": `9c2e${group.toString(16)}:1000,${id}:16`,
      },
      body: Buffer.from(`prompt ${at}`).toString("base64"),
      tokens: 1_592,
      group: `g${group}`,
    });
  }
  return JSON.stringify({
    step: 0,
    model: MODEL,
    min_version: 1,
    desired: GROUPS * 0.9,
    items,
  });
}

await runCase(async (site, trouble) => {
  const begun = new Set<string>();
  let lastBeganMs = 0;
  for (let number = 0; number < ENGINES; number += 1) {
    site.startWorker(`engine-${number}`, {
      number,
      zone: number,
      service: SERVICE,
      models: [MODEL],
      events: 20,
      eventMs: 40,
      onLine: (line) => {
        const item = /^runs (\S+)/.exec(line)?.[1];
        if (item === undefined) return;
        begun.add(item);
        lastBeganMs = performance.now();
      },
    });
  }
  await site.configure(configuration(7, "r-x73d3zj"));
  await sleep(4_000);
  const call = (path: string, options: Sent = {}): Promise<Answer> =>
    send(site.entry(0), path, {
      ...options,
      headers: { Host: HOST, ...options.headers },
    });
  const answer = await call(`${PREFIX}7c41e0`, {
    method: "POST",
    body: job(),
    headers: { "Request-Id": JOB, "Content-Type": "application/json" },
  });
  site.note(`batch job submitted: ${answer.status}`);
  if (answer.status !== 202) throw new Error("the batch job is not accepted");
  const acceptedMs = performance.now();
  await sleep(CHANGE_AFTER_MS);
  site.note(`${begun.size} items have begun`);
  // Without the disruption the configuration changes too, but the route keeps its name.
  await site.configure(configuration(9, trouble ? "r-k20aqc8" : "r-x73d3zj"));
  const items = GROUPS * GROUP_SIZE;
  let listed = 0;
  while (performance.now() < acceptedMs + DEADLINE_MS && listed < items) {
    const read = await call(`/lots/${JOB}?after=0`);
    if (read.status === 200) listed = JSON.parse(read.text).results.length;
    site.note(
      `results read: ${read.status}, ${listed} of ${items} items are listed`,
    );
    await sleep(500);
  }
  const idleMs = performance.now() - lastBeganMs;
  const waiting = items - begun.size;
  site.note(
    `${waiting} of ${items} items have been at no worker; the last run began ${
      idleMs.toFixed(0)
    } ms before the end`,
  );
  return waiting === 0 || begun.size === 0 || idleMs < IDLE_MS;
});
