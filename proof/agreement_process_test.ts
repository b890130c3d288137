import assert from "node:assert/strict";
import { rmSync } from "node:fs";
import { test } from "node:test";
import type { Bundle } from "#core";
import { delay, waitUntil } from "./managed_process.ts";
import { CLUSTER_DEFAULTS, ProcessCluster } from "./process_cluster.ts";
import { submitNextVersion } from "./zone_cut.ts";

const IN_FORCE_TIMEOUT_MS = 60_000;
const TEST_TIMEOUT_MS = 300_000;
const FREEZE_MS = 20_000;
const ACCEPTS = 200;
const ACCEPTED_STATUSES = [200, 201];

/** Watches the version in force on all VMs; none may go back. */
class VersionWatch {
  readonly #cluster: ProcessCluster;
  readonly #highest = new Map<string, number>();
  #watching = true;
  #faults: string[] = [];
  readonly #ended: Promise<void>;

  constructor(cluster: ProcessCluster, vms: readonly string[]) {
    this.#cluster = cluster;
    this.#ended = this.#watch(vms);
  }

  async end(): Promise<readonly string[]> {
    this.#watching = false;
    await this.#ended;
    return this.#faults;
  }

  async #watch(vms: readonly string[]): Promise<void> {
    while (this.#watching) {
      await Promise.all(vms.map((vm) => this.#look(vm)));
      await delay(50);
    }
  }

  async #look(vm: string): Promise<void> {
    const version = await this.#cluster.activeVersion(vm);
    if (version === undefined) return;
    const highest = this.#highest.get(vm) ?? 0;
    if (version < highest) this.#faults.push(`${vm}: ${highest} to ${version}`);
    this.#highest.set(vm, Math.max(highest, version));
  }
}

async function accept(
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
      `version ${answer.bundle.version} got ${answer.status}`,
    );
    bundle = answer.bundle;
  }
  return bundle;
}

async function leaderOf(cluster: ProcessCluster): Promise<string> {
  let leader = "";
  await waitUntil("a leader", IN_FORCE_TIMEOUT_MS, async () => {
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
  "no accepted bundle is lost or turned back by a killed leader, a frozen control VM, or a second loss after a repair",
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
      const watch = new VersionWatch(cluster, entries);

      let bundle = await accept(cluster, cluster.firstBundle, 20);
      const killed = await leaderOf(cluster);
      const accepting = accept(cluster, bundle, ACCEPTS - 20);
      await cluster.process(killed).kill();
      bundle = await accepting;
      cluster.process(killed).restart();
      await cluster.process(killed).waitUntilReady(IN_FORCE_TIMEOUT_MS);

      const frozen = await leaderOf(cluster);
      cluster.process(frozen).pause();
      const thawed = delay(FREEZE_MS);
      bundle = await accept(cluster, bundle, 20);
      await thawed;
      cluster.process(frozen).resume();
      bundle = await accept(cluster, bundle, 1);

      const lost = controls.find((vm) => vm !== frozen) as string;
      await cluster.process(lost).kill();
      rmSync(cluster.dataFolder(lost), { recursive: true });
      cluster.process(lost).restart();
      await cluster.process(lost).waitUntilReady(IN_FORCE_TIMEOUT_MS);
      const second = controls.find((vm) => vm !== lost) as string;
      await cluster.process(second).kill();
      bundle = await accept(cluster, bundle, 5);

      await cluster.waitForVersion(bundle.version, {
        vms: [...entries, ...controls.filter((vm) => vm !== second)],
        timeoutMs: IN_FORCE_TIMEOUT_MS,
      });
      assert.equal(bundle.version, 1 + ACCEPTS + 20 + 1 + 5);
      assert.deepEqual(await watch.end(), []);
    } finally {
      await cluster.cleanUp();
    }
  },
);
