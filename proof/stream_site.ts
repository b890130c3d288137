/**
 * Real programs before workers of two software versions of one service, on a route whose streams may be resumed, with
 * callers that take up what breaks off.
 *
 * @module
 */
import { request } from "node:http";
import { type Address, type Milliseconds, SeededRandom } from "#core";
import { FakeWorker } from "#platform";
import { delay, waitUntil } from "./managed_process.ts";
import { NodeCluster } from "./node_cluster.ts";
import { requestStream, type StreamRecord } from "./stream_caller.ts";
import { countStreams, type StreamCounts } from "./stream_counts.ts";

const HOST = "site.example";
const SERVICE = "models";
const ZONES = [0, 1, 2];
const START_TIMEOUT_MS: Milliseconds = 60_000;
const HEARTBEAT_MS: Milliseconds = 300;
const EVENT_MS: Milliseconds = 20;
const WORKERS = 8;
/** Share of the runs that a worker breaks off, and the most events that it sends before. */
const BREAK_RATIO = 0.25;
const MAXIMUM_EVENTS_BEFORE_BREAK = 20;
/** How long a worker that has started again sends no heartbeat, as one that can't reach a control VM at once. */
const SILENT_START_MS: Milliseconds = 500;

const ENGINE = {
  slots: 8,
  kv_capacity_tokens: 50_000,
  models: [{ name: "m" }],
};

const configurationOf = (isPlain: boolean): unknown => ({
  version: 1,
  routes: [{
    name: "advice",
    hostname: HOST,
    path_prefix: "/advice/",
    kind: "streaming",
    resumable: true,
    timeout_ms: 8_000,
    target_latency_ms: 400,
    service: SERVICE,
    max_attempts: 3,
  }],
  services: [{
    name: SERVICE,
    max_conns: 150,
    ...(isPlain ? {} : { engine: ENGINE }),
  }],
});

/** Options of `StreamSite`. */
export interface StreamSiteOptions {
  readonly block: string;
  readonly network: number;
  readonly seed: number;
  /** Whether the service is a plain one, whose workers do not tell their start; false if absent. */
  readonly isPlain?: boolean;
}

/** Processes of all roles, workers and callers. */
export class StreamSite {
  readonly cluster: NodeCluster;
  readonly #random: SeededRandom;
  readonly #isPlain: boolean;
  readonly #workers = new Map<number, FakeWorker>();
  readonly #silent = new Set<FakeWorker>();
  readonly #heartbeats: NodeJS.Timeout;
  #streams = 0;

  private constructor(options: StreamSiteOptions) {
    this.cluster = new NodeCluster(options);
    this.#random = new SeededRandom(options.seed);
    this.#isPlain = options.isPlain === true;
    this.#heartbeats = setInterval(
      () => this.#sendHeartbeats(),
      HEARTBEAT_MS,
    );
  }

  /** Starts a site whose workers are half of them `v1`, half `v2`, and all of whose VMs are ready. */
  static async start(options: StreamSiteOptions): Promise<StreamSite> {
    const site = new StreamSite(options);
    await site.cluster.start();
    for (let at = 0; at < WORKERS; at += 1) {
      await site.startWorker(at, at % 2 === 0 ? "v1" : "v2");
    }
    await waitUntil(
      "the configuration is stored",
      START_TIMEOUT_MS,
      () =>
        putConfiguration(
          site.cluster.controlAddress(0),
          configurationOf(site.#isPlain),
        ),
    );
    await site.waitUntilReady();
    await waitUntil("a stream is complete", START_TIMEOUT_MS, async () => {
      const record = await site.#requestStream();
      return record.isComplete;
    });
    return site;
  }

  /** Ends all processes and workers. */
  async close(): Promise<void> {
    clearInterval(this.#heartbeats);
    for (const worker of this.#workers.values()) worker.close();
    await this.cluster.close();
  }

  /** Requests streams for a time, so many at once, and counts what came of them. */
  async load(
    options: { readonly spanMs: Milliseconds; readonly callers: number },
  ): Promise<StreamCounts> {
    const untilMs = performance.now() + options.spanMs;
    const records: StreamRecord[] = [];
    const runCaller = async (): Promise<void> => {
      while (performance.now() < untilMs) {
        records.push(await this.#requestStream());
      }
    };
    await Promise.all(Array.from({ length: options.callers }, runCaller));
    return countStreams(records);
  }

  /** Starts a worker, at the address and under the identifier that the one before with this number had. */
  async startWorker(at: number, softwareVersion: string): Promise<void> {
    const worker = await this.#listen(at, softwareVersion);
    await this.#sendHeartbeat(at, worker);
  }

  /** Lets a worker crash, and start again with other software under its identifier, at first without heartbeats. */
  async replaceWorker(
    at: number,
    options: {
      readonly softwareVersion: string;
      readonly downMs: Milliseconds;
    },
  ): Promise<void> {
    this.#workers.get(at)?.close();
    this.#workers.delete(at);
    await delay(options.downMs);
    const worker = await this.#listen(at, options.softwareVersion);
    this.#silent.add(worker);
    await delay(SILENT_START_MS);
    this.#silent.delete(worker);
  }

  /** Lets a worker say that it drains, and end. */
  async removeWorker(at: number, drainMs: Milliseconds): Promise<void> {
    const worker = this.#workers.get(at);
    if (worker === undefined) return;
    worker.drain();
    await this.#sendHeartbeat(at, worker);
    await delay(drainMs);
    this.#workers.delete(at);
    worker.close();
  }

  /** Kills the entry VMs of these zones at once and starts them again. */
  async killEntries(
    zones: readonly number[],
    downMs: Milliseconds,
  ): Promise<void> {
    await Promise.all(
      zones.map((zone) => this.cluster.vm("entry", zone).kill()),
    );
    await delay(downMs);
    for (const zone of zones) this.cluster.vm("entry", zone).restart();
  }

  /** Lets an entry VM stand still for a time. */
  async suspendEntry(zone: number, forMs: Milliseconds): Promise<void> {
    const vm = this.cluster.vm("entry", zone);
    vm.pause();
    await delay(forMs);
    vm.resume();
  }

  /** Resolves when all entry VMs are ready. */
  async waitUntilReady(): Promise<void> {
    for (const zone of ZONES) {
      await this.cluster.vm("entry", zone).waitUntilReady(START_TIMEOUT_MS);
    }
  }

  async #listen(at: number, softwareVersion: string): Promise<FakeWorker> {
    const worker = new FakeWorker({
      id: `w${at}`,
      service: SERVICE,
      zone: `z${1 + at % ZONES.length}`,
      address: this.cluster.fakeAddress(at),
      models: this.#isPlain ? [] : ["m"],
      eventMs: EVENT_MS,
      startedMs: Date.now(),
      softwareVersion,
      eventData: () => softwareVersion,
      eventsBeforeBreak: () =>
        this.#random.fraction() < BREAK_RATIO
          ? 1 + this.#random.below(MAXIMUM_EVENTS_BEFORE_BREAK)
          : null,
    });
    await worker.listen();
    this.#workers.set(at, worker);
    return worker;
  }

  #requestStream(): Promise<StreamRecord> {
    this.#streams += 1;
    const first = this.#streams;
    return requestStream(`stream-${first}`, {
      host: HOST,
      path: "/advice/x",
      model: "m",
      entryOf: (attempt) =>
        this.cluster.callerAddress((first + attempt) % ZONES.length),
    });
  }

  #sendHeartbeats(): void {
    for (const [at, worker] of this.#workers) {
      void this.#sendHeartbeat(at, worker);
    }
  }

  async #sendHeartbeat(at: number, worker: FakeWorker): Promise<void> {
    if (this.#silent.has(worker)) return;
    for (const zone of ZONES) {
      const to = this.cluster.controlAddress((at + zone) % ZONES.length);
      if (await worker.sendHeartbeat(to)) return;
    }
  }
}

async function putConfiguration(
  control: Address,
  configuration: unknown,
): Promise<boolean> {
  return await new Promise((resolve) => {
    const outgoing = request({
      host: control.host,
      port: control.port,
      method: "POST",
      path: "/config/replace",
      agent: false,
    }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    // No control VM leads yet; the caller sends it again.
    outgoing.on("error", () => resolve(false));
    outgoing.end(JSON.stringify(configuration));
  });
}
