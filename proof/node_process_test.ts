import assert from "node:assert/strict";
import { test } from "node:test";
import type { Address } from "#core";
import { FakeWorker } from "#platform";
import { delay, waitUntil } from "./managed_process.ts";
import { NodeCluster } from "./node_cluster.ts";

const SITE = { block: "127.8", network: 1 };
const TIMEOUT_MS = 60_000;
const HOST = "site.example";
const ZONES = [0, 1, 2];
const CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: "cards",
      hostname: HOST,
      path_prefix: "/cards/",
      kind: "idempotent",
      timeout_ms: 5_000,
      target_latency_ms: 2_000,
      service: "cards",
      max_attempts: 2,
    },
    {
      name: "tuning",
      hostname: HOST,
      path_prefix: "/tuning/",
      kind: "rollout",
      timeout_ms: 10_000,
      target_latency_ms: 400,
      service: "models",
      max_attempts: 3,
      max_queue_s: 60,
      due_ms: 7_500,
    },
  ],
  services: [
    { name: "cards", max_conns: 50 },
    {
      name: "models",
      max_conns: 50,
      engine: { slots: 8, kv_capacity_tokens: 50_000, models: [{ name: "m" }] },
    },
  ],
};

interface Reply {
  readonly status: number;
  readonly text: string;
}

/** Sends a call; returns status 0 if the VM does not respond. */
async function send(
  to: Address,
  path: string,
  options: {
    readonly method?: string;
    readonly headers?: Record<string, string>;
    readonly body?: unknown;
  } = {},
): Promise<Reply> {
  const { method = "GET", headers = {}, body } = options;
  try {
    const { request } = await import("node:http");
    return await new Promise((resolve, reject) => {
      const sent = request({
        host: to.host,
        port: to.port,
        path,
        method,
        agent: false,
        headers: { Host: HOST, ...headers },
      }, (answer) => {
        let text = "";
        answer.on("data", (part) => text += String(part));
        answer.on(
          "end",
          () => resolve({ status: answer.statusCode ?? 0, text }),
        );
        answer.on("error", reject);
      });
      sent.setTimeout(
        5_000,
        () => sent.destroy(new Error("no response within 5 s")),
      );
      sent.on("error", reject);
      sent.end(typeof body === "string" ? body : JSON.stringify(body));
    });
  } catch {
    // The VM is down; callers retry on status 0.
    return { status: 0, text: "" };
  }
}

function batchBody(
  id: string,
  texts: readonly number[],
  minimum: number,
): unknown {
  return {
    step: 1,
    model: "m",
    min_version: minimum,
    desired: 1,
    items: texts.map((events, at) => ({
      id: `${id}-${at}`,
      path: "/tuning/x",
      headers: { Model: "m", "Token-Counts": `10,${events}` },
      body: Buffer.from(`body ${id} ${at}`).toString("base64"),
      tokens: 10 + events,
      group: `g${at % 2}`,
    })),
  };
}

interface BatchPage {
  readonly total: number;
  readonly next: number;
  readonly results: readonly {
    readonly id: string;
    readonly state: string;
    readonly text: string;
    readonly versions: readonly number[];
  }[];
}

async function readResults(
  to: Address,
  id: string,
): Promise<BatchPage | undefined> {
  const reply = await send(to, `/lots/${id}?after=0`, {
    headers: { "Wait-Ms": "200" },
  });
  return reply.status === 200 ? JSON.parse(reply.text) : undefined;
}

test("processes of all roles serve calls and batches through the loss of a leader and a planned stop", async () => {
  const cluster = new NodeCluster(SITE);
  const workers = ["m1", "m2", "c1", "c2"].map((id, at) =>
    new FakeWorker({
      id,
      service: id.startsWith("m") ? "models" : "cards",
      zone: `z${at + 1}`,
      address: cluster.fakeAddress(at),
      models: id.startsWith("m") ? ["m"] : [],
      eventMs: 40,
      startedMs: Date.now(),
    })
  );
  let turn = 0;
  let heartbeats: NodeJS.Timeout | undefined;
  try {
    await cluster.start();
    // Another checkout may have used the addresses until now.
    heartbeats = setInterval(() => {
      for (const worker of workers) {
        turn += 1;
        worker.sendHeartbeat(cluster.controlAddress(turn % ZONES.length));
      }
    }, 300);
    for (const worker of workers) await worker.listen();

    await waitUntil(
      "the configuration is acknowledged",
      TIMEOUT_MS,
      async () => {
        const reply = await send(cluster.controlAddress(1), "/config/replace", {
          method: "POST",
          body: CONFIGURATION,
        });
        return reply.status === 200;
      },
    );
    const invalid = await send(cluster.controlAddress(0), "/config/replace", {
      method: "POST",
      body: { ...CONFIGURATION, version: 9, services: [] },
    });
    assert.equal(invalid.status, 400);
    for (const zone of ZONES) {
      await cluster.vm("entry", zone).waitUntilReady(TIMEOUT_MS);
    }

    await waitUntil("a call succeeds", TIMEOUT_MS, async () => {
      const reply = await send(cluster.callerAddress(0), "/cards/save?x=1", {
        method: "POST",
        headers: { "Request-Id": "call-1", "Deadline-Ms": "2000" },
        body: "card",
      });
      return reply.status === 200 && reply.text === "done card";
    });
    const missing = await send(cluster.callerAddress(0), "/nowhere/x", {
      headers: { "Request-Id": "call-2" },
    });
    assert.equal(missing.status, 404);

    const path = "/tuning/submit";
    const body = batchBody("job-1", [5, 60, 60, 10], 1);
    const headers = { "Request-Id": "job-1" };
    await waitUntil("a batch is accepted", TIMEOUT_MS, async () => {
      const reply = await send(cluster.callerAddress(1), path, {
        method: "POST",
        headers,
        body,
      });
      return reply.status === 202;
    });
    const resubmitted = await send(cluster.callerAddress(2), path, {
      method: "POST",
      headers,
      body,
    });
    assert.equal(resubmitted.status, 202);
    const duplicateItem = await send(cluster.callerAddress(0), path, {
      method: "POST",
      headers: { "Request-Id": "job-x" },
      body: { items: [{ id: "a" }, { id: "a" }] },
    });
    assert.equal(duplicateItem.status, 400);
    assert.equal(
      await readResults(cluster.callerAddress(0), "job-x"),
      undefined,
    );
    const stored = await send(
      cluster.callerAddress(0),
      "/items/job-1?id=job-1-1",
    );
    assert.equal(stored.text, "body job-1 1");

    let firstPage: BatchPage | undefined;
    await waitUntil("the short texts are listed", TIMEOUT_MS, async () => {
      firstPage = await readResults(cluster.callerAddress(0), "job-1");
      return (firstPage?.results.length ?? 0) >= 2;
    });
    const leader = await leadingStore(cluster);
    await cluster.vm("store", leader).kill();
    let completePage: BatchPage | undefined;
    await waitUntil("all texts are listed", TIMEOUT_MS, async () => {
      completePage = await readResults(cluster.callerAddress(2), "job-1");
      return completePage?.results.length === 4;
    });
    assert.deepEqual(
      completePage?.results.slice(0, firstPage?.results.length),
      firstPage?.results,
    );
    for (const result of completePage?.results ?? []) {
      const lines = result.text.split("\n");
      const expected = lines.map((_, at) => `${result.id}-${at}`);
      assert.deepEqual(lines, expected);
      assert.deepEqual(result.versions, [1]);
      assert.equal(result.state, "completed");
    }
    const resumed = workers.flatMap((worker) => worker.executedRequests)
      .filter((seen) => seen.lastEventId !== null);
    assert.notEqual(
      resumed.length,
      0,
      "no text was resumed after its last event",
    );
    cluster.vm("store", leader).restart();

    await waitUntil("a version is published", TIMEOUT_MS, async () => {
      const reply = await send(cluster.controlAddress(2), "/version-put", {
        method: "POST",
        body: { model: "m", version: 2 },
      });
      return reply.status === 200;
    });
    const secondBatch = batchBody("job-2", [4, 4], 2);
    await waitUntil("a second batch is accepted", TIMEOUT_MS, async () => {
      const reply = await send(cluster.callerAddress(0), path, {
        method: "POST",
        headers: { "Request-Id": "job-2" },
        body: secondBatch,
      });
      return reply.status === 202;
    });
    let secondPage: BatchPage | undefined;
    await waitUntil("the second batch is complete", TIMEOUT_MS, async () => {
      secondPage = await readResults(cluster.callerAddress(1), "job-2");
      return secondPage?.results.length === 2;
    });
    for (const result of secondPage?.results ?? []) {
      assert.deepEqual(result.versions, [2]);
    }
    const orders = workers.flatMap((worker) => worker.acceptedOrders);
    assert.equal(new Set(orders.map((order) => order.holder)).size, 1);

    for (let times = 0; times < 2; times += 1) {
      const deleted = await send(cluster.callerAddress(times), "/lots/job-2", {
        method: "DELETE",
      });
      assert.equal(deleted.status, 200);
    }
    const unknown = await send(cluster.callerAddress(0), "/lots/nothing");
    assert.equal(unknown.status, 404);

    const stopped = cluster.vm("entry", 0).stop();
    const statuses: number[] = [];
    for (let call = 0; call < 10; call += 1) {
      const reply = await send(cluster.callerAddress(0), "/cards/save", {
        method: "POST",
        headers: { "Request-Id": `stop-${call}`, "Deadline-Ms": "2000" },
        body: "card",
      });
      statuses.push(reply.status);
      await delay(50);
    }
    assert.deepEqual(statuses, Array.from({ length: 10 }, () => 200));
    assert.equal((await stopped).code, 0);
  } finally {
    clearInterval(heartbeats);
    for (const worker of workers) worker.close();
    await cluster.close();
  }
});

/** Returns the zone of a store VM that logged the start of item processing, the last of them if several did. */
async function leadingStore(cluster: NodeCluster): Promise<number> {
  let found = -1;
  await waitUntil("a store VM leads", TIMEOUT_MS, () => {
    for (const zone of ZONES) {
      if (cluster.vm("store", zone).logTail().includes('"event":2001')) {
        found = zone;
      }
    }
    return found >= 0;
  });
  return found;
}
