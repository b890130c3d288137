/**
 * Constructs and connects the components of a control VM on the users' platform.
 *
 * @module
 */
import { QuorumLog, SHORT_TIMING } from "#agreement";
import { ConfigurationMachine } from "#bundles";
import { IsolationServer } from "#crashes";
import {
  type AnyStateMachine,
  ControlPort,
  Err,
  fail,
  type Failure,
  type HeldSizes,
  hostOf,
  type MachineCommand,
  type MachineQuery,
  type Result,
} from "#core";
import {
  BlockedCallStore,
  FleetServer,
  isOnHostOfLeader,
  LeaderClient,
  leaderOf,
  type Leadership,
  PlacementMachine,
  PlacementManager,
  type RequestTimeouts,
  serveControl,
  serveLeaderRequests,
  type VmStatus,
} from "#membership";
import { controlRoutes, type NodeSettings, WorkerOrderClient } from "#platform";
import { PermitServer } from "#quotas";
import { EngineOrders, VersionsMachine } from "#weights";
import { HttpServer } from "./http_server.ts";
import { HTTP_EVENTS } from "./events.ts";
import {
  buildNodeBase,
  describeNode,
  logBytes,
  logReload,
  logStart,
  NODE_HTTP_LIMITS,
  type NodeBase,
  openDataFolder,
  type PlatformNode,
  replicaCountFor,
} from "./node_base.ts";
import { NodeMonitoring } from "./node_monitoring.ts";
import { probeRoutes } from "./probe_routes.ts";

const LEADER_REQUEST_PATIENCE: RequestTimeouts = {
  attemptMs: 900,
  totalMs: 1_800,
};
/** Number of heartbeat intervals without a heartbeat after which an upstream gets no more work. */
const MISSED_HEARTBEAT_LIMIT = 3.5;
const VM_LOSS_TIMEOUT_MS = 2_500;
const DRAIN_NOTICE_MS = 100;

/** A control VM on the users' platform. */
export class ControlNode implements PlatformNode {
  #settings: NodeSettings;
  readonly #base: NodeBase;
  readonly #configurationMachine = new ConfigurationMachine();
  readonly #placementMachine = new PlacementMachine();
  readonly #versionsMachine = new VersionsMachine();
  readonly #log: QuorumLog;
  readonly #fleet: FleetServer;
  readonly #placementKeeper: PlacementManager;
  readonly #engineOrders: EngineOrders;
  readonly #permits: PermitServer;
  readonly #isolation: IsolationServer;
  readonly #blockedCalls: BlockedCallStore;
  readonly #server: HttpServer;
  readonly #monitoring: NodeMonitoring;

  constructor(
    settings: NodeSettings,
    options: { readonly onFatal: (failure: Failure) => void },
  ) {
    this.#settings = settings;
    const base = buildNodeBase(settings, {
      role: "control",
      current: () => this.#settings,
    });
    this.#base = base;
    this.#log = this.#buildLog(options.onFatal);
    const log = this.#log;
    this.#fleet = new FleetServer({
      ...base,
      self: () => describeNode(base, "control", this.#groupStatus()),
      epoch: base.random.identifier(),
      heartbeatTimeoutMs: settings.heartbeatMs * MISSED_HEARTBEAT_LIMIT,
      peers: () => this.#peers(),
      configuration: () => this.#configurationMachine.current,
      placement: () => this.#placementMachine.current,
      reachesQuorum: () => this.#isMember() && log.status().hearsLeader,
      confirm: () => log.query({ machine: "configuration", question: null }),
    });
    this.#placementKeeper = new PlacementManager({
      ...base,
      log,
      machine: this.#placementMachine,
      nodes: () => this.#fleet.nodes(),
      replicas: replicaCountFor(settings.toleratedVmLosses),
      lostAfterMs: VM_LOSS_TIMEOUT_MS,
    });
    this.#engineOrders = new EngineOrders({
      ...base,
      log,
      machine: this.#versionsMachine,
      port: new WorkerOrderClient(
        base.clock,
        ({ id, bornMs }) => this.#fleet.recordLeaving([{ id, bornMs }]),
      ),
      engines: () => this.#fleet.upstreams(),
      configuration: () => this.#configurationMachine.current?.rules ?? null,
      minimumVersions: () =>
        leaderOf(this.#fleet.nodes().map(({ node }) => node), "store")
          ?.asked ?? [],
      holdMs: settings.orderLeaseMs,
    });
    const leadership = (): Leadership => ({
      ...this.#groupStatus(),
      leader: log.status().leader,
    });
    this.#permits = new PermitServer({
      ...base,
      leadership,
      limitsOf: (service) => this.#fleet.limitsOf(service),
    });
    this.#isolation = new IsolationServer({
      ...base,
      leadership,
      crashes: this.#fleet.crashes,
      upstreamsOf: (service) => this.#fleet.readyUpstreams(service),
      recordCrashes: (records) => this.#fleet.recordCrashes(records),
    });
    this.#blockedCalls = new BlockedCallStore({
      ...base,
      folder: openDataFolder(settings, "crashes"),
      ledger: this.#fleet.crashes,
    });
    this.#server = this.#buildServer();
    this.#monitoring = new NodeMonitoring(base, {
      heldSizes: () => this.#heldSizes(),
    });
  }

  async start(): Promise<void> {
    logStart(this.#base);
    await this.#monitoring.start();
    const { network } = this.#base;
    await network.listen();
    await this.#server.listen();
    serveControl({
      network,
      log: this.#log,
      status: () => this.#status(),
      rejectCommand: () => this.#checkReplication(),
    });
    this.#log.onApplied(() => this.#fleet.wakeWaiters());
    this.#fleet.start();
    await this.#blockedCalls.load();
    this.#fleet.onChange(() => {
      this.#isolation.handleChange();
      void this.#blockedCalls.update();
    });
    serveLeaderRequests(network, [this.#permits, this.#isolation]);
    this.#permits.start();
    await this.#log.start();
    this.#placementKeeper.start();
    this.#engineOrders.start();
  }

  async drain(): Promise<void> {
    this.#base.events.emit(HTTP_EVENTS.nodeStopping);
    this.#permits.stop();
    this.#isolation.stop();
    await this.#engineOrders.stop();
    const drained = this.#server.drain(DRAIN_NOTICE_MS);
    await this.#log.stop();
    await Promise.race([drained, this.#base.clock.sleep(1_000)]);
    await this.#monitoring.stop();
    this.#base.network.close();
  }

  reload(settings: NodeSettings): void {
    logReload(this.#base, settings);
    this.#settings = settings;
  }

  #buildLog(onFatal: (failure: Failure) => void): QuorumLog {
    const base = this.#base;
    const { settings } = base;
    const machines = [
      this.#configurationMachine,
      this.#placementMachine,
      this.#versionsMachine,
    ] as readonly AnyStateMachine[];
    return new QuorumLog({
      ...base,
      folder: openDataFolder(settings, "control"),
      machines,
      peers: () => this.#peers(),
      ...(settings.firstStart ? { firstStart: { voters: base.seeds() } } : {}),
      prefersOtherLeader: () =>
        isOnHostOfLeader(base.vm, {
          nodes: this.#fleet.nodes().map(({ node }) => node),
          role: "store",
        }),
      timing: SHORT_TIMING,
      onFatal,
    });
  }

  #buildServer(): HttpServer {
    const base = this.#base;
    const { settings } = base;
    const routes = [
      ...controlRoutes({
        events: base.events,
        control: new LocalFirstControl(this.#log, {
          requests: new LeaderClient({
            ...base,
            channel: "control",
            candidates: () => this.#leaderCandidates(),
          }),
          gate: () => this.#checkReplication(),
        }),
        acceptHeartbeat: (upstream) => this.#fleet.recordHeartbeat(upstream),
        acceptLeave: (id, bornMs) => this.#fleet.deregister(id, bornMs),
        startRetirement: (name) => this.#placementKeeper.retire(name),
        retirementState: (name) => this.#placementKeeper.retireState(name),
        isLeader: () => this.#groupStatus().leads,
        leaderAddress: () => {
          const { leader } = this.#log.status();
          const port = settings.controlAddress?.port ?? 0;
          return leader === null ? null : `${hostOf(leader)}:${port}`;
        },
      }),
      ...probeRoutes({ ...base, notReadyReason: () => undefined }),
    ];
    return new HttpServer({
      ...base,
      listen: settings.controlAddress ?? { host: settings.ip, port: 0 },
      routes: () => routes,
      limits: NODE_HTTP_LIMITS,
    });
  }

  /** Returns the control VMs of the placement, or those of the settings while there is no placement. */
  #peers(): readonly string[] {
    const { controls } = this.#placementMachine.current.placement;
    return controls.length > 0 ? controls : this.#base.seeds();
  }

  #leaderCandidates(): readonly string[] {
    const { leader } = this.#log.status();
    const first = leader === null ? [] : [leader];
    return [...new Set([...first, ...this.#peers(), ...this.#base.seeds()])];
  }

  #heldSizes(): HeldSizes {
    const unsent = this.#base.network.unsent();
    const log = this.#log.sizes();
    return {
      bytes: { ...logBytes(log), unsent_to_peers: unsent.bytes },
      counts: {
        log_entries: log.entries,
        peer_connections: unsent.connections,
        caller_connections: this.#server.connectionCount,
        upstreams: this.#fleet.upstreams().length,
        vms: this.#fleet.nodes().length,
      },
    };
  }

  #groupStatus(): {
    readonly leads: boolean;
    readonly term: number;
    readonly voters: readonly string[];
  } {
    const { term, voters } = this.#log.status();
    const leads = this.#log.leaseUntilMs() > this.#base.clock.nowMs();
    return { leads, term, voters };
  }

  /** A VM that was replaced as a voter can still receive log entries for a while, but is no longer a member. */
  #isMember(): boolean {
    const { controls } = this.#placementMachine.current.placement;
    return controls.length === 0 || controls.includes(this.#base.vm);
  }

  /** Rejects commands until the log has enough replicas that a majority survives the tolerated losses. */
  #checkReplication(): Failure | undefined {
    const required = replicaCountFor(this.#settings.toleratedVmLosses);
    const { voters } = this.#log.status();
    if (voters.length >= required) return undefined;
    const message = `the log has ${voters.length} of ${required} replicas`;
    return fail("not_ready", message);
  }

  #status(): VmStatus {
    const { settings } = this.#base;
    const status = this.#log.status();
    return {
      vm: this.#base.vm,
      zone: settings.zone,
      role: "control",
      ready: status.ready,
      bundleVersion: null,
      bundleDigest: null,
      leader: status.leader,
    };
  }
}

/** Sends commands and queries to the local replica if it is the leader, else to the leader over the network. */
class LocalFirstControl extends ControlPort {
  readonly #log: QuorumLog;
  readonly #requests: LeaderClient;
  readonly #checkReplication: () => Failure | undefined;

  constructor(log: QuorumLog, options: {
    readonly requests: LeaderClient;
    readonly gate: () => Failure | undefined;
  }) {
    super();
    this.#log = log;
    this.#requests = options.requests;
    this.#checkReplication = options.gate;
  }

  override propose(request: MachineCommand): Promise<Result<unknown, Failure>> {
    if (this.#log.leaseUntilMs() === 0) {
      return this.#requests.send(
        { kind: "propose", ...request },
        LEADER_REQUEST_PATIENCE,
      );
    }
    const failure = this.#checkReplication();
    if (failure !== undefined) return Promise.resolve(Err(failure));
    return this.#log.propose(request);
  }

  override query(request: MachineQuery): Promise<Result<unknown, Failure>> {
    if (this.#log.leaseUntilMs() === 0) {
      return this.#requests.send(
        { kind: "query", ...request },
        LEADER_REQUEST_PATIENCE,
      );
    }
    return this.#log.query(request);
  }
}
