/**
 * Clients ask for streams on a route that names a time-out. One of six workers goes dark. The streams that were sent to
 * it have to get their answer, at the latest half a second after the time-out of their route.
 */
import { type Answer, runCase, send, sleep } from "../lib/site.ts";

const HOST = "ficu95.example";
const MODEL = "daka510000";
const SERVICE = "huvo11a";
const WORKERS = 6;
const TIMEOUT_MS = 1_000;
const OBJECTIVE_MS = 400;
const DEADLINE_MS = 2_000;
/** The rule allows this time after the time-out. */
const SLACK_MS = 500;
/** A client abandons a stream after two seconds without an event, with this objective and pauses of 150 ms. */
const PATIENCE_MS = 2_000;
const DARK_MS = 4_500;
const INTERVAL_MS = 15;
/** The least number of late requests that the rule counts. */
const LEAST_LATE = 8;

const CONFIGURATION = {
  version: 7,
  routes: [{
    name: "r-x73d3zj",
    hostname: HOST,
    path_prefix: "/pufi791/",
    kind: "streaming",
    timeout_ms: TIMEOUT_MS,
    target_latency_ms: OBJECTIVE_MS,
    priority: 1,
    service: SERVICE,
    max_attempts: 3,
    sticky: true,
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
};

await runCase(async (site, trouble) => {
  for (let number = 0; number < WORKERS; number += 1) {
    site.startWorker(`engine-${number}`, {
      number,
      zone: number % site.zones.length,
      service: SERVICE,
      models: [MODEL],
    });
  }
  await site.configure(CONFIGURATION);
  let sent = 0;
  const stream = async (): Promise<Answer> => {
    sent += 1;
    const id = sent.toString(16).padStart(16, "0");
    const zone = sent % site.zones.length;
    site.note(`stream ${id} sent to entry-${zone}`);
    const answer = await send(site.entry(zone), `/pufi791/${id}`, {
      method: "POST",
      headers: {
        Host: HOST,
        "Request-Id": id,
        "Deadline-Ms": String(DEADLINE_MS),
        Model: MODEL,
        "Token-Counts": "540,400",
        "Prompt-Prefix": `9c2e41:300,${id}:240`,
      },
      body: "prompt",
      limitMs: PATIENCE_MS,
    });
    const { status, outcome, tookMs } = answer;
    site.note(`stream ${id}: ${status}, ${outcome} after ${tookMs} ms`);
    return answer;
  };
  await site.waitFor("streams are answered", async () => {
    const answers = await Promise.all([stream(), stream(), stream()]);
    return answers.every(({ status }) => status === 200);
  });
  // The machines have been undisturbed for `contact_ms`.
  await sleep(3_500);
  if (trouble) site.signal("engine-0", "SIGSTOP");
  const pending: Promise<Answer>[] = [];
  const untilMs = performance.now() + DARK_MS - PATIENCE_MS;
  while (performance.now() < untilMs) {
    pending.push(stream());
    await sleep(INTERVAL_MS);
  }
  const answers = await Promise.all(pending);
  if (trouble) site.signal("engine-0", "SIGKILL");
  const open = answers.filter(({ tookMs }) => tookMs > TIMEOUT_MS);
  const late = open.filter(({ tookMs }) => tookMs > TIMEOUT_MS + SLACK_MS);
  site.note(
    `${answers.length} streams, ${open.length} without their answer at ${TIMEOUT_MS} ms, ${late.length} of these still at ${
      TIMEOUT_MS + SLACK_MS
    } ms`,
  );
  if (answers.length === 0) throw new Error("no stream was sent");
  return late.length < LEAST_LATE || late.length * 2 <= open.length;
});
