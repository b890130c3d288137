/**
 * A group of replicas in one process with virtual time, faulty links and disks that forget: for tests.
 *
 * @module
 */
import {
  type EventDefinition,
  type EventFields,
  EventLog,
  type Milliseconds,
  type RandomSource,
  SeededRandom,
  VirtualClock,
} from "#core";
import { MemoryNetwork } from "#wire";
import { DiskFullError } from "./data_folder.ts";
import type { Seat } from "./entries.ts";
import { AGREEMENT_EVENTS } from "./events.ts";
import { type ListItem, ListMachine, LogOracle } from "./log_oracle.ts";
import { MemoryDisk } from "./memory_folder.ts";
import { QuorumLog } from "./quorum_log.ts";
import { ProcessClock, ProcessNetwork } from "./simulated_process.ts";
import { DEFAULT_TIMING, type LogTiming } from "./timing.ts";

const SYNC_MS: Milliseconds = 2;
const SLOW_SYNC_MS: Milliseconds = 200;
const SLOW_SYNC_CHANCE = 0.1;
const MAXIMUM_CLOCK_RATE_ERROR = 0.02;
const MAXIMUM_OFFSET_MS: Milliseconds = 100_000;
const SMALL_SNAPSHOTS = { entries: 8, bytes: 1_000_000, retainedEntries: 3 };

/** What a group is built from. */
export interface SimulatedGroupOptions {
  readonly seed: number;
  /** VMs of the first start. */
  readonly vms: readonly string[];
  /** Further VMs, without a seat at first. */
  readonly spares?: readonly string[];
  readonly timing?: LogTiming | undefined;
}

/** One VM: its disk outlives its processes. */
export interface SimulatedVm {
  readonly name: string;
  readonly disk: MemoryDisk;
  /** The process that runs, if one does. */
  process: SimulatedProcess | undefined;
  /** Identity of the replica on the disk, once a process has started with it. */
  replica: string | undefined;
}

/** One process with its replica. */
export interface SimulatedProcess {
  readonly log: QuorumLog;
  readonly machine: ListMachine;
  readonly clock: ProcessClock;
  readonly network: ProcessNetwork;
  frozen: boolean;
  stopping: boolean;
}

/** Records the seats that the replicas report as settled. */
class SeatWatch extends EventLog {
  settled: readonly Seat[] = [];
  #index = 0;

  override emit(event: EventDefinition, fields: EventFields = {}): void {
    if (event !== AGREEMENT_EVENTS.seatsChanged) return;
    const index = fields["index"] as number;
    if (index < this.#index) return;
    this.#index = index;
    this.settled = fields["seats"] as readonly Seat[];
  }
}

/** Replicas, their faults and what was promised. */
export class SimulatedGroup {
  readonly clock = new VirtualClock(1_000);
  readonly random: RandomSource;
  readonly network: MemoryNetwork;
  readonly oracle = new LogOracle();
  readonly vms: readonly SimulatedVm[];
  /** Control VMs that should have seats. */
  peers: readonly string[];
  readonly #firstVoters: readonly string[];
  readonly #timing: LogTiming;
  readonly #events = new SeatWatch();
  #nextValue = 1;
  #failure: unknown;

  constructor(options: SimulatedGroupOptions) {
    this.random = new SeededRandom(options.seed);
    this.#firstVoters = options.vms;
    this.#timing = options.timing ?? DEFAULT_TIMING;
    this.peers = options.vms;
    this.network = new MemoryNetwork({
      clock: this.clock,
      random: this.random,
    });
    const names = [...options.vms, ...options.spares ?? []];
    this.vms = names.map((name) => ({
      name,
      disk: new MemoryDisk({
        clock: this.clock,
        random: this.random,
        syncMs: () => this.#syncMs(),
      }),
      process: undefined,
      replica: undefined,
    }));
  }

  /** Starts the first processes of all VMs as a new group. */
  async startAll(): Promise<void> {
    for (const vm of this.vms) {
      if (this.#firstVoters.includes(vm.name)) this.start(vm, true);
    }
    await this.run(2_000);
  }

  /** The VM at a position, counted around. */
  vm(at: number): SimulatedVm {
    return this.vms[at % this.vms.length] as SimulatedVm;
  }

  /** Starts a process unless one runs. */
  start(vm: SimulatedVm, first = false): void {
    if (vm.process !== undefined) return;
    vm.disk.beforeSync = () => {};
    const clock = new ProcessClock(this.clock, this.#clockError());
    const network = new ProcessNetwork(this.network.join(vm.name));
    const machine = new ListMachine(this.oracle);
    const log = new QuorumLog({
      vm: vm.name,
      network,
      folder: vm.disk.open(),
      machines: [machine],
      clock,
      random: this.random,
      events: this.#events,
      peers: () => this.peers,
      timing: this.#timing,
      snapshots: SMALL_SNAPSHOTS,
      ...(first ? { firstStart: { voters: this.#firstVoters } } : {}),
      onFatal: (failure) => {
        if (vm.disk.failed) this.crash(vm);
        else this.#failure ??= new Error(`${vm.name}: ${failure.message}`);
      },
    });
    vm.process = {
      log,
      machine,
      clock,
      network,
      frozen: false,
      stopping: false,
    };
    this.#guard(
      log.start().then(() => {
        if (vm.process?.log === log) vm.replica = log.status().replica;
      }).catch((error: unknown) => {
        if (!(error instanceof DiskFullError) && !vm.disk.failed) throw error;
        if (vm.process?.log === log) this.crash(vm);
      }),
    );
  }

  /** Kills the process. */
  crash(vm: SimulatedVm): void {
    const process = vm.process;
    if (process === undefined) return;
    vm.process = undefined;
    process.clock.kill();
    process.network.kill();
    this.network.leave(vm.name);
    vm.disk.crash();
  }

  /** Stops the process in good order. */
  stop(vm: SimulatedVm): void {
    const process = vm.process;
    if (process === undefined || process.frozen) return;
    process.stopping = true;
    const stopped = process.log.stop().then(() => {
      if (vm.process === process) this.crash(vm);
    });
    this.#guard(stopped);
  }

  /** Kills the process when it has synced some more times, just before the last of these. */
  crashAtSync(vm: SimulatedVm, syncs: number): void {
    let left = syncs;
    vm.disk.beforeSync = () => {
      if (left === 0) this.crash(vm);
      left -= 1;
    };
  }

  /** Kills the process and empties its disk. */
  loseDisk(vm: SimulatedVm): void {
    this.crash(vm);
    vm.disk.wipe();
    vm.replica = undefined;
  }

  /** Whether a disk can be lost now without losing a majority of the voters. */
  mayLoseDisk(vm: SimulatedVm): boolean {
    const seats = this.#events.settled;
    if (seats.length === 0) return false;
    const intact = seats.filter((seat) => this.#holds(seat));
    const moving = this.vms.length > this.#firstVoters.length;
    if (moving && !this.#isSettled(seats)) return false;
    const left = intact.filter((seat) => seat.vm !== vm.name);
    return left.length > seats.length / 2;
  }

  /** Stops a process or suspends its VM for a while; others see it as silent. */
  freeze(vm: SimulatedVm): void {
    if (vm.process === undefined) return;
    vm.process.frozen = true;
    vm.process.clock.freeze(this.random.below(2) === 0 ? "vm" : "process");
    this.network.freeze(vm.name);
  }

  /** Lets a process go on: with a request, what was due, or what arrived first. */
  thaw(vm: SimulatedVm): void {
    if (vm.process?.frozen !== true) return;
    vm.process.frozen = false;
    const first = this.random.below(3);
    if (first === 0) this.query(vm);
    if (first === 1) this.network.thaw(vm.name);
    vm.process.clock.thaw();
    this.network.thaw(vm.name);
  }

  /** Proposes the next number at a VM and checks what is told of it. */
  propose(vm: SimulatedVm): void {
    const process = vm.process;
    if (process === undefined || process.frozen) return;
    const value = this.#nextValue;
    this.#nextValue += 1;
    const outcome = process.log.propose({ machine: "bundles", command: value });
    this.#guard(outcome.then((result) => {
      if (result.ok) this.oracle.acknowledged(value, result.val as number);
      else if (result.val.ran === "no") this.oracle.refused(value);
    }));
  }

  /** Reads at a VM and checks the answer. */
  query(vm: SimulatedVm): void {
    const process = vm.process;
    if (process === undefined || process.frozen) return;
    const atLeast = this.oracle.startRead();
    const answer = process.log.query({ machine: "bundles", question: null });
    this.#guard(answer.then((result) => {
      if (!result.ok) return;
      this.oracle.read(result.val as readonly ListItem[], atLeast);
    }));
  }

  /** Lets time pass; throws what a check has found meanwhile. */
  async run(durationMs: Milliseconds): Promise<void> {
    await this.clock.advanceAsync(durationMs);
    if (this.#failure !== undefined) throw this.#failure;
  }

  /** Ends all faults and starts what doesn't run. */
  mend(): void {
    this.network.heal();
    this.network.links = {
      minimumDelayMs: 0.5,
      maximumDelayMs: 0.5,
      dropChance: 0,
      doubleChance: 0,
    };
    for (const vm of this.vms) {
      vm.disk.beforeSync = () => {};
      vm.disk.full = false;
      vm.disk.broken = false;
      this.thaw(vm);
      if (vm.process?.stopping === true) this.crash(vm);
      this.start(vm);
    }
  }

  /** The process that leads with a lease, if one does. */
  leader(): SimulatedProcess | undefined {
    for (const { process } of this.vms) {
      if (process !== undefined && process.log.leaseUntilMs() > 0) {
        return process;
      }
    }
    return undefined;
  }

  /** Voters that were last reported as settled. */
  get settledSeats(): readonly Seat[] {
    return this.#events.settled;
  }

  #syncMs(): Milliseconds {
    const slow = this.random.fraction() < SLOW_SYNC_CHANCE;
    return this.random.fraction() * (slow ? SLOW_SYNC_MS : SYNC_MS);
  }

  /** Whether all voters are intact and no running replica knows of others. */
  #isSettled(seats: readonly Seat[]): boolean {
    if (!seats.every((seat) => this.#holds(seat))) return false;
    const names = seats.map((seat) => seat.vm).sort().join();
    for (const { process } of this.vms) {
      const voters = process?.log.status().voters ?? [];
      if (voters.length > 0 && [...voters].sort().join() !== names) {
        return false;
      }
    }
    return true;
  }

  #holds(seat: Seat): boolean {
    const vm = this.vms.find((each) => each.name === seat.vm);
    return vm?.replica === seat.replica;
  }

  #guard(work: Promise<unknown>): void {
    work.catch((error: unknown) => {
      this.#failure ??= error;
    });
  }

  #clockError(): {
    readonly rate: number;
    readonly monotonicOffsetMs: Milliseconds;
    readonly wallOffsetMs: Milliseconds;
  } {
    const spread = () => this.random.fraction() * 2 - 1;
    return {
      rate: 1 + spread() * MAXIMUM_CLOCK_RATE_ERROR,
      monotonicOffsetMs: this.random.fraction() * MAXIMUM_OFFSET_MS,
      wallOffsetMs: spread() * MAXIMUM_OFFSET_MS,
    };
  }
}
