/**
 * The replicated log of a group of control VMs: drives a replica with the machine's disk, network and
 * clock, and applies what is committed.
 *
 * @module
 */
import {
  type AnyStateMachine,
  type Clock,
  Err,
  type EventLog,
  fail,
  type Failure,
  type MachineCommand,
  type MachineQuestion,
  MEBIBYTE,
  type Milliseconds,
  type RandomSource,
  type Result,
  type Timer,
} from "#core";
import { encodeValue, type PeerNetwork } from "#wire";
import { type DataFolder, StorageFault } from "./data_folder.ts";
import type { LogEntry } from "./entries.ts";
import { AGREEMENT_EVENTS } from "./events.ts";
import type { Instant } from "./leadership.ts";
import { LogStorage } from "./log_storage.ts";
import { MachineHost, unknownMachine } from "./machine_host.ts";
import { packMessage, unpackMessage } from "./messages.ts";
import { notLeader, Proposals } from "./proposals.ts";
import { Replica } from "./replica.ts";
import type { Outgoing, TakenBatch } from "./replica_state.ts";
import { type LogStatus, ReplicatedLog } from "./replicated_log.ts";
import { DEFAULT_TIMING, type LogTiming } from "./timing.ts";

const IDENTITY_LENGTH = 16;
const MAXIMUM_COMMAND_BYTES = 4 * MEBIBYTE;
const NO_QUORUM_RETRY_MS: Milliseconds = 1_000;
const NOT_READY_RETRY_MS: Milliseconds = 100;

/** What a replica is built from. */
export interface QuorumLogOptions {
  readonly vm: string;
  readonly network: PeerNetwork;
  readonly folder: DataFolder;
  readonly machines: readonly AnyStateMachine[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  /** VM names of the control VMs as settings or the bundle say now. */
  readonly peers: () => readonly string[];
  /**
   * Forms a new group of these VMs, each with an empty data folder. Without it an empty folder is a new
   * replica that waits for a seat; with a used folder it has no effect.
   */
  readonly firstStart?: { readonly voters: readonly string[] };
  readonly timing?: LogTiming;
  /** Called once when the disk fails; the replica has stopped by then. */
  readonly onFatal?: (failure: Failure) => void;
}

/**
 * One replica of the log.
 *
 * @example
 * ```ts
 * const log = new QuorumLog({
 *   vm: "control-1",
 *   network,
 *   folder: new FileFolder("/var/lib/cicadafield"),
 *   machines: [bundles, claims, ledger, orders],
 *   clock: new SystemClock(),
 *   random: new SystemRandom(),
 *   events,
 *   peers: () => ["control-1", "control-2", "control-3"],
 *   firstStart: { voters: ["control-1", "control-2", "control-3"] },
 * });
 * await log.start();
 * const reply = await log.propose({ machine: "bundles", command });
 * ```
 */
export class QuorumLog extends ReplicatedLog {
  readonly #options: QuorumLogOptions;
  readonly #storage: LogStorage;
  readonly #host: MachineHost;
  readonly #proposals: Proposals;
  readonly #listeners = new Set<(index: number) => void>();
  #replica: Replica | undefined;
  #appliedIndex = 0;
  #syncing = false;
  #timer: { readonly dueMs: Milliseconds; readonly timer: Timer } | undefined;
  #lastLeader: string | null = null;

  constructor(options: QuorumLogOptions) {
    super();
    this.#options = options;
    this.#storage = new LogStorage(options.folder);
    this.#host = new MachineHost(options.machines, options.events);
    const { proposalTimeoutMs } = options.timing ?? DEFAULT_TIMING;
    this.#proposals = new Proposals(options.clock, proposalTimeoutMs);
  }

  override async start(): Promise<void> {
    const { clock, events, network, random, vm } = this.#options;
    const recovered = await this.#storage.open(() =>
      random.identifier().slice(0, IDENTITY_LENGTH)
    );
    if (recovered.snapshot !== null) {
      this.#host.restore(recovered.snapshot.states);
      this.#appliedIndex = recovered.snapshot.meta.index;
    }
    this.#replica = new Replica({
      vm,
      recovered,
      random,
      timing: this.#options.timing ?? DEFAULT_TIMING,
      nowMs: clock.nowMs(),
      firstVoters: this.#options.firstStart?.voters,
    });
    events.emit(AGREEMENT_EVENTS.started, {
      replica: recovered.identity,
      fresh: recovered.fresh,
      lastIndex: this.#replica.state.log.lastIndex,
    });
    network.onNotice("agreement", (from, body) => this.#receive(from, body));
    this.#step();
  }

  override async stop(): Promise<void> {
    const replica = this.#replica;
    if (replica === undefined) return;
    this.#replica = undefined;
    this.#timer?.timer.cancel();
    this.#proposals.abandonAll();
    await this.#storage.close();
  }

  override propose(request: MachineCommand): Promise<Result<unknown, Failure>> {
    const refusal = this.#refusal();
    if (refusal !== undefined) return Promise.resolve(Err(refusal));
    if (!this.#host.has(request.machine)) {
      return Promise.resolve(unknownMachine(request.machine));
    }
    const { machine, command } = request;
    const body = encodeValue({ machine, command });
    if (body.length > MAXIMUM_COMMAND_BYTES) {
      const message = `a command of ${body.length} bytes is over the limit`;
      return Promise.resolve(Err(fail("body_too_large", message)));
    }
    const position = this.#replica?.add("command", body, this.#instant());
    if (position === undefined) {
      return Promise.resolve(Err(notLeader(null)));
    }
    const outcome = this.#proposals.wait(position);
    this.#step();
    return outcome;
  }

  override query(request: MachineQuestion): Promise<Result<unknown, Failure>> {
    const refusal = this.#refusal() ?? this.#notEstablished();
    if (refusal !== undefined) return Promise.resolve(Err(refusal));
    return Promise.resolve(this.#host.ask(request));
  }

  override status(): LogStatus {
    const state = this.#replica?.state;
    const goal = this.#replica?.startGoal ?? null;
    return {
      replica: state?.identity ?? "",
      role: state?.role ?? "learner",
      term: state?.term ?? 0,
      leader: state?.leader?.vm ?? null,
      committedIndex: state?.committedIndex ?? 0,
      appliedIndex: this.#appliedIndex,
      voters: (state?.rules().seats() ?? []).map((seat) => seat.vm),
      ready: goal !== null && this.#appliedIndex >= goal,
    };
  }

  override leaseUntilMs(): number {
    if (this.#notEstablished() !== undefined) return 0;
    return this.#replica?.leaseUntilMs(this.#options.clock.nowMs()) ?? 0;
  }

  override onApplied(listener: (index: number) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Why this replica can't take a request; such a request is never run. */
  #refusal(): Failure | undefined {
    const replica = this.#replica;
    if (replica === undefined) {
      return fail("not_ready", "the replica isn't started");
    }
    if (replica.leadership === undefined) {
      return notLeader(replica.state.leader?.vm ?? null);
    }
    if (replica.leaseUntilMs(this.#options.clock.nowMs()) > 0) return undefined;
    return fail("no_quorum", "the leader can't reach a majority of replicas", {
      retryAfterMs: NO_QUORUM_RETRY_MS,
    });
  }

  #notEstablished(): Failure | undefined {
    const leadership = this.#replica?.leadership;
    if (leadership === undefined) return notLeader(null);
    const caughtUp = this.#appliedIndex >= leadership.barrierIndex;
    if (leadership.established && caughtUp) return undefined;
    return fail("not_ready", "the leader is still catching up", {
      retryAfterMs: NOT_READY_RETRY_MS,
    });
  }

  #instant(): Instant {
    const { clock } = this.#options;
    return { nowMs: clock.nowMs(), wallMs: clock.wallMs() };
  }

  #receive(from: string, body: unknown): void {
    const replica = this.#replica;
    if (replica === undefined) return;
    const message = unpackMessage(body);
    if (message === undefined) {
      this.#options.events.emit(AGREEMENT_EVENTS.messageRefused, { from });
      return;
    }
    replica.receive(from, message, this.#instant());
    this.#step();
  }

  /** Does everything that follows from the last input. */
  #step(): void {
    const replica = this.#replica;
    if (replica === undefined) return;
    this.#applyCommitted(replica);
    this.#send(replica.takeReady());
    this.#reportLeader(replica);
    this.#sync(replica);
    this.#arm(replica);
  }

  #arm(replica: Replica): void {
    const dueMs = replica.dueMs();
    if (this.#timer !== undefined && this.#timer.dueMs <= dueMs) return;
    this.#timer?.timer.cancel();
    const delayMs = Math.max(0, dueMs - this.#options.clock.nowMs());
    const timer = this.#options.clock.after(delayMs, () => {
      this.#timer = undefined;
      this.#replica?.tick(this.#instant());
      this.#step();
    });
    this.#timer = { dueMs, timer };
  }

  #send(messages: readonly Outgoing[]): void {
    for (const { vm, message } of messages) {
      this.#options.network.notify(
        { to: vm, channel: "agreement" },
        packMessage(message),
      );
    }
  }

  async #sync(replica: Replica): Promise<void> {
    if (this.#syncing) return;
    this.#syncing = true;
    try {
      while (replica === this.#replica) {
        const taken = replica.takeBatch(this.#options.clock.nowMs());
        this.#send(replica.takeReady());
        if (taken === undefined) break;
        await this.#storage.append(taken.batch);
        this.#finish(replica, taken);
      }
    } catch (error) {
      this.#halt(error);
    } finally {
      this.#syncing = false;
    }
  }

  #finish(replica: Replica, taken: TakenBatch): void {
    if (replica !== this.#replica) return;
    replica.synced(taken);
    this.#send(taken.held);
    this.#applyCommitted(replica);
    this.#send(replica.takeReady());
    this.#arm(replica);
  }

  #applyCommitted(replica: Replica): void {
    let entry = replica.committedEntry(this.#appliedIndex + 1);
    while (entry !== undefined) {
      this.#appliedIndex = entry.index;
      this.#apply(entry, replica);
      entry = replica.committedEntry(this.#appliedIndex + 1);
    }
  }

  #apply(entry: LogEntry, replica: Replica): void {
    const leader = replica.state.leader?.vm ?? null;
    const result = entry.kind === "command"
      ? this.#host.apply(entry)
      : Err(notLeader(leader));
    this.#proposals.decided(entry, result, leader);
    for (const listener of this.#listeners) listener(entry.index);
  }

  #reportLeader(replica: Replica): void {
    const leader = replica.state.leader?.vm ?? null;
    if (leader === this.#lastLeader) return;
    this.#lastLeader = leader;
    const { term } = replica.state;
    this.#options.events.emit(AGREEMENT_EVENTS.leaderChanged, { leader, term });
  }

  #halt(error: unknown): void {
    const failure = error instanceof StorageFault
      ? error.failure
      : fail("storage_failed", String(error));
    this.#options.events.emit(AGREEMENT_EVENTS.storageFailed, { ...failure });
    this.#replica = undefined;
    this.#timer?.timer.cancel();
    this.#proposals.abandonAll();
    this.#options.onFatal?.(failure);
  }
}
