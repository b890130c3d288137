import assert from "node:assert/strict";
import { test } from "node:test";
import type { Milliseconds } from "#core";
import { type ExecutedRequest, FakeWorker } from "#platform";
import { RawClient } from "../programs/http_testing.ts";
import { delay, waitUntil } from "./managed_process.ts";
import { NodeCluster } from "./node_cluster.ts";

const SITE = { block: "127.8", network: 9 };
const HOST = "site.example";
const TIMEOUT_MS: Milliseconds = 60_000;
const GRACE_MS: Milliseconds = 8_000;
/** When late requests are sent, after the load balancer has noticed the stop. */
const LATE_MS: Milliseconds = 4_000;

function route(name: string, kind: string): unknown {
  return {
    name,
    hostname: HOST,
    path_prefix: `/${name}/`,
    kind,
    timeout_ms: 20_000,
    target_latency_ms: 2_000,
    service: "cards",
    max_attempts: 1,
  };
}

const CONFIGURATION = {
  version: 3,
  routes: [route("once", "non_idempotent"), route("any", "idempotent")],
  services: [{ name: "cards", max_conns: 50 }],
};

function callText(path: string, deadlineMs: Milliseconds): string {
  return [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Request-Id: ${path.replaceAll("/", "-")}`,
    `Deadline-Ms: ${deadlineMs}`,
    "Content-Length: 4",
    "",
    "card",
  ].join("\r\n");
}

/** Never responds to calls whose path says so. */
function isEndless({ path }: ExecutedRequest): boolean {
  return path.endsWith("/endless");
}

test("in a planned stop no call is cut: late ones that may outlast it are rejected as not run, the last ones get a response", async () => {
  const cluster = new NodeCluster(SITE);
  const worker = new FakeWorker({
    id: "c1",
    service: "cards",
    zone: "z1",
    address: cluster.fakeAddress(1),
    models: [],
    eventMs: 40,
    startedMs: Date.now(),
    onRun: isEndless,
  });
  let turn = 0;
  let heartbeats: NodeJS.Timeout | undefined;
  try {
    await cluster.start();
    await worker.listen();
    heartbeats = setInterval(() => {
      turn += 1;
      void worker.sendHeartbeat(cluster.controlAddress(turn % 3));
    }, 300);
    await waitUntil("the configuration is stored", TIMEOUT_MS, async () => {
      const { host, port } = cluster.controlAddress(0);
      try {
        const response = await fetch(`http://${host}:${port}/config/replace`, {
          method: "POST",
          body: JSON.stringify(CONFIGURATION),
        });
        await response.body?.cancel();
        return response.ok;
      } catch {
        // The control VM does not listen yet.
        return false;
      }
    });
    await cluster.vm("entry", 0).waitUntilReady(TIMEOUT_MS);
    const address = cluster.callerAddress(0);
    await waitUntil("a call succeeds", TIMEOUT_MS, async () => {
      const client = new RawClient(address);
      client.send(callText("/any/first", 2_000));
      const reply = await client.until(/card$/);
      client.socket.destroy();
      return reply.startsWith("HTTP/1.1 200");
    });

    const lateEndless = new RawClient(address);
    const lateShort = new RawClient(address);
    const early = new RawClient(address);
    await delay(100);
    const stopped = cluster.vm("entry", 0).stop();
    const stoppedMs = performance.now();
    early.send(callText("/once/early/endless", 20_000));
    await delay(LATE_MS);
    lateEndless.send(callText("/once/late/endless", 20_000));
    lateShort.send(callText("/once/late/short", 1_000));

    assert.match(await lateEndless.untilClosed(), /^HTTP\/1.1 503/);
    assert.match(await lateShort.untilClosed(), /^HTTP\/1.1 200/);
    assert.match(await early.untilClosed(), /^HTTP\/1.1 504/);
    assert.ok(performance.now() - stoppedMs < GRACE_MS);
    assert.equal((await stopped).code, 0);
    const ran = worker.executedRequests.map(({ path }) => path);
    assert.ok(ran.includes("/once/early/endless"));
    assert.ok(ran.includes("/once/late/short"));
    assert.ok(!ran.includes("/once/late/endless"));
  } finally {
    clearInterval(heartbeats);
    worker.close();
    await cluster.close();
  }
});
