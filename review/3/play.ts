/**
 * A worker leaves and is acknowledged; its last heartbeat before that arrives some seconds late. Meanwhile all control
 * and store processes are killed at the same moment and are back within a second. `drain_ms` after the acknowledgement
 * no request may reach the worker.
 */
import { type Answer, runCase, send, sleep } from "../lib/site.ts";

const HOST = "ficu95.example";
const SERVICE = "wuno96b";
const LEAVING = "plain-2";
const WORKERS = 3;
const CONTACT_MS = 3_000;
const DRAIN_MS = 2_000;
const KILL_AFTER_MS = 300;
const DOWN_MS = 200;
/** Time from the last start of a process to the arrival of the late heartbeat: all machines are in touch again. */
const ARRIVAL_MS = CONTACT_MS + 200;
const LATE_MS = KILL_AFTER_MS + DOWN_MS + ARRIVAL_MS;
const INTERVAL_MS = 12;

const CONFIGURATION = {
  version: 7,
  routes: [{
    name: "r-a3hwrr6",
    hostname: HOST,
    path_prefix: "/lohu930/",
    kind: "idempotent",
    timeout_ms: 2_000,
    target_latency_ms: 186,
    priority: 2,
    service: SERVICE,
    max_attempts: 2,
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
};

await runCase(async (site, trouble) => {
  let acknowledgedMs = Infinity;
  let inTouchMs = 0;
  let late = 0;
  let latestMs = 0;
  for (let number = 0; number < WORKERS; number += 1) {
    site.startWorker(`plain-${number}`, {
      number,
      zone: number,
      service: SERVICE,
      lateHeartbeatMs: LATE_MS,
      onLine: (line) => {
        if (number !== WORKERS - 1) return;
        const nowMs = performance.now();
        if (line === "leave acknowledged") acknowledgedMs = nowMs;
        if (!line.startsWith("runs ")) return;
        if (nowMs <= acknowledgedMs + DRAIN_MS || nowMs < inTouchMs) return;
        late += 1;
        latestMs = nowMs - acknowledgedMs;
      },
    });
  }
  await site.configure(CONFIGURATION);
  let sent = 0;
  let served = 0;
  const call = async (): Promise<Answer> => {
    sent += 1;
    const id = sent.toString(16).padStart(16, "0");
    const zone = sent % site.zones.length;
    const answer = await send(site.entry(zone), `/lohu930/${id}`, {
      method: "POST",
      headers: { Host: HOST, "Request-Id": id, "Deadline-Ms": "2000" },
      body: id,
    });
    if (answer.status === 200) served += 1;
    else site.note(`call ${id}: ${answer.status} ${answer.outcome}`);
    return answer;
  };
  await site.waitFor("calls are served", async () => {
    const answers = await Promise.all([call(), call(), call()]);
    return answers.every(({ status }) => status === 200);
  });
  let calling = true;
  const caller = (async () => {
    while (calling) {
      void call();
      await sleep(INTERVAL_MS);
    }
  })();
  await sleep(6_000);
  site.signal(LEAVING, "SIGUSR2");
  await sleep(KILL_AFTER_MS);
  if (acknowledgedMs === Infinity) throw new Error("no acknowledgement");
  if (trouble) {
    for (const zone of site.zones.keys()) {
      site.signal(`control-${zone}`, "SIGKILL");
      site.signal(`store-${zone}`, "SIGKILL");
    }
    await sleep(DOWN_MS);
    for (const zone of site.zones.keys()) {
      site.startMachine("control", zone, false);
      site.startMachine("store", zone, false);
    }
    site.note("all processes of the core are started again");
    inTouchMs = performance.now() + CONTACT_MS;
  }
  await sleep(ARRIVAL_MS + 3_000);
  calling = false;
  await caller;
  await sleep(500);
  site.note(`${served} of ${sent} calls served`);
  site.note(
    `${late} requests reached ${LEAVING} later than ${DRAIN_MS} ms after the acknowledgement, the last after ${
      latestMs.toFixed(0)
    } ms`,
  );
  return late === 0;
});
