import assert from "node:assert/strict";
import { test } from "node:test";
import type { Milliseconds } from "#core";
import { FakeWorker } from "#platform";
import { delay, waitUntil } from "./managed_process.ts";
import { exchange } from "../soak/soak_exchange.ts";
import { NodeCluster } from "./node_cluster.ts";

const SITE = { block: "127.8", network: 10 };
const HOST = "site.example";
const TIMEOUT_MS: Milliseconds = 60_000;
const RESTART_MS: Milliseconds = 300;
/** More than the crashes after which a caller's call is blocked. */
const CRASHES = 5;
const CRASHING_ITEM = "job-1-0";
const CONFIGURATION = {
  version: 3,
  routes: [{
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
  }],
  services: [{
    name: "models",
    max_conns: 50,
    engine: { slots: 8, kv_capacity_tokens: 50_000, models: [{ name: "m" }] },
  }],
};

function batchBody(): string {
  const items = [0, 1, 2].map((at) => ({
    id: `job-1-${at}`,
    path: "/tuning/x",
    headers: { Model: "m", "Token-Counts": "10,8" },
    body: Buffer.from(`body ${at}`).toString("base64"),
    tokens: 18,
    group: `g${at}`,
  }));
  return JSON.stringify({
    step: 1,
    model: "m",
    min_version: 1,
    desired: 1,
    items,
  });
}

/** Engines that crash under one item, and start again under another identifier. */
class CrashingEngines {
  crashes = 0;
  readonly #cluster: NodeCluster;
  readonly #live = new Map<number, FakeWorker>();
  readonly #restarts: Promise<void>[] = [];
  #incarnations = 0;

  constructor(cluster: NodeCluster) {
    this.#cluster = cluster;
  }

  async start(at: number): Promise<void> {
    this.#incarnations += 1;
    const worker = new FakeWorker({
      id: `m${at}-${this.#incarnations}`,
      service: "models",
      zone: `z${at + 1}`,
      address: this.#cluster.fakeAddress(at),
      models: ["m"],
      eventMs: 20,
      startedMs: Date.now(),
      onRun: ({ id }) => {
        if (id !== CRASHING_ITEM || this.crashes >= CRASHES) return false;
        this.#restarts.push(this.#crash(at));
        return true;
      },
    });
    await worker.listen();
    this.#live.set(at, worker);
  }

  sendHeartbeats(turn: number): void {
    for (const worker of this.#live.values()) {
      void worker.sendHeartbeat(this.#cluster.controlAddress(turn % 3));
    }
  }

  /** Ends the engines once those that crashed have started again. */
  async close(): Promise<void> {
    await Promise.all(this.#restarts);
    for (const worker of this.#live.values()) worker.close();
  }

  async #crash(at: number): Promise<void> {
    this.crashes += 1;
    this.#live.get(at)?.close();
    this.#live.delete(at);
    await delay(RESTART_MS);
    await this.start(at);
  }
}

test("an item under which engines crash more often than a call may is still owed and completed", async () => {
  const cluster = new NodeCluster(SITE);
  const engines = new CrashingEngines(cluster);
  let heartbeats: NodeJS.Timeout | undefined;
  let turn = 0;
  try {
    await cluster.start();
    for (const at of [0, 1, 2]) await engines.start(at);
    heartbeats = setInterval(() => engines.sendHeartbeats(turn += 1), 300);
    const put = {
      method: "POST" as const,
      path: "/config/replace",
      headers: {},
      body: JSON.stringify(CONFIGURATION),
    };
    await waitUntil(
      "the configuration is stored",
      TIMEOUT_MS,
      async () =>
        (await exchange(cluster.controlAddress(0), put)).status === 200,
    );
    await cluster.vm("entry", 0).waitUntilReady(TIMEOUT_MS);
    const caller = cluster.callerAddress(0);
    const headers = { Host: HOST, "Request-Id": "job-1" };
    const path = "/tuning/submit";
    const submit = {
      method: "POST" as const,
      path,
      headers,
      body: batchBody(),
    };
    await waitUntil(
      "the batch is accepted",
      TIMEOUT_MS,
      async () => (await exchange(caller, submit)).status === 202,
    );
    const read = {
      method: "GET" as const,
      path: "/lots/job-1",
      headers,
      body: "",
    };
    await waitUntil("all items are completed", TIMEOUT_MS, async () => {
      const { status, text } = await exchange(caller, read);
      if (status !== 200) return false;
      const { results } = JSON.parse(text) as {
        readonly results: readonly { readonly state: string }[];
      };
      const states = results.map(({ state }) => state);
      return states.filter((state) => state === "completed").length === 3;
    });
    assert.equal(engines.crashes, CRASHES);
  } finally {
    clearInterval(heartbeats);
    await engines.close();
    await cluster.close();
  }
});
