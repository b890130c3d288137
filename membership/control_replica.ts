/**
 * The part of a control VM on the users' platform that acts together with the other control VMs: its replica of the
 * control log, what it observes of the fleet, the placement of the logs, and the way to the leader.
 *
 * @module
 */
import { type DataFolder, QuorumLog, SHORT_TIMING } from "#agreement";
import { ConfigurationMachine } from "#bundles";
import {
  type AnyStateMachine,
  type Clock,
  ControlPort,
  type EventLog,
  fail,
  type Failure,
  type FleetNode,
  type FleetUpstream,
  type MachineCommand,
  type Milliseconds,
  type RandomSource,
} from "#core";
import type { PeerNetwork } from "#wire";
import type { Leadership } from "./control_leader.ts";
import type { VmStatus } from "./control_messages.ts";
import { serveControl } from "./control_server.ts";
import { DepartureRecorder } from "./departure_recorder.ts";
import { DeparturesMachine } from "./departures_machine.ts";
import type { UpstreamIncarnation } from "./fleet_messages.ts";
import { FleetServer } from "./fleet_server.ts";
import { LeaderClient } from "./leader_client.ts";
import { LocalFirstControl } from "./local_first_control.ts";
import { PlacementMachine } from "./placement_machine.ts";
import { PlacementManager } from "./placement_manager.ts";
import { UnnamedUpstreamsLog } from "./unnamed_upstreams_log.ts";
import { isOnHostOfLeader, leaderOf } from "./placement_plan.ts";

const VM_LOSS_TIMEOUT_MS: Milliseconds = 2_500;

/** What a control VM reports of its replica. */
export interface GroupStatus {
  readonly leads: boolean;
  readonly term: number;
  readonly voters: readonly string[];
}

/** Options of `ControlReplica`. */
export interface ControlReplicaOptions {
  /** Peer address of this VM. */
  readonly vm: string;
  readonly zone: string;
  readonly network: PeerNetwork;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly folder: DataFolder;
  /** Whether the system starts for the first time, so that the VMs of the settings form the group. */
  readonly firstStart: boolean;
  /** Returns the control VMs of the settings. */
  readonly seeds: () => readonly string[];
  /** Number of replicas with which the tolerated losses leave a majority. */
  readonly replicas: () => number;
  /** Time without a heartbeat after which an upstream gets no more work. */
  readonly heartbeatTimeoutMs: Milliseconds;
  /** State machines of the log besides those of configuration and placement. */
  readonly machines: readonly AnyStateMachine[];
  /** Returns the description of this VM for the other VMs. */
  readonly describe: (group: GroupStatus) => FleetNode;
  /** Called once after the replica has stopped because of a storage error. */
  readonly onFatal: (failure: Failure) => void;
}

/** A control VM as the other control VMs see it. */
export class ControlReplica {
  readonly log: QuorumLog;
  readonly fleet: FleetServer;
  /** Reaches the leader of the control log. */
  readonly control: ControlPort;
  readonly placements: PlacementManager;
  readonly #options: ControlReplicaOptions;
  readonly #configurations = new ConfigurationMachine();
  readonly #placementMachine = new PlacementMachine();
  readonly #departures = new DeparturesMachine();
  readonly #recorder: DepartureRecorder;
  readonly #unnamed: UnnamedUpstreamsLog;

  constructor(options: ControlReplicaOptions) {
    this.#options = options;
    this.#unnamed = new UnnamedUpstreamsLog(options.events);
    this.log = this.#buildLog();
    this.fleet = this.#buildFleet();
    this.control = new LocalFirstControl({
      log: this.log,
      leader: new LeaderClient({
        ...options,
        channel: "control",
        candidates: () => this.#leaderCandidates(),
      }),
      rejectCommand: (command) => this.#checkReplication(command),
    });
    this.#recorder = new DepartureRecorder({
      ...options,
      control: this.control,
      departures: this.#departures,
    });
    this.placements = new PlacementManager({
      ...options,
      log: this.log,
      machine: this.#placementMachine,
      nodes: () => this.fleet.nodes(),
      replicas: options.replicas(),
      lostAfterMs: VM_LOSS_TIMEOUT_MS,
    });
  }

  /** The configuration that this VM knows. */
  get configuration(): ConfigurationMachine["current"] {
    return this.#configurations.current;
  }

  /** Starts to serve the other VMs, without its replica. */
  serve(): void {
    serveControl({
      network: this.#options.network,
      log: this.log,
      status: () => this.#vmStatus(),
      rejectCommand: (command) => this.#checkReplication(command),
    });
    this.log.onApplied(() => {
      this.fleet.applyDepartures();
      this.fleet.applyConfiguration();
      this.fleet.wakeWaiters();
    });
    this.fleet.start();
  }

  /** Recovers the replica from its disk and takes part in the group. */
  async start(): Promise<void> {
    await this.log.start();
    this.placements.start();
  }

  /** Records a heartbeat of an upstream; returns whether it may be acknowledged. */
  async acceptHeartbeat(record: FleetUpstream): Promise<boolean> {
    const isAccepted = this.fleet.recordHeartbeat(record);
    const { id, bornMs, phase, service } = record;
    if (!this.fleet.isNamed(service)) {
      this.#unnamed.report(record);
      // It departs from no service, and may be of another writer with the identifier of an upstream that goes on.
      return isAccepted;
    }
    if (!isAccepted || phase !== "draining") return isAccepted;
    return await this.#recorder.record({ id, bornMs, phase });
  }

  /**
   * Records that an incarnation of an upstream leaves, or the newest one if `bornMs` is null; returns whether that may
   * be acknowledged.
   */
  async acceptLeave(
    id: string,
    bornMs: Milliseconds | null,
  ): Promise<boolean> {
    const { clock } = this.#options;
    // One that has just started knows no incarnation; whichever it is started before this call.
    const leavingBornMs = bornMs ?? this.fleet.bornMsOf(id) ?? clock.wallMs();
    if (!this.fleet.deregister(id, leavingBornMs)) return false;
    const departure = { id, bornMs: leavingBornMs, phase: "gone" } as const;
    return await this.#recorder.record(departure);
  }

  /** Returns what this VM reports of its replica. */
  status(): GroupStatus {
    const { term, voters } = this.log.status();
    const leads = this.log.leaseUntilMs() > this.#options.clock.nowMs();
    return { leads, term, voters };
  }

  /** Returns whether this VM leads, and who else may. */
  leadership(): Leadership {
    return { ...this.status(), leader: this.log.status().leader };
  }

  #buildLog(): QuorumLog {
    const { firstStart, ...options } = this.#options;
    const { machines, seeds, vm } = options;
    return new QuorumLog({
      ...options,
      machines: [
        this.#configurations,
        this.#placementMachine,
        this.#departures,
        ...machines,
      ] as readonly AnyStateMachine[],
      peers: () => this.#peers(),
      ...(firstStart ? { firstStart: { voters: seeds() } } : {}),
      prefersOtherLeader: () =>
        isOnHostOfLeader(vm, {
          nodes: this.fleet.nodes().map(({ node }) => node),
          role: "store",
        }),
      timing: SHORT_TIMING,
    });
  }

  #buildFleet(): FleetServer {
    const { describe } = this.#options;
    return new FleetServer({
      ...this.#options,
      self: () => describe(this.status()),
      epoch: this.#options.random.identifier(),
      peers: () => this.#peers(),
      configuration: () => this.#configurations.current,
      placement: () => this.#placementMachine.current,
      departures: this.#departures,
      onLeaving: (upstreams) => this.#recordLeaving(upstreams),
      reachesQuorum: () => this.#isMember() && this.log.status().hearsLeader,
      confirm: () =>
        this.log.query({ machine: "configuration", question: null }),
    });
  }

  /** Nobody waits for these departures: an upstream says in each response that it leaves. */
  #recordLeaving(upstreams: readonly UpstreamIncarnation[]): void {
    for (const { id, bornMs } of upstreams) {
      void this.#recorder.record({ id, bornMs, phase: "draining" });
    }
  }

  /** Returns the control VMs of the placement, or those of the settings while there is no placement. */
  #peers(): readonly string[] {
    const { controls } = this.#placementMachine.current.placement;
    return controls.length > 0 ? controls : this.#options.seeds();
  }

  /**
   * Returns the leader and the voters as this replica knows them, then as other VMs report them: a VM without a replica
   * knows the placement from the reports only, and the VMs of its settings may be gone.
   */
  #leaderCandidates(): readonly string[] {
    const { leader } = this.log.status();
    const first = leader === null ? [] : [leader];
    const nodes = this.fleet.nodes().map(({ node }) => node);
    const reported = leaderOf(nodes, "control");
    const controls = nodes.filter(({ role }) => role === "control");
    return [
      ...new Set([
        ...first,
        ...(reported === undefined ? [] : [reported.vm, ...reported.voters]),
        ...this.#peers(),
        ...this.#options.seeds(),
        ...controls.map(({ vm }) => vm),
      ]),
    ];
  }

  /** A VM that was replaced as a voter can still receive log entries for a while, but is no longer a member. */
  #isMember(): boolean {
    const { controls } = this.#placementMachine.current.placement;
    return controls.length === 0 || controls.includes(this.#options.vm);
  }

  /**
   * Rejects commands until the log has enough replicas that a majority survives the tolerated losses. A departure is
   * stored all the same: an upstream that leaves does not wait for replicas.
   */
  #checkReplication({ machine }: MachineCommand): Failure | undefined {
    if (machine === "departures") return undefined;
    const required = this.#options.replicas();
    const { voters } = this.log.status();
    if (voters.length >= required) return undefined;
    const message = `the log has ${voters.length} of ${required} replicas`;
    return fail("not_ready", message);
  }

  #vmStatus(): VmStatus {
    const status = this.log.status();
    return {
      vm: this.#options.vm,
      zone: this.#options.zone,
      role: "control",
      ready: status.ready,
      bundleVersion: null,
      bundleDigest: null,
      leader: status.leader,
    };
  }
}
