/**
 * Checks the platform's program on the data of another build and in one cluster with processes of that build.
 *
 * @module
 */
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import type { Address, FleetRole, Milliseconds } from "#core";
import { type JsonCall, JsonClient, type JsonResponse } from "#fakes";
import { FakeWorker } from "#platform";
import { delay, type ManagedProcess, waitUntil } from "./managed_process.ts";
import {
  electLeaderFrom,
  restartFrom,
  THIS_PROGRAMS,
} from "./mixed_builds_leader.ts";
import { NodeCluster } from "./node_cluster.ts";

const SITE = { block: "127.9", network: 31 };
const HOST = "site.example";
const ROLES: readonly FleetRole[] = ["control", "store", "entry"];
const ZONES = [0, 1, 2];
const HEARTBEAT_MS: Milliseconds = 300;
const CALL_TIMEOUT_MS: Milliseconds = 5_000;
const TIMEOUT_MS: Milliseconds = 90_000;
const STORE_START_MS: Milliseconds = 3_000;
const EVENTS_PER_ITEM = [5, 80, 80, 120, 30, 60];

interface BatchPage {
  readonly results: readonly {
    readonly id: string;
    readonly state: string;
    readonly text: string;
    readonly versions: readonly number[];
  }[];
}

/** Runs all checks; throws on the first failure. */
export async function checkPlatform(otherPrograms: string): Promise<void> {
  const cluster = new NodeCluster({ ...SITE, programs: otherPrograms });
  const workers = createWorkers(cluster);
  let turn = 0;
  let heartbeats: NodeJS.Timeout | undefined;
  try {
    await cluster.start();
    // Another checkout may have used the addresses until now.
    heartbeats = setInterval(() => {
      turn += 1;
      const control = cluster.controlAddress(turn % ZONES.length);
      for (const worker of workers) worker.sendHeartbeat(control);
    }, HEARTBEAT_MS);
    for (const worker of workers) await worker.listen();
    const check = new PlatformCheck(cluster);
    await check.replaceConfiguration();
    for (const zone of ZONES) {
      await cluster.vm("entry", zone).waitUntilReady(TIMEOUT_MS);
    }
    await check.callService("other build");
    await check.submitBatch("batch-1");
    const listed = await check.waitForFirstResults("batch-1");

    for (const vm of clusterProcesses(cluster)) await vm.kill();
    for (const vm of clusterProcesses(cluster)) restartFrom(vm, THIS_PROGRAMS);
    await waitUntilReady(clusterProcesses(cluster));
    await check.finishBatch("batch-1", listed);
    await check.callService("this build on the data of the other");

    for (const [at, vm] of clusterProcesses(cluster).entries()) {
      if (at % 2 === 0) continue;
      await vm.stop();
      restartFrom(vm, otherPrograms);
      await waitUntilReady([vm]);
    }
    for (const programs of [otherPrograms, THIS_PROGRAMS, otherPrograms]) {
      const build = programs === THIS_PROGRAMS ? "this" : "other";
      const id = check.nextBatchId();
      await check.submitBatch(id);
      const before = await check.waitForFirstResults(id);
      const names: string[] = [];
      for (const role of ["control", "store"] as const) {
        const replicas = new Map(ZONES.map((zone) => [
          cluster.host(role, zone),
          cluster.vm(role, zone),
        ]));
        names.push((await electLeaderFrom(replicas, programs)).name);
      }
      await check.publishVersion();
      await check.replaceConfiguration();
      await check.callService(`both builds, ${build} build leads (${names})`);
      await check.finishBatch(id, before);
    }
    await check.checkStoredResults();
  } finally {
    clearInterval(heartbeats);
    for (const worker of workers) worker.close();
    await cluster.close();
  }
}

function createWorkers(cluster: NodeCluster): readonly FakeWorker[] {
  return ["m1", "m2", "c1", "c2"].map((id, at) => {
    const isEngine = id.startsWith("m");
    return new FakeWorker({
      id,
      service: isEngine ? "models" : "cards",
      zone: `z${at % ZONES.length + 1}`,
      address: cluster.fakeAddress(at),
      models: isEngine ? ["m"] : [],
      eventMs: 40,
      startedMs: Date.now(),
    });
  });
}

/** Waits until processes are ready. A store VM has no readiness endpoint, so the wait includes a fixed time for it. */
async function waitUntilReady(
  processes: readonly ManagedProcess[],
): Promise<void> {
  await delay(STORE_START_MS);
  for (const each of processes) {
    if (!each.name.startsWith("store")) await each.waitUntilReady(TIMEOUT_MS);
  }
}

function clusterProcesses(cluster: NodeCluster): readonly ManagedProcess[] {
  return ROLES.flatMap((role) => ZONES.map((zone) => cluster.vm(role, zone)));
}

/** Sends calls, configurations, versions and batches to one cluster, and checks their results after restarts. */
class PlatformCheck {
  readonly #cluster: NodeCluster;
  readonly #client = new JsonClient();
  readonly #finishedResults = new Map<string, BatchPage["results"]>();
  #configuration = 0;
  #version = 1;
  #batch = 1;
  #calls = 0;

  constructor(cluster: NodeCluster) {
    this.#cluster = cluster;
  }

  /** Replaces the configuration by the next version, at the control VM of the next zone. */
  async replaceConfiguration(): Promise<void> {
    this.#configuration += 1;
    const zone = this.#configuration % ZONES.length;
    const version = this.#configuration;
    await this.#sendUntilStatus(`configuration ${version}`, 200, {
      to: this.#cluster.controlAddress(zone),
      method: "POST",
      path: "/config/replace",
      body: { ...CONFIGURATION, version },
    });
  }

  /** Publishes the next version of the model. */
  async publishVersion(): Promise<void> {
    this.#version += 1;
    await this.#sendUntilStatus(`version ${this.#version}`, 200, {
      to: this.#cluster.controlAddress(this.#version % ZONES.length),
      method: "POST",
      path: "/version-put",
      body: { model: "m", version: this.#version },
    });
  }

  /** Calls the idempotent service through every entry VM. */
  async callService(what: string): Promise<void> {
    for (const zone of ZONES) {
      this.#calls += 1;
      const id = `call-${this.#calls}`;
      const answer = await this.#sendUntilStatus(
        `a call through zone ${zone}`,
        200,
        {
          to: this.#cluster.callerAddress(zone),
          method: "POST",
          path: "/cards/save",
          headers: { "Request-Id": id, "Deadline-Ms": "2000" },
          body: { id },
        },
      );
      assert.equal(answer.text, `done ${JSON.stringify({ id })}`);
    }
    console.log(
      `${what}: calls through ${ZONES.length} entry VMs, ` +
        `configuration ${this.#configuration}, version ${this.#version}`,
    );
  }

  /** Returns the identifier of the next batch. */
  nextBatchId(): string {
    this.#batch += 1;
    return `batch-${this.#batch}`;
  }

  /** Submits a batch, with retries until it is accepted. */
  async submitBatch(id: string): Promise<void> {
    await this.#sendUntilStatus(`${id} is accepted`, 202, {
      to: this.#cluster.callerAddress(this.#batch % ZONES.length),
      method: "POST",
      path: "/tuning/submit",
      headers: { "Request-Id": id },
      body: {
        step: this.#batch,
        model: "m",
        min_version: this.#version,
        desired: 1,
        items: EVENTS_PER_ITEM.map((events, at) => ({
          id: `${id}-${at}`,
          path: "/tuning/x",
          headers: { Model: "m", "Token-Counts": `10,${events}` },
          body: Buffer.from(`body ${id} ${at}`).toString("base64"),
          tokens: 10 + events,
          group: `g${at % 2}`,
        })),
      },
    });
  }

  /** Waits until the first results of a batch are listed; items must still be running. */
  async waitForFirstResults(id: string): Promise<BatchPage["results"]> {
    let results: BatchPage["results"] = [];
    await waitUntil(`first results of ${id}`, TIMEOUT_MS, async () => {
      results = await this.#readResults(id, 0) ?? results;
      return results.length > 0;
    });
    assert.ok(
      results.length < EVENTS_PER_ITEM.length,
      `${id} finished too early`,
    );
    return results;
  }

  /** Waits until a batch is complete, and checks its texts and that earlier listed results are unchanged. */
  async finishBatch(id: string, listed: BatchPage["results"]): Promise<void> {
    let results: BatchPage["results"] = [];
    await waitUntil(`${id} is complete`, TIMEOUT_MS, async () => {
      results = await this.#readResults(id, 1) ?? results;
      return results.length === EVENTS_PER_ITEM.length;
    });
    assert.deepEqual(results.slice(0, listed.length), listed);
    for (const result of results) {
      const at = Number(result.id.split("-").at(-1));
      const expected = Array.from(
        { length: EVENTS_PER_ITEM[at] ?? 0 },
        (_, event) => `${result.id}-${event}`,
      );
      assert.equal(result.state, "completed");
      assert.deepEqual(result.text.split("\n"), expected);
    }
    this.#finishedResults.set(id, results);
    console.log(
      `${id}: ${results.length} texts complete, ${listed.length} listed before the restarts unchanged`,
    );
  }

  /** Checks at every entry VM that the results of all finished batches are unchanged. */
  async checkStoredResults(): Promise<void> {
    for (const [id, results] of this.#finishedResults) {
      for (const zone of ZONES) {
        let stored: BatchPage["results"] | undefined;
        await waitUntil(`${id} is read`, TIMEOUT_MS, async () => {
          stored = await this.#readResults(id, zone);
          return stored !== undefined;
        });
        assert.deepEqual(stored, results);
      }
    }
    console.log(`stored: results of ${this.#finishedResults.size} batches`);
  }

  async #readResults(
    id: string,
    zone: number,
  ): Promise<BatchPage["results"] | undefined> {
    const answer = await this.#send({
      to: this.#cluster.callerAddress(zone),
      method: "GET",
      path: `/lots/${id}?after=0`,
      headers: { "Wait-Ms": "200" },
    });
    if (answer.status !== 200) return undefined;
    return (JSON.parse(answer.text) as BatchPage).results;
  }

  async #sendUntilStatus(
    what: string,
    status: number,
    call: PlatformCall,
  ): Promise<JsonResponse> {
    let answer: JsonResponse | undefined;
    await waitUntil(what, TIMEOUT_MS, async () => {
      answer = await this.#send(call);
      return answer.status === status;
    });
    return answer as JsonResponse;
  }

  #send(call: PlatformCall): Promise<JsonResponse> {
    const { to, headers, ...rest } = call;
    return this.#client.send({
      ...rest,
      headers: { Host: HOST, ...headers },
      baseUrl: `http://${to.host}:${to.port}`,
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }
}

type PlatformCall = Omit<JsonCall, "baseUrl" | "timeoutMs"> & {
  readonly to: Address;
};

const CONFIGURATION = {
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
