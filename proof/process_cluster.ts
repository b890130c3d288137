/**
 * A whole cluster of real processes for golden sessions, process tests and benchmarks: control VMs, entry VMs and
 * stand-ins, each on its own loopback address.
 *
 * @module
 */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Bundle, Milliseconds, SignedBundle, VmEntry } from "#core";
import { type JsonAnswer, type JsonCall, JsonClient } from "#fakes";
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

/** What a cluster is started from. */
export interface ClusterOptions extends Omit<SiteOptions, "operators"> {
  readonly fakes: readonly FakeProcess[];
  /** Further flags of every entry VM and control VM. */
  readonly flags: readonly string[];
  /** Folder of the built programs; by default those of this build. */
  readonly programs?: string;
}

/** The cluster that most tests use: three zones, six entry VMs, three control VMs. */
export const CLUSTER_DEFAULTS = {
  zones: ["a", "b", "c"],
  entriesPerZone: 2,
  controls: 3,
  flags: ["--drain-notice-ms", "500"],
} as const satisfies Partial<ClusterOptions>;

/** A call to a VM of the cluster. */
export type ClusterCall = Omit<JsonCall, "base" | "timeoutMs">;

/** The parts of a VM's status that tests read. */
export interface ClusterStatus {
  readonly leader: string | null;
  readonly vms: readonly { readonly vm: string; readonly state: string }[];
  readonly upstreams: readonly {
    readonly id: string;
    readonly leaving: boolean;
  }[];
}

/** A running cluster. */
export class ProcessCluster {
  /** Operators whose keys the first bundle lists. */
  readonly operators: readonly [TestOperator, TestOperator];
  /** The first bundle. */
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

  /** Starts all processes, puts the first bundle in force and waits until every entry VM is ready. */
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

  /** A process by name. */
  process(name: string): ManagedProcess {
    const found = this.#processes.get(name);
    if (found === undefined) throw new Error(`there is no process ${name}`);
    return found;
  }

  /** VMs of the first bundle with this role, and in this zone if one is given. */
  vms(role: VmEntry["role"], zone?: string): readonly VmEntry[] {
    return this.firstBundle.vms.filter((vm) =>
      vm.role === role && (zone === undefined || vm.zone === zone)
    );
  }

  /** Base of the calls to a VM. */
  baseUrl(vm: string): string {
    const found = this.firstBundle.vms.find((each) => each.name === vm);
    if (found === undefined) throw new Error(`there is no VM ${vm}`);
    return `http://${found.http.host}:${found.http.port}`;
  }

  /** Data folder of a control VM. */
  dataFolder(vm: string): string {
    return join(this.#folder, vm);
  }

  /** Sends a call to a VM. */
  call(vm: string, call: ClusterCall): Promise<JsonAnswer> {
    return this.#client.send({
      ...call,
      base: this.baseUrl(vm),
      timeoutMs: CALL_TIMEOUT_MS,
    });
  }

  /** Submits a signed bundle to a VM. */
  submit(vm: string, signed: SignedBundle): Promise<JsonAnswer> {
    return this.call(vm, {
      method: "PUT",
      path: `/v1/bundles/${signed.bundle.version}`,
      body: signed,
    });
  }

  /** Submits a signed bundle again until the answer tells what became of it, as an operator does. */
  submitUntilConclusive(vm: string, signed: SignedBundle): Promise<JsonAnswer> {
    return retryUntilConclusive(() => this.submit(vm, signed));
  }

  /** Version in force on a VM; 0 without one, undefined if it does not answer. */
  async activeVersion(vm: string): Promise<number | undefined> {
    const answer = await this.call(vm, {
      method: "GET",
      path: "/v1/bundles/current",
    });
    if (answer.status === 404) return 0;
    if (answer.status !== 200) return undefined;
    const version = /"version":(\d+)/.exec(answer.text)?.[1];
    return version === undefined ? undefined : Number(version);
  }

  /** Waits until a version is in force on all given VMs; gives the time that took. */
  waitForVersion(
    version: number,
    options: {
      readonly vms: readonly string[];
      readonly timeoutMs: Milliseconds;
    },
  ): Promise<Milliseconds> {
    const what = `version ${version} in force on ${options.vms.join(", ")}`;
    return waitUntil(what, options.timeoutMs, async () => {
      const versions = await Promise.all(
        options.vms.map((vm) => this.activeVersion(vm)),
      );
      return versions.every((held) => held === version);
    });
  }

  /** Waits until every entry VM knows this many upstreams. */
  waitForUpstreams(count: number): Promise<Milliseconds> {
    const vms = this.vms("entry").map((vm) => vm.name);
    const what = `${count} upstreams known on every entry VM`;
    return waitUntil(what, START_TIMEOUT_MS, async () => {
      const statuses = await Promise.all(vms.map((vm) => this.status(vm)));
      return statuses.every((status) => status?.upstreams.length === count);
    });
  }

  /** Waits until an entry VM refuses to promise what needs the quorum. */
  waitForPartition(vm: string): Promise<Milliseconds> {
    return waitUntil(`${vm} is cut off`, START_TIMEOUT_MS, async () => {
      const status = await this.status(vm);
      const others = status?.vms.filter((row) => row.state === "cut_off") ?? [];
      return others.length > 0;
    });
  }

  /** What a VM tells of the cluster; undefined if it does not answer. */
  async status(vm: string): Promise<ClusterStatus | undefined> {
    const answer = await this.call(vm, { method: "GET", path: "/v1/status" });
    if (answer.status !== 200) return undefined;
    return JSON.parse(answer.text) as ClusterStatus;
  }

  /** Cuts every link between the VMs of one zone and those of all others; none given heals all cuts. */
  partitionZone(zone: string | undefined): void {
    for (const vm of this.firstBundle.vms) {
      const others = this.firstBundle.vms
        .filter(() => zone !== undefined)
        .filter((other) => (vm.zone === zone) !== (other.zone === zone))
        .map((other) => other.name);
      writeFileSync(this.#partitionFile(vm.name), others.join("\n"));
    }
  }

  /** Ends every process, however it stands, and removes the files. */
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
      "a leader takes the first bundle",
      START_TIMEOUT_MS,
      () => this.#submitFirstBundle(),
    );
    for (const standIn of this.#options.fakes) this.#startFake(standIn);
    const names = entries.map((vm) => vm.name);
    await this.waitForVersion(1, { vms: names, timeoutMs: START_TIMEOUT_MS });
    for (const name of names) {
      await this.process(name).waitUntilReady(START_TIMEOUT_MS);
    }
  }

  async #submitFirstBundle(): Promise<boolean> {
    for (const managed of this.#processes.values()) {
      if (managed.isRunning) continue;
      throw new Error(`${managed.name} ended\n${managed.logTail()}`);
    }
    const vm = this.vms("control")[0]?.name ?? "";
    const signed = signAs(this.operators[0], this.firstBundle);
    const answer = await this.submit(vm, signed);
    return answer.status >= 200 && answer.status < 300;
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

  #startFake(standIn: FakeProcess): void {
    const entries = this.vms("entry", standIn.zone)
      .map((vm) => this.baseUrl(vm.name));
    this.#startProcess({
      name: standIn.id,
      program: "cicadafield_fakes.js",
      flags: fakeProcessArguments(standIn, entries),
      readyUrl: `http://${standIn.host}:${standIn.port}/fakes/record`,
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
 * Sends a call that may be repeated until the answer is neither lost, nor unknown, nor a request to come back.
 *
 * @example
 * ```ts
 * await retryUntilConclusive(() => cluster.call("entry-a1", { method: "GET", path: "/v1/status" }));
 * ```
 */
export async function retryUntilConclusive(
  send: () => Promise<JsonAnswer>,
): Promise<JsonAnswer> {
  let answer = await send();
  await waitUntil("an answer that tells", CONCLUSIVE_TIMEOUT_MS, async () => {
    const isTold = answer.status !== 0 && answer.status < 500;
    if (!isTold) answer = await send();
    return isTold;
  });
  return answer;
}

function vmList(vms: readonly VmEntry[]): string {
  return vms
    .map((vm) => `${vm.name}@${vm.zone}=${vm.peer.host}:${vm.peer.port}`)
    .join(",");
}
