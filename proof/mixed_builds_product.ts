/**
 * Checks the product's programs on the data of another build and in one cluster with processes of that build.
 *
 * @module
 */
import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { promisify } from "node:util";
import type { Bundle, Milliseconds } from "#core";
import { Caller } from "./caller.ts";
import type { ManagedProcess } from "./managed_process.ts";
import {
  electLeaderFrom,
  restartFrom,
  runsFrom,
  THIS_PROGRAMS,
} from "./mixed_builds_leader.ts";
import { CLUSTER_DEFAULTS, ProcessCluster } from "./process_cluster.ts";
import { siteFakes } from "./site_fakes.ts";
import { StepReader } from "./step_reader.ts";
import { submitNextVersion } from "./zone_cut.ts";

const SITE = { ...CLUSTER_DEFAULTS, block: "127.9", network: 1 };
const MODEL = "advice";
const TRAINER = "advice-tuning";
const TIMEOUT_MS: Milliseconds = 120_000;
const GROUPS = 32;
const GROUP_SIZE = 4;

const execFileAsync = promisify(execFile);

/** Runs all checks; throws on the first failure. */
export async function checkProduct(otherPrograms: string): Promise<void> {
  const standIns = siteFakes({ ...SITE, models: [MODEL], engineFlags: [] });
  const cluster = await ProcessCluster.start({
    ...SITE,
    fakes: standIns,
    programs: otherPrograms,
  });
  try {
    await cluster.waitForUpstreams(standIns.length);
    await checkOperatorKeys(otherPrograms, cluster.firstBundle);
    const check = new ProductCheck(cluster);
    await check.checkServing("other build");
    const unread = await check.startStep();

    for (const vm of clusterProcesses(cluster)) await vm.kill();
    for (const vm of clusterProcesses(cluster)) restartFrom(vm, THIS_PROGRAMS);
    for (const vm of clusterProcesses(cluster)) {
      await vm.waitUntilReady(TIMEOUT_MS);
    }
    await cluster.waitForUpstreams(standIns.length);
    await check.checkStoredResponses();
    await check.finishStep(unread);
    await check.checkServing("this build on the data of the other");

    for (const [at, vm] of clusterProcesses(cluster).entries()) {
      if (at % 2 === 0) continue;
      await vm.stop();
      restartFrom(vm, otherPrograms);
      await vm.waitUntilReady(TIMEOUT_MS);
    }
    for (const programs of [otherPrograms, THIS_PROGRAMS, otherPrograms]) {
      const step = await check.startStep();
      const replicas = new Map(
        controlProcesses(cluster).map((vm) => [vm.name, vm]),
      );
      const leader = await electLeaderFrom(replicas, programs);
      const build = programs === THIS_PROGRAMS ? "this" : "other";
      await check.checkServing(
        `both builds, ${build} build leads (${leader.name})`,
      );
      await check.finishStep(step);
      await check.checkStoredResponses();
      assert.ok(runsFrom(leader, programs));
    }
  } finally {
    await cluster.cleanUp();
  }
}

/** Signs a file with each build under a key that the other build generated. */
async function checkOperatorKeys(
  otherPrograms: string,
  firstBundle: Bundle,
): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "cicadafield-mixed-"));
  try {
    const bundle = join(folder, "bundle.json");
    writeFileSync(bundle, JSON.stringify(firstBundle));
    const builds = [otherPrograms, THIS_PROGRAMS] as const;
    for (const [at, signing] of builds.entries()) {
      const generating = builds[1 - at] as string;
      const name = `operator-${at}`;
      const signed = join(folder, `${name}.json`);
      const key = ["--key", join(folder, `${name}.pem`)];
      await runCommand(generating, [
        "keys",
        "generate",
        name,
        "--folder",
        folder,
      ]);
      await runCommand(signing, [
        "bundle",
        "sign",
        bundle,
        ...key,
        "--out",
        signed,
      ]);
      await runCommand(generating, ["bundle", "check", signed]);
    }
    console.log("each build signs with a key that the other generated");
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

async function runCommand(
  programs: string,
  words: readonly string[],
): Promise<void> {
  await execFileAsync(process.execPath, [
    join(programs, "cicadafield.js"),
    ...words,
  ]);
}

function controlProcesses(cluster: ProcessCluster): readonly ManagedProcess[] {
  return cluster.vms("control").map((vm) => cluster.process(vm.name));
}

function clusterProcesses(cluster: ProcessCluster): readonly ManagedProcess[] {
  const entries = cluster.vms("entry").map((vm) => cluster.process(vm.name));
  return [...controlProcesses(cluster), ...entries];
}

/** Sends calls, bundles and steps to one cluster, and checks their stored results after restarts. */
class ProductCheck {
  readonly #cluster: ProcessCluster;
  readonly #caller: Caller;
  readonly #responses = new Map<string, string>();
  #bundle: Bundle;
  #round = 0;
  #step = 0;
  #cursor = "";

  constructor(cluster: ProcessCluster) {
    this.#cluster = cluster;
    this.#caller = new Caller(cluster, { tenant: "tana", class: "lookup" });
    this.#bundle = cluster.firstBundle;
  }

  /** Sends a keyed call twice and a completion through each entry VM, and activates new bundles on all VMs. */
  async checkServing(what: string): Promise<void> {
    this.#round += 1;
    const entries = this.#cluster.vms("entry").map((vm) => vm.name);
    for (const [at, vm] of entries.entries()) {
      const key = `card-${this.#round}-${at}`;
      const text = await this.#saveCard(vm, key);
      this.#responses.set(key, text);
      const next = entries[(at + 1) % entries.length] ?? "";
      assert.equal(await this.#saveCard(next, key), text, `${key} at ${next}`);
      const completion = await this.#caller.completion(vm, {
        model: MODEL,
        prompt: `no hot water in flat ${this.#round}`,
        max_tokens: 8,
      });
      assert.equal(completion.status, 200, `${vm}: ${completion.text}`);
      const { status, bundle } = await submitNextVersion(this.#cluster, {
        vm,
        from: this.#bundle,
      });
      assert.ok(status === 200 || status === 201, `bundle at ${vm}: ${status}`);
      this.#bundle = bundle;
    }
    await this.#cluster.waitForVersion(this.#bundle.version, {
      vms: clusterProcesses(this.#cluster).map((vm) => vm.name),
      timeoutMs: TIMEOUT_MS,
    });
    console.log(
      `${what}: ${entries.length} keyed calls saved once, ` +
        `${entries.length} completions, bundle ${this.#bundle.version} active on all VMs`,
    );
  }

  /** Submits a step and publishes the next version. */
  async startStep(): Promise<StepReader> {
    this.#step += 1;
    const reader = new StepReader({
      cluster: this.#cluster,
      trainer: TRAINER,
      model: MODEL,
      step: this.#step,
      body: {
        groups: Array.from({ length: GROUPS }, (_, group) => ({
          group,
          prompt: `field note ${group} of step ${this.#step}`,
        })),
        groupSize: GROUP_SIZE,
        maximumTokens: 32,
        bound: 2,
        deadlineMs: 540_000,
      },
      cursor: this.#cursor,
    });
    await reader.submit();
    await reader.publish(this.#step + 1);
    return reader;
  }

  /** Reads a step to its end, and checks that each sample arrived once with correct versions. */
  async finishStep(reader: StepReader): Promise<void> {
    await reader.readAll(TIMEOUT_MS);
    const { samples, doubled, untrue } = reader.tally.counts();
    assert.deepEqual(
      { samples, doubled, untrue, overBound: reader.overBound },
      { samples: GROUPS * GROUP_SIZE, doubled: 0, untrue: 0, overBound: 0 },
    );
    assert.equal(reader.changedPages, 0);
    this.#cursor = reader.cursor;
    console.log(`a step of ${samples} samples was delivered once`);
  }

  /** Checks that the active bundle and the stored responses of all keyed calls are unchanged. */
  async checkStoredResponses(): Promise<void> {
    for (const vm of clusterProcesses(this.#cluster)) {
      const version = await this.#cluster.activeVersion(vm.name);
      assert.equal(version, this.#bundle.version, vm.name);
    }
    const entries = this.#cluster.vms("entry");
    let at = 0;
    for (const [key, text] of this.#responses) {
      const vm = entries[at % entries.length]?.name ?? "";
      assert.equal(await this.#saveCard(vm, key), text, `${key} at ${vm}`);
      at += 1;
    }
    console.log(
      `stored: bundle ${this.#bundle.version}, ${this.#responses.size} keyed calls`,
    );
  }

  async #saveCard(vm: string, key: string): Promise<string> {
    const untilMs = performance.now() + TIMEOUT_MS;
    for (;;) {
      const answer = await this.#caller.service(vm, {
        method: "POST",
        service: "cards",
        path: "/cards",
        body: { id: key },
        key,
      });
      if (answer.status === 200 || answer.status === 201) {
        assert.match(answer.text, /"executions":1/);
        return answer.text;
      }
      if (performance.now() > untilMs) {
        throw new Error(`${key} at ${vm}: ${answer.status} ${answer.text}`);
      }
      await new Promise((resolve) => setTimeout(resolve, 200));
    }
  }
}
