/**
 * Control VMs of a site in one process on virtual time, and an operator who sends configurations to them.
 *
 * @module
 */
import { MemoryDisk } from "#agreement";
import {
  type FleetNode,
  MemoryEventLog,
  type Milliseconds,
  type RandomSource,
  SeededRandom,
  type StoredConfiguration,
  VirtualClock,
} from "#core";
import { ControlReplica, type GroupStatus } from "#membership";
import { MemoryNetwork } from "#wire";
import {
  ProcessClock,
  ProcessNetwork,
} from "../agreement/simulated_process.ts";

/** The service that its configurations name. */
export const NAMED_SERVICE = "s";
const SYNC_MS: Milliseconds = 2;
const SEEDS = 3;
const HEARTBEAT_TIMEOUT_MS: Milliseconds = 4_200;
/** How long an operator waits for the response of one control VM. */
const OPERATOR_TIMEOUT_MS: Milliseconds = 1_000;
const FIRST_BACKOFF_MS: Milliseconds = 100;
const MAXIMUM_BACKOFF_MS: Milliseconds = 1_000;
const FORMATION_MS: Milliseconds = 8_000;

/** Options of `ControlWorld`. */
export interface ControlWorldOptions {
  readonly seed: number;
  readonly vms: number;
  readonly zones: number;
  /** VMs whose loss at the same time is tolerated. */
  readonly losses: number;
}

/** A control VM; its disk survives its processes. */
export interface ControlVm {
  readonly name: string;
  readonly zone: string;
  readonly disk: MemoryDisk;
  process: ControlProcess | undefined;
}

interface ControlProcess {
  readonly replica: ControlReplica;
  readonly clock: ProcessClock;
  readonly network: ProcessNetwork;
  frozen: boolean;
}

/** The control VMs of a site. */
export class ControlWorld {
  readonly clock = new VirtualClock(1_000);
  readonly random: RandomSource;
  readonly network: MemoryNetwork;
  readonly vms: readonly ControlVm[];
  readonly #options: ControlWorldOptions;
  #failure: unknown;

  constructor(options: ControlWorldOptions) {
    this.#options = options;
    this.random = new SeededRandom(options.seed);
    this.network = new MemoryNetwork({
      clock: this.clock,
      random: this.random,
      links: {
        minimumDelayMs: 0.3,
        maximumDelayMs: 1.5,
        dropChance: 0,
        duplicateChance: 0,
      },
    });
    this.vms = Array.from({ length: options.vms }, (_, at) => ({
      name: `10.0.${at % options.zones}.${10 + at}:1`,
      zone: `z${at % options.zones}`,
      disk: new MemoryDisk({
        clock: this.clock,
        random: this.random,
        nextSyncMs: () => SYNC_MS,
      }),
      process: undefined,
    }));
  }

  /** Starts all VMs for the first time, and waits until their group has formed. */
  async start(): Promise<void> {
    for (const vm of this.vms) this.restart(vm, true);
    await this.run(FORMATION_MS);
  }

  /** Starts the process of a VM, unless it runs. */
  restart(vm: ControlVm, firstStart = false): void {
    if (vm.process !== undefined) return;
    const clock = new ProcessClock(this.clock, {
      rate: 1,
      monotonicOffsetMs: 0,
      wallOffsetMs: 0,
    });
    const network = new ProcessNetwork(this.network.join(vm.name));
    const replica = new ControlReplica({
      vm: vm.name,
      zone: vm.zone,
      network,
      clock,
      random: this.random,
      events: new MemoryEventLog(),
      folder: vm.disk.open(),
      firstStart,
      seeds: () => this.vms.slice(0, SEEDS).map(({ name }) => name),
      replicas: () => 2 * this.#options.losses + 1,
      heartbeatTimeoutMs: HEARTBEAT_TIMEOUT_MS,
      machines: [],
      describe: (group) => describeVm(vm, firstStart, group),
      onFatal: (failure) => {
        this.#failure ??= new Error(`${vm.name}: ${failure.message}`);
      },
    });
    vm.process = { replica, clock, network, frozen: false };
    replica.serve();
    replica.start().catch((error: unknown) => {
      if (vm.process?.replica === replica) this.#failure ??= error;
    });
  }

  /** Ends the process of a VM at once. */
  kill(vm: ControlVm): void {
    const { process } = vm;
    if (process === undefined) return;
    vm.process = undefined;
    process.clock.kill();
    process.network.kill();
    this.network.leave(vm.name);
    vm.disk.crash();
  }

  /** Suspends a VM: it is silent, and what arrives waits. */
  freeze(vm: ControlVm): void {
    if (vm.process === undefined) return;
    vm.process.frozen = true;
    vm.process.clock.pause("vm");
    this.network.pause(vm.name);
  }

  /** Cuts a VM off from all other control VMs. */
  cutOff(vm: ControlVm): void {
    for (const other of this.vms) {
      if (other === vm) continue;
      this.network.blockLink(vm.name, other.name);
      this.network.blockLink(other.name, vm.name);
    }
  }

  /** The VM that leads under a lease, if any. */
  leader(): ControlVm | undefined {
    return this.vms.find(({ process }) =>
      process?.frozen === false && process.replica.status().leads
    );
  }

  /** The voters of the control log, as the leader knows them. */
  voters(): readonly ControlVm[] {
    const names = this.leader()?.process?.replica.status().voters ?? [];
    return this.vms.filter(({ name }) => names.includes(name));
  }

  /** Advances virtual time; throws the first failure so far. */
  async run(durationMs: Milliseconds): Promise<void> {
    await this.clock.advanceAsync(durationMs);
    if (this.#failure !== undefined) throw this.#failure;
  }

  /**
   * Sends a configuration until a control VM acknowledges it, to one VM after the other, as an operator does who waits
   * a second for each. Resolves with the time that it took.
   */
  async change(version: number): Promise<Milliseconds> {
    const startMs = this.clock.nowMs();
    const order = shuffled(this.vms, this.random);
    let backoffMs = FIRST_BACKOFF_MS;
    for (let attempt = 0;; attempt += 1) {
      const vm = order[attempt % order.length];
      if (vm !== undefined && await this.#send(vm, version)) {
        return this.clock.nowMs() - startMs;
      }
      await this.clock.sleep(backoffMs);
      backoffMs = Math.min(MAXIMUM_BACKOFF_MS, backoffMs * 2);
    }
  }

  /** Returns the version that a VM reads as the newest, or undefined if it is not sure. */
  async read(vm: ControlVm): Promise<number | undefined> {
    const result = await this.#replicaOf(vm)?.control.query({
      machine: "configuration",
      question: null,
    });
    if (result?.ok !== true) return undefined;
    return (result.val as StoredConfiguration | null)?.rules.version;
  }

  #replicaOf(vm: ControlVm): ControlReplica | undefined {
    return vm.process?.frozen === false ? vm.process.replica : undefined;
  }

  /** Whether the VM acknowledges the configuration in time; a VM without a process refuses connections at once. */
  #send(vm: ControlVm, version: number): Promise<boolean> {
    if (vm.process === undefined) return Promise.resolve(false);
    const timeout = this.clock.sleep(OPERATOR_TIMEOUT_MS).then(() => false);
    const replica = this.#replicaOf(vm);
    if (replica === undefined) return timeout;
    const stored = replica.control.propose({
      machine: "configuration",
      command: createConfiguration(version),
    });
    return Promise.race([stored.then(({ ok }) => ok), timeout]);
  }
}

function describeVm(
  vm: ControlVm,
  firstStart: boolean,
  group: GroupStatus,
): FleetNode {
  return {
    vm: vm.name,
    name: vm.name,
    role: "control",
    zone: vm.zone,
    startedMs: 0,
    firstStart,
    asked: [],
    ...group,
  };
}

function createConfiguration(version: number): StoredConfiguration {
  const limits = {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  const services = [
    { name: NAMED_SERVICE, maximumConnections: 1, engine: null },
  ];
  const rules = { version, routes: [], services, limits };
  return { document: JSON.stringify({ version }), rules };
}

function shuffled<Value>(
  values: readonly Value[],
  random: RandomSource,
): readonly Value[] {
  const left = [...values];
  const order: Value[] = [];
  while (left.length > 0) {
    order.push(...left.splice(random.below(left.length), 1));
  }
  return order;
}
