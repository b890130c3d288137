import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import {
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import { test } from "node:test";
import type { Address, Milliseconds } from "#core";
import { FakeWorker } from "#platform";
import { ENDLESS_BODIES, EndlessWorker } from "./endless_worker.ts";
import { delay, waitUntil } from "./managed_process.ts";
import { NodeCluster } from "./node_cluster.ts";

const TIMEOUT_MS: Milliseconds = 60_000;
const HOST = "site.example";
const ZONES = [0, 1, 2];
/** The smallest entry VM of the users' sites. */
const MEMORY_MEGABYTES = 200;
const SOUND_WORKERS = 4;
const ENDLESS_WORKERS = 2;
const LOAD_MS: Milliseconds = 3_000;
const CALL_INTERVAL_MS: Milliseconds = 7;
const SOUND_LATENCY_MS: Milliseconds = 120;
/** One of so many callers sends a call and reads nothing. */
const SILENT_CALLER_INTERVAL = 16;
const HEARTBEAT_MS: Milliseconds = 300;

const route = (name: string, fields: Record<string, unknown>): unknown => ({
  name,
  hostname: HOST,
  path_prefix: `/${name}/`,
  timeout_ms: 2_000,
  target_latency_ms: 400,
  service: "cards",
  max_attempts: 2,
  ...fields,
});
const CONFIGURATION = {
  version: 3,
  routes: [
    route("calls", { kind: "idempotent" }),
    route("once", { kind: "non_idempotent" }),
    route("streams", { kind: "streaming", resumable: true }),
  ],
  services: [{ name: "cards", max_conns: 500 }],
};

/** Responds like a sound worker. */
async function answer(
  received: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  received.resume();
  await delay(SOUND_LATENCY_MS);
  response.setHeader("Request-Id", String(received.headers["request-id"]));
  response.setHeader("Response-Stamp", "s");
  if (received.url?.startsWith("/streams/") !== true) {
    response.end("whole");
    return;
  }
  response.setHeader("Content-Type", "text/event-stream");
  for (let id = 0; id < 3; id += 1) response.write(`id: ${id}\ndata: a\n\n`);
  response.end();
}

async function startSoundWorker({ host, port }: Address): Promise<Server> {
  const server = createServer((received, response) => {
    void answer(received, response);
  });
  await new Promise<void>((resolve) =>
    server.listen({ host, port }, () => resolve())
  );
  return server;
}

/** Sends a call and reads its response, or nothing of it; resolves with its status, 0 if there is none. */
function call(
  to: Address,
  path: string,
  options: { readonly id: string; readonly reads: boolean },
): Promise<number> {
  return new Promise((resolve) => {
    const sent = request({
      ...to,
      path,
      method: "POST",
      agent: false,
      headers: { Host: HOST, "Request-Id": options.id, "Deadline-Ms": "2000" },
    }, (response) => {
      if (!options.reads) return response.pause();
      response.resume();
      // A response that breaks off has no status that counts.
      response.on("error", () => resolve(0));
      response.on("end", () => resolve(response.statusCode ?? 0));
      return response;
    });
    sent.setTimeout(2_500, () => sent.destroy());
    // The VM closes what it can't answer.
    sent.on("error", () => resolve(0));
    sent.on("close", () => resolve(0));
    sent.end("card");
  });
}

function putConfiguration(to: Address): Promise<number> {
  return new Promise((resolve) => {
    const sent = request({
      ...to,
      path: "/config/replace",
      method: "POST",
      agent: false,
    }, (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    });
    // No leader yet.
    sent.on("error", () => resolve(0));
    sent.end(JSON.stringify(CONFIGURATION));
  });
}

/** Returns the highest resident memory of a process so far, in megabytes. */
function peakMegabytes(processId: number | undefined): number {
  const status = readFileSync(`/proc/${processId}/status`, "utf8");
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) / 1_024;
}

// Guards against an entry VM that runs out of memory by responses of a faulty worker that never end.
test("entry VMs stay within their memory while workers send bodies and events without end", async (context) => {
  const cluster = new NodeCluster({
    block: "127.8",
    network: 12,
    nodeFlags: "--max-semi-space-size=4",
    memoryMegabytes: MEMORY_MEGABYTES,
  });
  const sound: Server[] = [];
  const endless: EndlessWorker[] = [];
  const heartbeats: FakeWorker[] = [];
  let beating: NodeJS.Timeout | undefined;
  try {
    await cluster.start();
    for (let number = 0; number < SOUND_WORKERS + ENDLESS_WORKERS; number++) {
      const address = cluster.fakeAddress(number);
      const worker = new FakeWorker({
        id: `w${number}`,
        service: "cards",
        zone: `z${1 + number % ZONES.length}`,
        address,
        models: [],
        eventMs: 10,
        startedMs: Date.now(),
      });
      heartbeats.push(worker);
      if (number >= ENDLESS_WORKERS) {
        sound.push(await startSoundWorker(address));
        continue;
      }
      const troubled = new EndlessWorker();
      await troubled.listen(address);
      endless.push(troubled);
    }
    for (const zone of ZONES) {
      await cluster.vm("control", zone).waitUntilReady(TIMEOUT_MS);
    }
    await waitUntil(
      "the configuration is accepted",
      TIMEOUT_MS,
      async () => await putConfiguration(cluster.controlAddress(0)) === 200,
    );
    const beat = (): void => {
      for (const [number, worker] of heartbeats.entries()) {
        void worker.sendHeartbeat(cluster.controlAddress(number % 3));
      }
    };
    beating = setInterval(beat, HEARTBEAT_MS);
    let count = 0;
    const send = (path: string, reads = true): Promise<number> => {
      count += 1;
      const id = count.toString(16).padStart(16, "0");
      return call(cluster.callerAddress(count % 3), `/${path}/${id}`, {
        id,
        reads,
      });
    };
    for (const zone of ZONES) {
      await cluster.vm("entry", zone).waitUntilReady(TIMEOUT_MS);
    }
    await waitUntil(
      "calls are served",
      TIMEOUT_MS,
      async () => await send("calls") === 200,
    );
    for (const body of ENDLESS_BODIES) {
      for (const worker of endless) worker.body = body;
      const statuses: Record<string, number> = {};
      const untilMs = performance.now() + LOAD_MS;
      const pending: Promise<void>[] = [];
      const asked = endless.map(({ requests }) => requests);
      while (performance.now() < untilMs) {
        const path = body === "event"
          ? "streams"
          : count % 3 === 0
          ? "once"
          : "calls";
        const reads = count % SILENT_CALLER_INTERVAL !== 0;
        const sent = send(path, reads);
        if (reads) {
          pending.push(sent.then((status) => {
            const key = `${path} ${status}`;
            statuses[key] = (statuses[key] ?? 0) + 1;
          }));
        }
        await delay(CALL_INTERVAL_MS);
      }
      await Promise.all(pending);
      const peaks = ZONES.map((zone) =>
        peakMegabytes(cluster.vm("entry", zone).processId).toFixed(0)
      );
      const reached = endless.map(({ requests }, at) =>
        requests - (asked[at] ?? 0)
      );
      context.diagnostic(
        `${body}: ${
          JSON.stringify(statuses)
        }, ${reached} calls without end, ${peaks} MB`,
      );
    }
    for (const zone of ZONES) {
      const entry = cluster.vm("entry", zone);
      assert.ok(entry.isRunning);
      const megabytes = peakMegabytes(entry.processId);
      assert.ok(
        megabytes < MEMORY_MEGABYTES,
        `${megabytes} MB in zone ${zone}`,
      );
    }
  } finally {
    clearInterval(beating);
    for (const worker of [...sound, ...endless]) worker.close();
    for (const worker of sound) worker.closeAllConnections();
    await cluster.close();
  }
});
