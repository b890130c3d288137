/**
 * A group of replicas in one process with virtual time, faulty links and disks that lose unsynced changes,
 * for tests.
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
import type { Voter } from "./entries.ts";
import { AGREEMENT_EVENTS } from "./events.ts";
import { type ListItem, ListMachine, LogOracle } from "./log_oracle.ts";
import { MemoryDisk } from "./memory_folder.ts";
import { QuorumLog } from "./quorum_log.ts";
import {
  ProcessClock,
  ProcessNetwork,
  SNAPSHOT_POLICY,
} from "./simulated_process.ts";
import { DEFAULT_TIMING, type LogTiming } from "./timing.ts";

const MAXIMUM_SYNC_MS: Milliseconds = 2;
const MAXIMUM_SLOW_SYNC_MS: Milliseconds = 200;
const SLOW_SYNC_CHANCE = 0.1;
const MAXIMUM_CLOCK_RATE_ERROR = 0.02;
const MAXIMUM_CLOCK_OFFSET_MS: Milliseconds = 100_000;

/** Options of `SimulatedGroup`. */
export interface SimulatedGroupOptions {
  readonly seed: number;
  /** VMs whose replicas are the initial voters. */
  readonly vms: readonly string[];
  /** Additional VMs that are not voters initially. */
  readonly spares?: readonly string[];
  readonly timing?: LogTiming | undefined;
}

/** A simulated VM; its disk survives its processes. */
export interface SimulatedVm {
  readonly name: string;
  readonly disk: MemoryDisk;
  /** The running process, if any. */
  process: SimulatedProcess | undefined;
  /** Identity of the replica on the disk, known once a process has started with it. */
  replica: string | undefined;
}

/** A simulated process with its replica. */
export interface SimulatedProcess {
  readonly log: QuorumLog;
  readonly machine: ListMachine;
  readonly clock: ProcessClock;
  readonly network: ProcessNetwork;
  paused: boolean;
  stopping: boolean;
}

/** Records the voters of the latest change that all voters know to be committed. */
class VoterRecorder extends EventLog {
  settledVoters: readonly Voter[] = [];
  #index = 0;

  override emit(event: EventDefinition, fields: EventFields = {}): void {
    if (event !== AGREEMENT_EVENTS.seatsChanged) return;
    const index = fields["index"] as number;
    if (index < this.#index) return;
    this.#index = index;
    this.settledVoters = fields["seats"] as readonly Voter[];
  }
}

/** Runs replicas, injects faults and checks the results against a `LogOracle`. */
export class SimulatedGroup {
  readonly clock = new VirtualClock(1_000);
  readonly random: RandomSource;
  readonly network: MemoryNetwork;
  readonly oracle = new LogOracle();
  readonly vms: readonly SimulatedVm[];
  /** Control VMs that should be voters. */
  peers: readonly string[];
  readonly #initialVoters: readonly string[];
  readonly #timing: LogTiming;
  readonly #events = new VoterRecorder();
  #nextValue = 1;
  #failure: unknown;

  constructor(options: SimulatedGroupOptions) {
    this.random = new SeededRandom(options.seed);
    this.#initialVoters = options.vms;
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
        nextSyncMs: () => this.#nextSyncMs(),
      }),
      process: undefined,
      replica: undefined,
    }));
  }

  /** Starts the initial voters as a new group. */
  async startAll(): Promise<void> {
    for (const vm of this.vms) {
      if (this.#initialVoters.includes(vm.name)) this.start(vm, true);
    }
    await this.run(2_000);
  }

  /** Returns the VM with a number, taken modulo the number of VMs. */
  vm(number: number): SimulatedVm {
    return this.vms[number % this.vms.length] as SimulatedVm;
  }

  /** Starts a process on a VM unless one is running. */
  start(vm: SimulatedVm, isFirstStart = false): void {
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
      snapshots: SNAPSHOT_POLICY,
      ...(isFirstStart ? { firstStart: { voters: this.#initialVoters } } : {}),
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
      paused: false,
      stopping: false,
    };
    this.#captureFailure(
      log.start().then(() => {
        if (vm.process?.log === log) vm.replica = log.status().replica;
      }).catch((error: unknown) => {
        if (!(error instanceof DiskFullError) && !vm.disk.failed) throw error;
        if (vm.process?.log === log) this.crash(vm);
      }),
    );
  }

  /** Kills the process of a VM. */
  crash(vm: SimulatedVm): void {
    const process = vm.process;
    if (process === undefined) return;
    vm.process = undefined;
    process.clock.kill();
    process.network.kill();
    this.network.leave(vm.name);
    vm.disk.crash();
  }

  /** Shuts the process down gracefully. */
  stop(vm: SimulatedVm): void {
    const process = vm.process;
    if (process === undefined || process.paused) return;
    process.stopping = true;
    const stopped = process.log.stop().then(() => {
      if (vm.process === process) this.crash(vm);
    });
    this.#captureFailure(stopped);
  }

  /** Kills the process after `syncs` more syncs, immediately before the next one becomes durable. */
  crashAtSync(vm: SimulatedVm, syncs: number): void {
    let left = syncs;
    vm.disk.beforeSync = () => {
      if (left === 0) this.crash(vm);
      left -= 1;
    };
  }

  /** Kills the process and erases its disk. */
  loseDisk(vm: SimulatedVm): void {
    this.crash(vm);
    vm.disk.wipe();
    vm.replica = undefined;
  }

  /** Whether the disk can be lost now without losing a majority of the voters. */
  canLoseDisk(vm: SimulatedVm): boolean {
    const voters = this.#events.settledVoters;
    if (voters.length === 0) return false;
    const intact = voters.filter((voter) => this.#hasReplica(voter));
    const hasSpares = this.vms.length > this.#initialVoters.length;
    if (hasSpares && !this.#isMembershipStable(voters)) return false;
    const remaining = intact.filter((voter) => voter.vm !== vm.name);
    return remaining.length > voters.length / 2;
  }

  /** Pauses a process or suspends its VM; to others it appears unresponsive. */
  pause(vm: SimulatedVm): void {
    if (vm.process === undefined) return;
    vm.process.paused = true;
    vm.process.clock.pause(this.random.below(2) === 0 ? "vm" : "process");
    this.network.pause(vm.name);
  }

  /** Resumes a process; at random, a request, due timers or received messages are handled first. */
  resume(vm: SimulatedVm): void {
    if (vm.process?.paused !== true) return;
    vm.process.paused = false;
    const firstEvent = this.random.below(3);
    if (firstEvent === 0) this.query(vm);
    if (firstEvent === 1) this.network.resume(vm.name);
    vm.process.clock.resume();
    this.network.resume(vm.name);
  }

  /** Proposes the next number at a VM and checks the result. */
  propose(vm: SimulatedVm): void {
    const process = vm.process;
    if (process === undefined || process.paused) return;
    const value = this.#nextValue;
    this.#nextValue += 1;
    const outcome = process.log.propose({ machine: "bundles", command: value });
    this.#captureFailure(outcome.then((reply) => {
      if (reply.ok) this.oracle.recordAcknowledged(value, reply.val as number);
      else if (reply.val.ran === "no") this.oracle.recordNotRun(value);
    }));
  }

  /** Reads the list at a VM and checks the result. */
  query(vm: SimulatedVm): void {
    const process = vm.process;
    if (process === undefined || process.paused) return;
    const expected = this.oracle.startRead();
    const outcome = process.log.query({ machine: "bundles", question: null });
    this.#captureFailure(outcome.then((result) => {
      if (!result.ok) return;
      this.oracle.checkRead(result.val as readonly ListItem[], expected);
    }));
  }

  /** Advances virtual time; throws the first failure of a check so far. */
  async run(durationMs: Milliseconds): Promise<void> {
    await this.clock.advanceAsync(durationMs);
    if (this.#failure !== undefined) throw this.#failure;
  }

  /** Ends all faults and starts all VMs that are not running. */
  clearFaults(): void {
    this.network.restoreLinks();
    this.network.links = {
      minimumDelayMs: 0.5,
      maximumDelayMs: 0.5,
      dropChance: 0,
      duplicateChance: 0,
    };
    for (const vm of this.vms) {
      vm.disk.beforeSync = () => {};
      vm.disk.full = false;
      vm.disk.failsNextChange = false;
      this.resume(vm);
      if (vm.process?.stopping === true) this.crash(vm);
      this.start(vm);
    }
  }

  /** The process that is leader and holds a valid lease, if any. */
  leader(): SimulatedProcess | undefined {
    for (const { process } of this.vms) {
      if (process !== undefined && process.log.leaseUntilMs() > 0) {
        return process;
      }
    }
    return undefined;
  }

  /** Voters of the latest change that all voters know to be committed. */
  get settledVoters(): readonly Voter[] {
    return this.#events.settledVoters;
  }

  #nextSyncMs(): Milliseconds {
    const slow = this.random.fraction() < SLOW_SYNC_CHANCE;
    return this.random.fraction() *
      (slow ? MAXIMUM_SLOW_SYNC_MS : MAXIMUM_SYNC_MS);
  }

  /** Whether all voters are intact and every running replica that knows any voters knows exactly these. */
  #isMembershipStable(voters: readonly Voter[]): boolean {
    if (!voters.every((voter) => this.#hasReplica(voter))) return false;
    const names = voters.map((voter) => voter.vm).sort().join();
    for (const { process } of this.vms) {
      const known = process?.log.status().voters ?? [];
      if (known.length > 0 && [...known].sort().join() !== names) {
        return false;
      }
    }
    return true;
  }

  #hasReplica(voter: Voter): boolean {
    const vm = this.vms.find((each) => each.name === voter.vm);
    return vm?.replica === voter.replica;
  }

  #captureFailure(promise: Promise<unknown>): void {
    promise.catch((error: unknown) => {
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
      monotonicOffsetMs: this.random.fraction() * MAXIMUM_CLOCK_OFFSET_MS,
      wallOffsetMs: spread() * MAXIMUM_CLOCK_OFFSET_MS,
    };
  }
}
