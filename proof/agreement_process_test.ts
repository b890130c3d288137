import assert from "node:assert/strict";
import { rmSync } from "node:fs";
import { test } from "node:test";
import type { Bundle } from "#core";
import { delay, waitUntil } from "./managed_process.ts";
import { CLUSTER_DEFAULTS, ProcessCluster } from "./process_cluster.ts";
import { submitNextVersion } from "./zone_cut.ts";

const ACTIVE_TIMEOUT_MS = 60_000;
const TEST_TIMEOUT_MS = 300_000;
const PAUSE_MS = 20_000;
const BUNDLES_BEFORE_PAUSE = 200;
const ACCEPTED_STATUSES = [200, 201];

/** Polls the active bundle version of VMs and records each decrease. */
class VersionMonitor {
  readonly #cluster: ProcessCluster;
  readonly #highest = new Map<string, number>();
  #isRunning = true;
  #regressions: string[] = [];
  readonly #stopped: Promise<void>;

  constructor(cluster: ProcessCluster, vms: readonly string[]) {
    this.#cluster = cluster;
    this.#stopped = this.#poll(vms);
  }

  async stop(): Promise<readonly string[]> {
    this.#isRunning = false;
    await this.#stopped;
    return this.#regressions;
  }

  async #poll(vms: readonly string[]): Promise<void> {
    while (this.#isRunning) {
      await Promise.all(vms.map((vm) => this.#checkVersion(vm)));
      await delay(50);
    }
  }

  async #checkVersion(vm: string): Promise<void> {
    const version = await this.#cluster.activeVersion(vm);
    if (version === undefined) return;
    const highest = this.#highest.get(vm) ?? 0;
    if (version < highest) {
      this.#regressions.push(`${vm}: ${highest} to ${version}`);
    }
    this.#highest.set(vm, Math.max(highest, version));
  }
}

async function submitBundles(
  cluster: ProcessCluster,
  from: Bundle,
  count: number,
): Promise<Bundle> {
  let bundle = from;
  const entries = cluster.vms("entry").map((vm) => vm.name);
  for (let left = count; left > 0; left -= 1) {
    const vm = entries[left % entries.length] as string;
    const answer = await submitNextVersion(cluster, { vm, from: bundle });
    assert.ok(
      ACCEPTED_STATUSES.includes(answer.status),
      `version ${answer.bundle.version}: status ${answer.status}`,
    );
    bundle = answer.bundle;
  }
  return bundle;
}

async function leaderOf(cluster: ProcessCluster): Promise<string> {
  let leader = "";
  await waitUntil("a leader", ACTIVE_TIMEOUT_MS, async () => {
    for (const vm of cluster.vms("control")) {
      const status = await cluster.status(vm.name);
      if (status === undefined || status.leader === null) continue;
      leader = status.leader;
      return cluster.process(leader).isRunning;
    }
    return false;
  });
  return leader;
}

test(
  "no accepted bundle is lost or reverted by a killed leader, a paused control VM, or a second loss after a repair",
  {
    timeout: TEST_TIMEOUT_MS,
  },
  async () => {
    const cluster = await ProcessCluster.start({
      ...CLUSTER_DEFAULTS,
      block: "127.4",
      network: 50,
      entriesPerZone: 1,
      fakes: [],
    });
    try {
      const entries = cluster.vms("entry").map((vm) => vm.name);
      const controls = cluster.vms("control").map((vm) => vm.name);
      const monitor = new VersionMonitor(cluster, entries);

      let bundle = await submitBundles(cluster, cluster.firstBundle, 20);
      const killed = await leaderOf(cluster);
      const accepting = submitBundles(
        cluster,
        bundle,
        BUNDLES_BEFORE_PAUSE - 20,
      );
      await cluster.process(killed).kill();
      bundle = await accepting;
      cluster.process(killed).restart();
      await cluster.process(killed).waitUntilReady(ACTIVE_TIMEOUT_MS);

      const paused = await leaderOf(cluster);
      cluster.process(paused).pause();
      const pauseEnd = delay(PAUSE_MS);
      bundle = await submitBundles(cluster, bundle, 20);
      await pauseEnd;
      cluster.process(paused).resume();
      bundle = await submitBundles(cluster, bundle, 1);

      const erased = controls.find((vm) => vm !== paused) as string;
      await cluster.process(erased).kill();
      rmSync(cluster.dataFolder(erased), { recursive: true });
      cluster.process(erased).restart();
      await cluster.process(erased).waitUntilReady(ACTIVE_TIMEOUT_MS);
      const secondLost = controls.find((vm) => vm !== erased) as string;
      await cluster.process(secondLost).kill();
      bundle = await submitBundles(cluster, bundle, 5);

      await cluster.waitForVersion(bundle.version, {
        vms: [...entries, ...controls.filter((vm) => vm !== secondLost)],
        timeoutMs: ACTIVE_TIMEOUT_MS,
      });
      assert.equal(bundle.version, 1 + BUNDLES_BEFORE_PAUSE + 20 + 1 + 5);
      assert.deepEqual(await monitor.stop(), []);
    } finally {
      await cluster.cleanUp();
    }
  },
);
