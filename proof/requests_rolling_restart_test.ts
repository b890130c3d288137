import assert from "node:assert/strict";
import { test } from "node:test";
import { Caller, streamSummary } from "./caller.ts";
import { delay, waitUntil } from "./managed_process.ts";
import { CLUSTER_DEFAULTS, ProcessCluster } from "./process_cluster.ts";
import { siteFakes } from "./site_fakes.ts";

const SITE = { block: "127.5", network: 21, zones: CLUSTER_DEFAULTS.zones };
const WORKERS = 8;
const MINIMUM_CALLS = 2_000;
const PROBE_INTERVAL_MS = 100;
const TIMEOUT_MS = 120_000;
/** Probes of the load balancer are late on a busy machine, so a stopping entry VM gives notice for 2 s. */
const DRAIN_NOTICE_FLAGS = ["--drain-notice-ms", "2000"];

/** Load balancer that rotates over the entry VMs whose readiness probes succeed. */
class LoadBalancer {
  readonly #cluster: ProcessCluster;
  readonly #names: readonly string[];
  #readyNames: readonly string[];
  #turn = 0;
  isDone = false;

  constructor(cluster: ProcessCluster) {
    this.#cluster = cluster;
    this.#names = cluster.vms("entry").map((vm) => vm.name);
    this.#readyNames = this.#names;
  }

  nextEntry(): string {
    this.#turn += 1;
    return this.#readyNames[this.#turn % this.#readyNames.length] ?? "";
  }

  async runProbes(): Promise<void> {
    while (!this.isDone) {
      const states = await Promise.all(this.#names.map(async (name) => {
        const isReady = await this.#cluster.process(name).isReady();
        return isReady ? [name] : [];
      }));
      const ready = states.flat();
      // As balancers do, and as a busy machine may let all probes time out at once: a call must be served even then.
      this.#readyNames = ready.length > 0 ? ready : this.#names;
      await delay(PROBE_INTERVAL_MS);
    }
  }
}

/** Counts calls and records failures. */
class CallTally {
  calls = 0;
  readonly failures: string[] = [];

  record(what: string, succeeded: boolean): void {
    this.calls += 1;
    if (!succeeded) this.failures.push(what);
  }
}

async function runCalls(
  worker: number,
  context: {
    readonly cluster: ProcessCluster;
    readonly balancer: LoadBalancer;
    readonly tally: CallTally;
  },
): Promise<void> {
  const { cluster, balancer, tally } = context;
  const caller = new Caller(cluster, { tenant: "tana", class: "lookup" });
  for (let call = 0; !balancer.isDone; call += 1) {
    const vm = balancer.nextEntry();
    const id = `card-${worker}-${call}`;
    if (call % 8 === 0) {
      const answer = await caller.completion(vm, {
        model: "advice",
        prompt: `E4 on unit ${worker}`,
        max_tokens: 40,
        stream: true,
      });
      const isWhole = streamSummary(answer.text).isComplete;
      tally.record(`stream at ${vm}: ${answer.status} ${answer.text}`, isWhole);
      continue;
    }
    const answer = await caller.service(vm, {
      method: "POST",
      service: "cards",
      path: "/cards",
      body: { id, work: "valve" },
      ...(call % 8 === 1 ? { key: id } : {}),
    });
    const succeeded = answer.status >= 200 && answer.status < 300;
    tally.record(`card at ${vm}: ${answer.status} ${answer.text}`, succeeded);
  }
}

/** Sends long polls for samples; none exist, so each poll waits its full time. */
async function pollSamples(context: {
  readonly cluster: ProcessCluster;
  readonly balancer: LoadBalancer;
  readonly tally: CallTally;
}): Promise<void> {
  const { cluster, balancer, tally } = context;
  while (!balancer.isDone) {
    const vm = balancer.nextEntry();
    const answer = await cluster.call(vm, {
      method: "GET",
      path: "/v1/trainers/advice-tuning/samples?limit=1&wait_ms=1500",
    });
    const succeeded = answer.status === 200;
    tally.record(`poll at ${vm}: ${answer.status} ${answer.text}`, succeeded);
  }
}

test("a rolling restart of all six entry VMs under load interrupts no call", async () => {
  const cluster = await ProcessCluster.start({
    ...CLUSTER_DEFAULTS,
    ...SITE,
    flags: DRAIN_NOTICE_FLAGS,
    fakes: siteFakes({ ...SITE, models: ["advice"], engineFlags: [] }),
  });
  const balancer = new LoadBalancer(cluster);
  try {
    await cluster.waitForUpstreams(7);
    const tally = new CallTally();
    const context = { cluster, balancer, tally };
    const running = [
      balancer.runProbes(),
      pollSamples(context),
      pollSamples(context),
    ];
    for (let worker = 0; worker < WORKERS; worker += 1) {
      running.push(runCalls(worker, context));
    }
    const codes: (number | null)[] = [];
    for (const vm of cluster.vms("entry")) {
      const managed = cluster.process(vm.name);
      const end = await managed.stop();
      codes.push(end.code);
      managed.restart();
      await managed.waitUntilReady(TIMEOUT_MS);
      await delay(PROBE_INTERVAL_MS * 2);
    }
    await waitUntil(
      `${MINIMUM_CALLS} calls`,
      TIMEOUT_MS,
      () => tally.calls >= MINIMUM_CALLS,
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
    // Otherwise the probes of a test that failed go on without an end.
    balancer.isDone = true;
    await cluster.cleanUp();
  }
});
