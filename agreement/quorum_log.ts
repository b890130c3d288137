/**
 * Replicated log of a group of control VMs: connects a replica to the disk, network and clock, and applies
 * committed entries to the state machines.
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
  type MachineQuery,
  MEBIBYTE,
  type Milliseconds,
  type RandomSource,
  type Result,
  type Timer,
} from "#core";
import { encodeValue, type PeerNetwork } from "#wire";
import { Applier } from "./applier.ts";
import { ChunkSender } from "./chunk_sender.ts";
import { type DataFolder, StorageError } from "./data_folder.ts";
import { AGREEMENT_EVENTS } from "./events.ts";
import type { InitialGroup } from "./formation.ts";
import type { Instant } from "./leader_role.ts";
import { LogStorage } from "./log_storage.ts";
import { MachineHost, unknownMachine } from "./machine_host.ts";
import { packMessage, unpackMessage } from "./messages.ts";
import { notLeader, Proposals } from "./proposals.ts";
import { recoverReplica } from "./recovery.ts";
import { Replica } from "./replica.ts";
import {
  catchUpFailure,
  proposalRejection,
  requestRejection,
} from "./request_gate.ts";
import type { OutgoingMessage } from "./replica_state.ts";
import { type LogStatus, ReplicatedLog } from "./replicated_log.ts";
import {
  DEFAULT_SNAPSHOT_POLICY,
  type SnapshotPolicy,
} from "./snapshot_policy.ts";
import { REPORT_EVENTS, type VoterReport } from "./voter_manager.ts";
import { SyncLoop } from "./sync_loop.ts";
import { type LogSizes, logSizes } from "./log_sizes.ts";
import { DEFAULT_TIMING, type LogTiming } from "./timing.ts";

const IDENTITY_LENGTH = 16;
const MAXIMUM_COMMAND_BYTES = 4 * MEBIBYTE;
const MINIMUM_TIMER_MS: Milliseconds = 1;
const HANDOVER_WAIT_MS: Milliseconds = 1_000;
const HANDOVER_POLL_MS: Milliseconds = 10;

/** Options of `QuorumLog`. */
export interface QuorumLogOptions {
  readonly vm: string;
  readonly network: PeerNetwork;
  readonly folder: DataFolder;
  readonly machines: readonly AnyStateMachine[];
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  /** Returns the names of the control VMs that the settings or the bundle list at present. */
  readonly peers: () => readonly string[];
  /**
   * Forms a new group of these VMs, each with an empty data folder. If undefined, a replica with an empty
   * folder waits to be added as a voter. Has no effect if the folder is not empty.
   */
  readonly firstStart?: InitialGroup;
  /** Whether another replica should lead if it can, such as on a VM that is busy with another log. */
  readonly prefersOtherLeader?: () => boolean;
  readonly timing?: LogTiming;
  readonly snapshots?: SnapshotPolicy;
  /** Called once after the replica has stopped because of a storage error. */
  readonly onFatal?: (failure: Failure) => void;
}

/**
 * Replica of the log.
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
 * const result = await log.propose({ machine: "bundles", command });
 * ```
 */
export class QuorumLog extends ReplicatedLog {
  readonly #options: QuorumLogOptions;
  readonly #snapshotPolicy: SnapshotPolicy;
  readonly #storage: LogStorage;
  readonly #host: MachineHost;
  readonly #proposals: Proposals;
  readonly #applier: Applier;
  #replica: Replica | undefined;
  #syncLoop: SyncLoop | undefined;
  #chunkSender: ChunkSender | undefined;
  #timer: { readonly dueMs: Milliseconds; readonly timer: Timer } | undefined;
  #reportedLeader: string | null = null;
  #ready = false;
  /** Whether more entries are applied in a later turn of the event loop. */
  #continues = false;

  constructor(options: QuorumLogOptions) {
    super();
    this.#options = options;
    this.#snapshotPolicy = options.snapshots ?? DEFAULT_SNAPSHOT_POLICY;
    const { writeBytes } = this.#snapshotPolicy;
    this.#storage = new LogStorage(options.folder, writeBytes);
    this.#host = new MachineHost(options.machines, options.events);
    const { proposalTimeoutMs } = options.timing ?? DEFAULT_TIMING;
    this.#proposals = new Proposals(options.clock, proposalTimeoutMs);
    this.#applier = new Applier({
      host: this.#host,
      proposals: this.#proposals,
    });
  }

  override async start(): Promise<void> {
    const { clock, events, network, random } = this.#options;
    const startedMs = clock.nowMs();
    const recovered = await recoverReplica(
      this.#storage,
      this.#applier,
      () => random.identifier().slice(0, IDENTITY_LENGTH),
    );
    const replica = new Replica({
      vm: this.#options.vm,
      recovered,
      random,
      timing: this.#options.timing ?? DEFAULT_TIMING,
      nowMs: clock.nowMs(),
      startedMs,
      maximumLogBytes: this.#snapshotPolicy.maximumBytes,
      initialGroup: this.#options.firstStart,
      peers: this.#options.peers,
      prefersOtherLeader: this.#options.prefersOtherLeader ?? (() => false),
      report: (report) => this.#reportVoters(report),
    });
    this.#replica = replica;
    this.#syncLoop = this.#createSyncLoop(replica);
    this.#chunkSender = new ChunkSender({
      replica,
      storage: this.#storage,
      send: (messages) => this.#send(messages),
    });
    events.emit(AGREEMENT_EVENTS.started, {
      replica: recovered.identity,
      fresh: recovered.isNew,
      lastIndex: replica.state.log.lastIndex,
      entries: recovered.entries.length,
      logBytes: replica.state.log.bytes,
      snapshotBytes: recovered.snapshot?.bytes ?? 0,
      recoveryMs: Math.round(clock.nowMs() - startedMs),
    });
    network.onNotice("agreement", (from, body) => this.#receive(from, body));
    this.#processOutputs();
  }

  override async stop(): Promise<void> {
    const replica = this.#replica;
    if (replica === undefined) return;
    if (replica.transferLeadership(this.#options.clock.nowMs())) {
      this.#processOutputs();
      await this.#waitForSuccessor(replica);
    }
    this.#deactivate();
    await this.#syncLoop?.stop();
    await this.#storage.close();
  }

  override propose(request: MachineCommand): Promise<Result<unknown, Failure>> {
    const nowMs = this.#options.clock.nowMs();
    const rejection = proposalRejection(this.#replica, nowMs);
    if (rejection !== undefined) return Promise.resolve(Err(rejection));
    if (!this.#host.has(request.machine)) {
      return Promise.resolve(unknownMachine(request.machine));
    }
    const { machine, command } = request;
    const body = encodeValue({ machine, command });
    if (body.length > MAXIMUM_COMMAND_BYTES) {
      const message =
        `the command of ${body.length} bytes exceeds the size limit`;
      return Promise.resolve(Err(fail("body_too_large", message)));
    }
    const position = this.#replica?.appendEntry(
      "command",
      body,
      this.#instant(),
    );
    if (position === undefined) {
      return Promise.resolve(Err(notLeader(null)));
    }
    const outcome = this.#proposals.wait(position);
    this.#processOutputs();
    return outcome;
  }

  override query(request: MachineQuery): Promise<Result<unknown, Failure>> {
    const nowMs = this.#options.clock.nowMs();
    const rejection = requestRejection(this.#replica, nowMs) ??
      this.#catchUpFailure();
    if (rejection !== undefined) return Promise.resolve(Err(rejection));
    return Promise.resolve(this.#host.query(request));
  }

  override status(): LogStatus {
    const state = this.#replica?.state;
    this.#ready ||= this.#isCaughtUp();
    return {
      replica: state?.identity ?? "",
      role: state?.role ?? "learner",
      term: state?.term ?? 0,
      leader: state?.leader?.vm ?? null,
      committedIndex: state?.committedIndex ?? 0,
      appliedIndex: this.#applier.appliedIndex,
      hearsLeader:
        this.#replica?.hasLeaderContact(this.#options.clock.nowMs()) ??
          false,
      voters: (state?.quorum().voters() ?? []).map((voter) => voter.vm),
      ready: this.#ready,
    };
  }

  override leaseUntilMs(): number {
    if (this.#catchUpFailure() !== undefined) return 0;
    return this.#replica?.leaseUntilMs(this.#options.clock.nowMs()) ?? 0;
  }

  /** Returns the sizes of what this replica holds in memory; all 0 before `start`. */
  sizes(): LogSizes {
    return logSizes(this.#replica, this.#host);
  }

  override onApplied(listener: (index: number) => void): () => void {
    return this.#applier.onApplied(listener);
  }

  #isCaughtUp(): boolean {
    const replica = this.#replica;
    if (replica === undefined || !replica.isCommittedVoter) return false;
    const catchUpIndex = replica.catchUpIndex;
    return catchUpIndex !== null && this.#applier.appliedIndex >= catchUpIndex;
  }

  #catchUpFailure(): Failure | undefined {
    return catchUpFailure(this.#replica, this.#applier.appliedIndex);
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
    this.#processOutputs();
  }

  /** Applies, sends and writes whatever the last input of the replica has produced. */
  #processOutputs(): void {
    const replica = this.#replica;
    if (replica === undefined) return;
    if (this.#applier.advance(replica)) this.#continueSoon();
    this.#send(replica.drainReadyMessages());
    this.#chunkSender?.send();
    this.#reportLeader(replica);
    this.#syncLoop?.run();
    this.#scheduleTick(replica);
  }

  /** Applies further entries in a later turn of the event loop. */
  #continueSoon(): void {
    if (this.#continues) return;
    this.#continues = true;
    this.#options.clock.after(0, () => {
      this.#continues = false;
      this.#processOutputs();
    });
  }

  #scheduleTick(replica: Replica): void {
    const dueMs = replica.nextTickMs();
    if (this.#timer !== undefined && this.#timer.dueMs <= dueMs) return;
    this.#timer?.timer.cancel();
    const waitMs = dueMs - this.#options.clock.nowMs();
    const delayMs = Math.max(MINIMUM_TIMER_MS, waitMs);
    const timer = this.#options.clock.after(delayMs, () => {
      this.#timer = undefined;
      this.#replica?.tick(this.#instant());
      this.#processOutputs();
    });
    this.#timer = { dueMs, timer };
  }

  #send(messages: readonly OutgoingMessage[]): void {
    for (const { vm, message } of messages) {
      this.#options.network.notify(
        { to: vm, channel: "agreement" },
        packMessage(message),
      );
    }
  }

  #createSyncLoop(replica: Replica): SyncLoop {
    return new SyncLoop({
      replica,
      storage: this.#storage,
      applier: this.#applier,
      clock: this.#options.clock,
      events: this.#options.events,
      policy: this.#snapshotPolicy,
      send: (messages) => this.#send(messages),
      afterSync: () => this.#processOutputs(),
      onStorageError: (error) => this.#stopOnStorageError(error),
    });
  }

  async #waitForSuccessor(replica: Replica): Promise<void> {
    const { clock } = this.#options;
    const untilMs = clock.nowMs() + HANDOVER_WAIT_MS;
    while (this.#replica === replica && clock.nowMs() < untilMs) {
      if (replica.state.leader !== null) return;
      await clock.sleep(HANDOVER_POLL_MS);
    }
  }

  #reportVoters(report: VoterReport): void {
    const { kind, seats, index } = report;
    this.#options.events.emit(REPORT_EVENTS[kind], { seats, index });
  }

  #reportLeader(replica: Replica): void {
    const leader = replica.state.leader?.vm ?? null;
    if (leader === this.#reportedLeader) return;
    this.#reportedLeader = leader;
    const { term } = replica.state;
    this.#options.events.emit(AGREEMENT_EVENTS.leaderChanged, { leader, term });
  }

  #stopOnStorageError(error: unknown): void {
    const failure = error instanceof StorageError
      ? error.failure
      : fail("storage_failed", String(error));
    this.#options.events.emit(AGREEMENT_EVENTS.storageFailed, { ...failure });
    this.#deactivate();
    this.#options.onFatal?.(failure);
  }

  #deactivate(): void {
    this.#replica = undefined;
    this.#timer?.timer.cancel();
    this.#proposals.abandonAll();
  }
}
