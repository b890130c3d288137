/**
 * A cluster of real processes for golden sessions, process tests and benchmarks: control VMs, entry VMs and fakes,
 * each on its own loopback address.
 *
 * @module
 */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Bundle, Milliseconds, SignedBundle, VmEntry } from "#core";
import { type JsonCall, JsonClient, type JsonResponse } from "#fakes";
import { lockNetwork, type NetworkLock } from "./network_lock.ts";
import { ManagedProcess, waitUntil } from "./managed_process.ts";
import {
  createOperator,
  signAs,
  siteBundle,
  type SiteOptions,
  type TestOperator,
} from "./site_bundle.ts";
import { type FakeProcess, fakeProcessArguments } from "./site_fakes.ts";

const PROGRAMS = join(dirname(fileURLToPath(import.meta.url)), "../programs");
const START_TIMEOUT_MS: Milliseconds = 60_000;
const CONCLUSIVE_TIMEOUT_MS: Milliseconds = 60_000;
const CALL_TIMEOUT_MS: Milliseconds = 30_000;

/** Options of `ProcessCluster.start`. */
export interface ClusterOptions extends Omit<SiteOptions, "operators"> {
  readonly fakes: readonly FakeProcess[];
  /** Additional flags of every entry VM and control VM. */
  readonly flags: readonly string[];
  /** Folder of the built programs; the programs of this build by default. */
  readonly programs?: string;
}

/** Options of the cluster that most tests use: three zones, six entry VMs and three control VMs. */
export const CLUSTER_DEFAULTS = {
  zones: ["a", "b", "c"],
  entriesPerZone: 2,
  controls: 3,
  flags: ["--drain-notice-ms", "500"],
} as const satisfies Partial<ClusterOptions>;

/** A call to a VM of the cluster. */
export type ClusterCall = Omit<JsonCall, "baseUrl" | "timeoutMs">;

/** The fields of `GET /v1/status` that tests read. */
export interface ClusterStatus {
  readonly leader: string | null;
  readonly vms: readonly { readonly vm: string; readonly state: string }[];
  readonly upstreams: readonly {
    readonly id: string;
    readonly leaving: boolean;
  }[];
}

/** A running cluster of processes. */
export class ProcessCluster {
  /** Operators whose public keys the first bundle lists. */
  readonly operators: readonly [TestOperator, TestOperator];
  /** The bundle with version 1, submitted at the start. */
  readonly firstBundle: Bundle;
  readonly #options: ClusterOptions;
  readonly #folder: string;
  readonly #client = new JsonClient();
  readonly #processes = new Map<string, ManagedProcess>();
  readonly #lock: NetworkLock;

  private constructor(options: ClusterOptions, lock: NetworkLock) {
    this.#options = options;
    this.#lock = lock;
    this.#folder = mkdtempSync(join(tmpdir(), "cicadafield-proof-"));
    this.operators = [createOperator("awa"), createOperator("tomas")];
    this.firstBundle = siteBundle({ ...options, operators: this.operators });
  }

  /** Starts all processes, submits the first bundle and waits until every entry VM is ready. */
  static async start(options: ClusterOptions): Promise<ProcessCluster> {
    const cluster = new ProcessCluster(options, await lockNetwork(options));
    try {
      await cluster.#startProcesses();
    } catch (error) {
      await cluster.cleanUp();
      throw error;
    }
    return cluster;
  }

  /** Returns the process of a VM or fake by its name. */
  process(name: string): ManagedProcess {
    const found = this.#processes.get(name);
    if (found === undefined) throw new Error(`unknown process ${name}`);
    return found;
  }

  /** Returns the VMs of the first bundle with the given role, and in the given zone if there is one. */
  vms(role: VmEntry["role"], zone?: string): readonly VmEntry[] {
    return this.firstBundle.vms.filter((vm) =>
      vm.role === role && (zone === undefined || vm.zone === zone)
    );
  }

  /** Returns the base URL of a VM. */
  baseUrl(vm: string): string {
    const found = this.firstBundle.vms.find((each) => each.name === vm);
    if (found === undefined) throw new Error(`unknown VM ${vm}`);
    return `http://${found.http.host}:${found.http.port}`;
  }

  /** Returns the data folder of a control VM. */
  dataFolder(vm: string): string {
    return join(this.#folder, vm);
  }

  /** Sends a call to a VM. */
  call(vm: string, call: ClusterCall): Promise<JsonResponse> {
    return this.#client.send({
      ...call,
      baseUrl: this.baseUrl(vm),
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  /** Submits a signed bundle to a VM. */
  submit(vm: string, signed: SignedBundle): Promise<JsonResponse> {
    return this.call(vm, {
      method: "PUT",
      path: `/v1/bundles/${signed.bundle.version}`,
      body: signed,
    });
  }

  /** Submits a signed bundle repeatedly until the response shows its outcome, as an operator would. */
  submitUntilConclusive(
    vm: string,
    signed: SignedBundle,
  ): Promise<JsonResponse> {
    return retryUntilConclusive(() => this.submit(vm, signed));
  }

  /** Returns the active bundle version of a VM: 0 without a bundle, undefined if the VM does not respond. */
  async activeVersion(vm: string): Promise<number | undefined> {
    const response = await this.call(vm, {
      method: "GET",
      path: "/v1/bundles/current",
    });
    if (response.status === 404) return 0;
    if (response.status !== 200) return undefined;
    const version = /"version":(\d+)/.exec(response.text)?.[1];
    return version === undefined ? undefined : Number(version);
  }

  /** Waits until a bundle version is active on all given VMs; returns the elapsed time. */
  waitForVersion(
    version: number,
    options: {
      readonly vms: readonly string[];
      readonly timeoutMs: Milliseconds;
    },
  ): Promise<Milliseconds> {
    const description = `version ${version} active on ${
      options.vms.join(", ")
    }`;
    return waitUntil(description, options.timeoutMs, async () => {
      const versions = await Promise.all(
        options.vms.map((vm) => this.activeVersion(vm)),
      );
      return versions.every((each) => each === version);
    });
  }

  /** Waits until the status of every entry VM lists this many upstreams. */
  waitForUpstreams(count: number): Promise<Milliseconds> {
    const vms = this.vms("entry").map((vm) => vm.name);
    const description = `${count} upstreams listed by every entry VM`;
    return waitUntil(description, START_TIMEOUT_MS, async () => {
      const statuses = await Promise.all(vms.map((vm) => this.status(vm)));
      return statuses.every((status) => status?.upstreams.length === count);
    });
  }

  /** Waits until the status of an entry VM reports other VMs as cut off. */
  waitForPartition(vm: string): Promise<Milliseconds> {
    return waitUntil(`VMs cut off from ${vm}`, START_TIMEOUT_MS, async () => {
      const status = await this.status(vm);
      const cutOff = status?.vms.filter((row) => row.state === "cut_off") ?? [];
      return cutOff.length > 0;
    });
  }

  /** Returns the cluster status that a VM reports; undefined if it does not respond. */
  async status(vm: string): Promise<ClusterStatus | undefined> {
    const response = await this.call(vm, { method: "GET", path: "/v1/status" });
    if (response.status !== 200) return undefined;
    return JSON.parse(response.text) as ClusterStatus;
  }

  /** Cuts all links between the VMs of one zone and the VMs of other zones; `undefined` restores all links. */
  partitionZone(zone: string | undefined): void {
    for (const vm of this.firstBundle.vms) {
      const others = this.firstBundle.vms
        .filter(() => zone !== undefined)
        .filter((other) => (vm.zone === zone) !== (other.zone === zone))
        .map((other) => other.name);
      writeFileSync(this.#partitionFile(vm.name), others.join("\n"));
    }
  }

  /** Kills every process, releases the addresses and removes the files. */
  async cleanUp(): Promise<void> {
    this.#client.close();
    const processes = [...this.#processes.values()];
    await Promise.all(processes.map((each) => each.cleanUp()));
    await this.#lock.release();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #startProcesses(): Promise<void> {
    const controls = this.vms("control");
    const entries = this.vms("entry");
    for (const vm of controls) this.#startControl(vm);
    for (const vm of entries) this.#startEntry(vm);
    await waitUntil(
      "first bundle accepted by a leader",
      START_TIMEOUT_MS,
      () => this.#submitFirstBundle(),
    );
    for (const fake of this.#options.fakes) this.#startFake(fake);
    const names = entries.map((vm) => vm.name);
    await this.waitForVersion(1, { vms: names, timeoutMs: START_TIMEOUT_MS });
    for (const name of names) {
      await this.process(name).waitUntilReady(START_TIMEOUT_MS);
    }
  }

  async #submitFirstBundle(): Promise<boolean> {
    for (const managed of this.#processes.values()) {
      if (managed.isRunning) continue;
      throw new Error(`${managed.name} exited\n${managed.logTail()}`);
    }
    const vm = this.vms("control")[0]?.name ?? "";
    const signed = signAs(this.operators[0], this.firstBundle);
    const response = await this.submit(vm, signed);
    return response.status >= 200 && response.status < 300;
  }

  #startControl(vm: VmEntry): void {
    mkdirSync(this.dataFolder(vm.name));
    const keys = this.operators
      .map(({ name, publicKey }) => `${name}=${publicKey}`)
      .join(",");
    this.#startVm(vm, "cicadafield_control.js", [
      ...["--data-folder", this.dataFolder(vm.name)],
      ...["--first-start", "yes"],
      ...["--operator-keys", keys],
    ]);
  }

  #startEntry(vm: VmEntry): void {
    const others = this.vms("entry", vm.zone).filter((each) => each !== vm);
    this.#startVm(vm, "cicadafield_entry.js", [
      "--zone-vms",
      vmList(others),
    ]);
  }

  #startVm(vm: VmEntry, program: string, flags: readonly string[]): void {
    writeFileSync(this.#partitionFile(vm.name), "");
    this.#startProcess({
      name: vm.name,
      program,
      flags: [
        ...["--cluster", this.firstBundle.cluster],
        ...["--vm", vm.name, "--zone", vm.zone],
        ...["--listen-host", vm.peer.host],
        ...["--http-port", String(vm.http.port)],
        ...["--peer-port", String(vm.peer.port)],
        ...["--control-vms", vmList(this.vms("control"))],
        ...["--test-cut-file", this.#partitionFile(vm.name)],
        ...flags,
        ...this.#options.flags,
      ],
      readyUrl: `${this.baseUrl(vm.name)}/readyz`,
    });
  }

  #startFake(fake: FakeProcess): void {
    const entries = this.vms("entry", fake.zone)
      .map((vm) => this.baseUrl(vm.name));
    this.#startProcess({
      name: fake.id,
      program: "cicadafield_fakes.js",
      flags: fakeProcessArguments(fake, entries),
      readyUrl: `http://${fake.host}:${fake.port}/fakes/record`,
    });
  }

  #startProcess(
    options: {
      readonly name: string;
      readonly program: string;
      readonly flags: readonly string[];
      readonly readyUrl: string;
    },
  ): void {
    const managed = new ManagedProcess({
      name: options.name,
      program: join(this.#options.programs ?? PROGRAMS, options.program),
      arguments: options.flags,
      logFile: join(this.#folder, `${options.name}.log`),
      readyUrl: options.readyUrl,
    });
    this.#processes.set(options.name, managed);
  }

  #partitionFile(vm: string): string {
    return join(this.#folder, `${vm}.cut`);
  }
}

/**
 * Sends a call that is safe to repeat until its outcome is known, which is when a response arrives with a status
 * below 500.
 *
 * @example
 * ```ts
 * await retryUntilConclusive(() => cluster.call("entry-a1", { method: "GET", path: "/v1/status" }));
 * ```
 */
export async function retryUntilConclusive(
  send: () => Promise<JsonResponse>,
): Promise<JsonResponse> {
  let response = await send();
  await waitUntil("a conclusive response", CONCLUSIVE_TIMEOUT_MS, async () => {
    const isConclusive = response.status !== 0 && response.status < 500;
    if (!isConclusive) response = await send();
    return isConclusive;
  });
  return response;
}

function vmList(vms: readonly VmEntry[]): string {
  return vms
    .map((vm) => `${vm.name}@${vm.zone}=${vm.peer.host}:${vm.peer.port}`)
    .join(",");
}
