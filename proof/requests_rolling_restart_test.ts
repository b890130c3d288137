import assert from "node:assert/strict";
import { test } from "node:test";
import { Caller, streamSummary } from "./caller.ts";
import { delay, waitUntil } from "./managed_process.ts";
import { CLUSTER_DEFAULTS, ProcessCluster } from "./process_cluster.ts";
import { siteFakes } from "./site_fakes.ts";

const SITE = { block: "127.5", network: 21, zones: CLUSTER_DEFAULTS.zones };
const WORKERS = 8;
const CALLS_NEEDED = 2_000;
const PROBE_PERIOD_MS = 100;
const PATIENCE_MS = 120_000;
/** The balancer's probes are late on a busy machine; a stop must leave them time. */
const NOTICE = ["--drain-notice-ms", "2000"];

/** What a balancer knows: the entry VMs that say they are ready. */
class Balancer {
  readonly #cluster: ProcessCluster;
  readonly #names: readonly string[];
  #ready: readonly string[];
  #turn = 0;
  isDone = false;

  constructor(cluster: ProcessCluster) {
    this.#cluster = cluster;
    this.#names = cluster.vms("entry").map((vm) => vm.name);
    this.#ready = this.#names;
  }

  next(): string {
    this.#turn += 1;
    return this.#ready[this.#turn % this.#ready.length] ?? "";
  }

  async probe(): Promise<void> {
    while (!this.isDone) {
      const states = await Promise.all(this.#names.map(async (name) => {
        const isReady = await this.#cluster.process(name).isReady();
        return isReady ? [name] : [];
      }));
      this.#ready = states.flat();
      await delay(PROBE_PERIOD_MS);
    }
  }
}

/** Counts calls and keeps what went wrong. */
class Tally {
  calls = 0;
  readonly failures: string[] = [];

  count(what: string, wentWell: boolean): void {
    this.calls += 1;
    if (!wentWell) this.failures.push(what);
  }
}

async function work(
  worker: number,
  parts: {
    readonly cluster: ProcessCluster;
    readonly balancer: Balancer;
    readonly tally: Tally;
  },
): Promise<void> {
  const { cluster, balancer, tally } = parts;
  const caller = new Caller(cluster, { tenant: "tana", class: "lookup" });
  for (let call = 0; !balancer.isDone; call += 1) {
    const vm = balancer.next();
    const id = `card-${worker}-${call}`;
    if (call % 8 === 0) {
      const answer = await caller.completion(vm, {
        model: "advice",
        prompt: `E4 on unit ${worker}`,
        max_tokens: 40,
        stream: true,
      });
      const isWhole = streamSummary(answer.text).isComplete;
      tally.count(`stream at ${vm}: ${answer.status} ${answer.text}`, isWhole);
      continue;
    }
    const answer = await caller.service(vm, {
      method: "POST",
      service: "cards",
      path: "/cards",
      body: { id, work: "valve" },
      ...(call % 8 === 1 ? { key: id } : {}),
    });
    const wentWell = answer.status >= 200 && answer.status < 300;
    tally.count(`card at ${vm}: ${answer.status} ${answer.text}`, wentWell);
  }
}

/** Long polls for samples, of which there are none. */
async function poll(parts: {
  readonly cluster: ProcessCluster;
  readonly balancer: Balancer;
  readonly tally: Tally;
}): Promise<void> {
  const { cluster, balancer, tally } = parts;
  while (!balancer.isDone) {
    const vm = balancer.next();
    const answer = await cluster.call(vm, {
      method: "GET",
      path: "/v1/trainers/advice-tuning/samples?limit=1&wait_ms=1500",
    });
    const wentWell = answer.status === 200;
    tally.count(`poll at ${vm}: ${answer.status} ${answer.text}`, wentWell);
  }
}

test("a rolling restart of all six entry VMs under load cuts off no call", async () => {
  const cluster = await ProcessCluster.start({
    ...CLUSTER_DEFAULTS,
    ...SITE,
    flags: NOTICE,
    fakes: siteFakes({ ...SITE, models: ["advice"], engineFlags: [] }),
  });
  try {
    await cluster.waitForUpstreams(7);
    const balancer = new Balancer(cluster);
    const tally = new Tally();
    const parts = { cluster, balancer, tally };
    const running = [balancer.probe(), poll(parts), poll(parts)];
    for (let worker = 0; worker < WORKERS; worker += 1) {
      running.push(work(worker, parts));
    }
    const codes: (number | null)[] = [];
    for (const vm of cluster.vms("entry")) {
      const managed = cluster.process(vm.name);
      const end = await managed.stop();
      codes.push(end.code);
      managed.restart();
      await managed.waitUntilReady(PATIENCE_MS);
      await delay(PROBE_PERIOD_MS * 2);
    }
    await waitUntil(
      `${CALLS_NEEDED} calls`,
      PATIENCE_MS,
      () => tally.calls >= CALLS_NEEDED,
    );
    balancer.isDone = true;
    await Promise.all(running);
    console.log(
      `${tally.calls} calls, ${tally.failures.length} failed`,
      tally.failures.slice(0, 5),
    );
    assert.deepEqual(tally.failures.slice(0, 5), []);
    assert.deepEqual(codes, [0, 0, 0, 0, 0, 0]);
  } finally {
    await cluster.cleanUp();
  }
});
