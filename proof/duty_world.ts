/**
 * Three control VMs with a replicated log, entry VMs that count calls, and an API, on virtual time. Processes are killed
 * and restarted, VMs freeze, wall clocks step, links are cut.
 *
 * @module
 */
import { MemoryDisk, QuorumLog, SHORT_TIMING } from "#agreement";
import {
  type AnyStateMachine,
  MemoryEventLog,
  Metrics,
  type Milliseconds,
  type RandomSource,
  SeededRandom,
  VirtualClock,
} from "#core";
import {
  DutiesMachine,
  DutyHolder,
  TenantList,
  UsageCollector,
  UsageCounter,
  usageMetrics,
  UsageReporter,
  UsageSchedule,
  WindowClock,
} from "#duties";
import { serveControlRequests } from "#membership";
import { MemoryNetwork } from "#wire";
import {
  ProcessClock,
  ProcessNetwork,
  SNAPSHOT_POLICY,
} from "../agreement/simulated_process.ts";
import { SimulatedApi } from "./duty_api.ts";
import { DutyOracle } from "./duty_oracle.ts";

const LEASE_MS: Milliseconds = 3_000;
const CONTROLS = ["c1:1", "c2:1", "c3:1"];
const MAXIMUM_SYNC_MS: Milliseconds = 2;
const MAXIMUM_RATE_ERROR = 0.001;
const MAXIMUM_WALL_ERROR_MS: Milliseconds = 20;
/** The tenants of successive configurations. */
const TENANT_LISTS = [
  new TenantList(["t1", "t2"]),
  new TenantList(["t0", "t1", "t2", "t3"]),
  new TenantList([]),
];
/** Start of virtual time, on a boundary of a window. */
const START_MS: Milliseconds = 1_000_000;

/** Options of `DutyWorld`. */
export interface DutyWorldOptions {
  readonly seed: number;
  readonly entries: number;
  /** Length of a window of usage, and the time after its end within which its report is due. */
  readonly windowMs: Milliseconds;
  readonly dueMs: Milliseconds;
  /** Chance that a message between VMs is lost, and that it arrives twice; 0 if absent. */
  readonly lossChance?: number;
}

/** A VM; its disk survives its processes. */
export interface DutyVm {
  readonly name: string;
  readonly disk: MemoryDisk;
  /** Error of the wall clock when a process starts. */
  startErrorMs: Milliseconds;
  process: DutyProcess | undefined;
}

interface DutyProcess {
  readonly clock: ProcessClock;
  readonly network: ProcessNetwork;
  readonly log: QuorumLog | undefined;
  readonly machine: DutiesMachine | undefined;
  readonly holder: DutyHolder | undefined;
  readonly usage: UsageCounter | undefined;
  /** Error of the wall clock, which steps. */
  readonly wall: { errorMs: Milliseconds };
  frozen: boolean;
}

/** The deployment. */
export class DutyWorld {
  readonly clock = new VirtualClock(START_MS);
  readonly random: RandomSource;
  readonly network: MemoryNetwork;
  readonly schedule: UsageSchedule;
  readonly oracle = new DutyOracle(LEASE_MS);
  readonly api: SimulatedApi;
  readonly controls: readonly DutyVm[];
  readonly entries: readonly DutyVm[];
  readonly events = new MemoryEventLog();
  readonly metrics = new Metrics();
  hasTenants = true;
  #failure: unknown;
  #starts = 0;

  constructor(options: DutyWorldOptions) {
    this.random = new SeededRandom(options.seed);
    this.schedule = new UsageSchedule(options);
    const chance = options.lossChance ?? 0;
    this.network = new MemoryNetwork({
      clock: this.clock,
      random: this.random,
      links: {
        minimumDelayMs: 0.3,
        maximumDelayMs: 2,
        dropChance: chance,
        duplicateChance: chance,
      },
    });
    const { clock, random, oracle } = this;
    this.api = new SimulatedApi({ clock, random, oracle });
    this.controls = CONTROLS.map((name) => this.#createVm(name));
    this.entries = Array.from(
      { length: options.entries },
      (_, at) => this.#createVm(`e${at}:1`),
    );
  }

  /** Starts all VMs; the control VMs form a new group. */
  async start(): Promise<void> {
    for (const vm of this.controls) this.startControl(vm, true);
    for (const vm of this.entries) this.startEntry(vm);
    await this.run(1_000);
  }

  /** Starts a control VM unless it runs. */
  startControl(vm: DutyVm, isFirstStart = false): void {
    if (vm.process !== undefined) return;
    const base = this.#startBase(vm);
    const { clock, network, windowClock } = base;
    const machine = new DutiesMachine();
    const log = new QuorumLog({
      ...base,
      folder: vm.disk.open(),
      machines: [machine] as readonly AnyStateMachine[],
      peers: () => CONTROLS,
      timing: SHORT_TIMING,
      snapshots: SNAPSHOT_POLICY,
      ...(isFirstStart ? { firstStart: { voters: CONTROLS } } : {}),
      onFatal: (failure) => {
        if (vm.process?.log === log) {
          this.#failure ??= new Error(failure.message);
        }
      },
    });
    const common = { ...base, machine, log };
    const holder = new DutyHolder({
      ...common,
      nodeName: vm.name,
      leaseMs: LEASE_MS,
      isNeeded: () => reporter.isNeeded(),
    });
    const usage = {
      ...common,
      holder,
      schedule: this.schedule,
      windowClock,
      metrics: usageMetrics(this.metrics),
    };
    const process = `${vm.name}-${this.#starts}`;
    const collector = new UsageCollector({
      ...usage,
      epoch: process,
      isHolder: () => holder.authority() !== null,
      leader: () => log.status().leader ?? undefined,
    });
    const reporter = new UsageReporter({
      ...usage,
      collector,
      port: this.api.portFor({ vm: vm.name, process, clock }),
      hasTenants: () => this.hasTenants,
    });
    serveControlRequests(network, [collector]);
    vm.process = {
      ...base,
      machine,
      log,
      holder,
      usage: undefined,
      frozen: false,
    };
    log.start().catch((error: unknown) => {
      if (vm.process?.log === log) this.#failure ??= error;
    });
    holder.start();
    reporter.start();
  }

  /** Starts an entry VM unless it runs. */
  startEntry(vm: DutyVm): void {
    if (vm.process !== undefined) return;
    const base = this.#startBase(vm);
    const usage = new UsageCounter({
      ...base,
      schedule: this.schedule,
      voters: () => CONTROLS,
      leader: () => this.leader()?.name,
    });
    usage.handleFleetChange();
    vm.process = {
      ...base,
      machine: undefined,
      log: undefined,
      holder: undefined,
      usage,
      frozen: false,
    };
  }

  /** Ends the process of a VM at once. */
  kill(vm: DutyVm): void {
    const { process } = vm;
    if (process === undefined) return;
    vm.process = undefined;
    process.clock.kill();
    process.network.kill();
    this.network.leave(vm.name);
    vm.disk.crash();
  }

  /** Suspends a process, or its VM; what arrives waits. */
  freeze(vm: DutyVm): void {
    if (vm.process === undefined || vm.process.frozen) return;
    vm.process.frozen = true;
    vm.process.clock.pause(this.random.below(2) === 0 ? "vm" : "process");
    this.network.pause(vm.name);
  }

  /** Resumes a process; at random its timers run first, or what has arrived. */
  thaw(vm: DutyVm): void {
    if (vm.process?.frozen !== true) return;
    vm.process.frozen = false;
    if (this.random.below(2) === 0) this.network.resume(vm.name);
    vm.process.clock.resume();
    this.network.resume(vm.name);
  }

  /** Moves the wall clock of a VM. */
  stepClock(vm: DutyVm, byMs: Milliseconds): void {
    if (vm.process !== undefined) vm.process.wall.errorMs += byMs;
  }

  /** Cuts a VM off from all others, and from the API as well or not. */
  cutOff(vm: DutyVm): void {
    for (const other of [...this.controls, ...this.entries]) {
      if (other === vm) continue;
      this.network.blockLink(vm.name, other.name);
      this.network.blockLink(other.name, vm.name);
    }
    if (this.random.below(2) === 0) this.api.cutOff.add(vm.name);
  }

  /** Ends all cuts. */
  heal(): void {
    this.network.restoreLinks();
    this.api.cutOff.clear();
  }

  /** The control VM that leads under a lease and is not frozen, if any. */
  leader(): DutyVm | undefined {
    return this.controls.find(({ process }) =>
      process !== undefined && !process.frozen &&
      (process.log?.leaseUntilMs() ?? 0) > process.clock.nowMs()
    );
  }

  /** Counts a call at an entry VM that runs; returns its window in true time, or undefined if the VM doesn't run. */
  call(vm: DutyVm, tenant: string): number | undefined {
    const { process } = vm;
    if (process?.usage === undefined || process.frozen) return undefined;
    process.usage.count(tenant, process.clock.nowMs());
    return this.schedule.windowAt(this.clock.wallMs());
  }

  /** Advances virtual time; throws the first failure so far. */
  async run(durationMs: Milliseconds): Promise<void> {
    await this.clock.advanceAsync(durationMs);
    if (this.#failure !== undefined) throw this.#failure;
  }

  #createVm(name: string): DutyVm {
    const disk = new MemoryDisk({
      clock: this.clock,
      random: this.random,
      nextSyncMs: () => this.random.fraction() * MAXIMUM_SYNC_MS,
    });
    return { name, disk, startErrorMs: 0, process: undefined };
  }

  #startBase(vm: DutyVm) {
    this.#starts += 1;
    const errorMs = vm.startErrorMs + this.#drawError(MAXIMUM_WALL_ERROR_MS);
    const wall = { errorMs };
    const clock = new ProcessClock(this.clock, {
      rate: 1 + this.#drawError(MAXIMUM_RATE_ERROR),
      monotonicOffsetMs: this.random.fraction() * START_MS,
      get wallOffsetMs() {
        return wall.errorMs;
      },
    });
    const startedMs = clock.wallMs();
    const read = () => ({
      steadyMs: this.clock.nowMs(),
      wallMs: clock.wallMs(),
    });
    // The configuration of some VMs is older than that of others.
    const tenants = TENANT_LISTS[this.#starts % TENANT_LISTS.length];
    return {
      tenants: () => tenants,
      vm: vm.name,
      clock,
      network: new ProcessNetwork(this.network.join(vm.name)),
      random: this.random,
      events: this.events,
      wall,
      startedMs,
      windowClock: new WindowClock(read),
    };
  }

  #drawError(maximum: number): number {
    return (this.random.fraction() * 2 - 1) * maximum;
  }
}
