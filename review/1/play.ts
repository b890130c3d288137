/**
 * A batch job is accepted, done and read. Then a valid configuration removes its route. The results have to stay
 * readable until `status_s` after the submission.
 */
import { type Answer, runCase, send, type Sent, sleep } from "../lib/site.ts";

const HOST = "ficu95.example";
const JOB = "7c41e09b52d6a3f8";
const ITEMS = 8;
const SETTLE_MS = 1_000;
const READS = 20;

const rollout = (name: string, prefix: string): unknown => ({
  name,
  hostname: HOST,
  path_prefix: prefix,
  kind: "rollout",
  timeout_ms: 10_000,
  target_latency_ms: 400,
  priority: 1,
  service: "huvo11a",
  max_attempts: 3,
  max_queue_s: 40,
  due_ms: 7_500,
  single_version: false,
  sticky: true,
  resumable: true,
});

const configuration = (
  version: number,
  withRoute: boolean,
): { readonly version: number } & Record<string, unknown> => ({
  version,
  routes: [
    {
      name: "r-a3hwrr6",
      hostname: HOST,
      path_prefix: "/lohu930/",
      kind: "idempotent",
      timeout_ms: 2_000,
      target_latency_ms: 186,
      priority: 2,
      service: "wuno96b",
      max_attempts: 2,
    },
    ...(withRoute ? [rollout("r-x73d3zj", "/pufi791/")] : []),
  ],
  services: [
    {
      name: "huvo11a",
      health_path: "/healthz",
      max_conns: 150,
      protocol: "h1",
      tls: false,
      engine: {
        slots: 12,
        kv_capacity_tokens: 102_972,
        kv_token_bytes: 163_840,
        models: [{ name: "daka510000" }],
      },
    },
    {
      name: "wuno96b",
      health_path: "/healthz",
      max_conns: 96,
      protocol: "h1",
      tls: false,
    },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 33_554_432,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
});

function job(): string {
  const items = [];
  for (let at = 0; at < ITEMS; at += 1) {
    items.push({
      id: `e5b2907c14da6f${at}`,
      path: `/pufi791/3/${at}`,
      headers: {
        Model: "daka510000",
        "Token-Counts": "540,400",
        "Prompt-Prefix": `9c2e41:300,5d07b${at}:240`,
      },
      body: Buffer.from(`prompt ${at}`).toString("base64"),
      tokens: 940,
      group: `g${Math.floor(at / 4)}`,
    });
  }
  return JSON.stringify({
    step: 0,
    model: "daka510000",
    min_version: 1,
    desired: 2,
    items,
  });
}

await runCase(async (site, trouble) => {
  for (const zone of site.zones.keys()) {
    site.startWorker(`engine-${zone}`, {
      number: zone,
      zone,
      service: "huvo11a",
      models: ["daka510000"],
    });
    site.startWorker(`plain-${zone}`, {
      number: 10 + zone,
      zone,
      service: "wuno96b",
    });
  }
  await site.configure(configuration(7, true));
  const call = (
    zone: number,
    path: string,
    options: Sent = {},
  ): Promise<Answer> =>
    send(site.entry(zone), path, {
      ...options,
      headers: { Host: HOST, ...options.headers },
    });
  const body = job();
  await site.waitFor("the batch job is accepted", async () => {
    const answer = await call(0, "/pufi791/7c41e0", {
      method: "POST",
      body,
      headers: { "Request-Id": JOB, "Content-Type": "application/json" },
    });
    site.note(`batch job submitted: ${answer.status}`);
    return answer.status === 202;
  });
  const acceptedMs = performance.now();
  const read = async (zone: number): Promise<Answer> => {
    const answer = await call(zone, `/lots/${JOB}?after=0`);
    const { status, text, tookMs } = answer;
    site.note(
      `results read at entry-${zone}: ${status} ${
        JSON.stringify(text.slice(0, 160))
      } (${tookMs} ms)`,
    );
    return answer;
  };
  let before = "";
  await site.waitFor("all items are listed", async () => {
    const answer = await read(0);
    if (answer.status !== 200) return false;
    before = answer.text;
    return JSON.parse(before).results.length === ITEMS;
  });
  // Without the disruption the configuration changes too, but keeps the route.
  await site.configure(configuration(9, !trouble));
  await sleep(SETTLE_MS + 3_000);
  let lost = 0;
  for (let at = 0; at < READS; at += 1) {
    const answer = await read(at % site.zones.length);
    if (answer.status === 404 || answer.status === 410) lost += 1;
    if (answer.status === 200 && answer.text !== before) lost += 1;
    await sleep(200);
  }
  const seconds = (performance.now() - acceptedMs) / 1_000;
  site.note(
    `${lost} of ${READS} reads lost the batch job, ${
      seconds.toFixed(0)
    } s after its 202`,
  );
  return lost === 0;
});
