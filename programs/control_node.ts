/**
 * Wires the parts of a control VM on the platform.
 *
 * @module
 */
import { QuorumLog, SHORT_TIMING } from "#agreement";
import { ConfigurationMachine } from "#bundles";
import {
  type AnyStateMachine,
  ControlPort,
  Err,
  fail,
  type Failure,
  hostOf,
  type MachineCommand,
  type MachineQuery,
  type Result,
} from "#core";
import {
  FleetServer,
  LeaderClient,
  leaderOf,
  PlacementMachine,
  PlacementManager,
  type RequestTimeouts,
  serveControl,
  type VmStatus,
} from "#membership";
import { controlRoutes, type NodeSettings, WorkerOrderClient } from "#platform";
import { EngineOrders, VersionsMachine } from "#weights";
import { HttpServer } from "./http_server.ts";
import { HTTP_EVENTS } from "./events.ts";
import {
  buildNodeBase,
  describeNode,
  logReload,
  logStart,
  NODE_HTTP_LIMITS,
  type NodeBase,
  openDataFolder,
  type PlatformNode,
  replicaCountFor,
} from "./node_base.ts";
import { probeRoutes } from "./probe_routes.ts";

const PATIENCE: RequestTimeouts = { attemptMs: 900, totalMs: 1_800 };
/** Heartbeats that an upstream may miss. */
const MISSED_HEARTBEATS = 3.5;
const LOST_VM_MS = 2_500;
const NOTICE_MS = 100;

/** A running control VM. */
export class ControlNode implements PlatformNode {
  #settings: NodeSettings;
  readonly #base: NodeBase;
  readonly #configuration = new ConfigurationMachine();
  readonly #placement = new PlacementMachine();
  readonly #versions = new VersionsMachine();
  readonly #log: QuorumLog;
  readonly #fleet: FleetServer;
  readonly #placementManager: PlacementManager;
  readonly #orders: EngineOrders;
  readonly #server: HttpServer;

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
      self: () => describeNode(base, "control", this.#group()),
      epoch: base.random.identifier(),
      heartbeatTimeoutMs: settings.heartbeatMs * MISSED_HEARTBEATS,
      peers: () => this.#peers(),
      configuration: () => this.#configuration.current,
      placement: () => this.#placement.current,
      reachesQuorum: () => this.#isMember() && log.status().hearsLeader,
      confirm: () => log.query({ machine: "configuration", question: null }),
    });
    this.#placementManager = new PlacementManager({
      ...base,
      log,
      machine: this.#placement,
      nodes: () => this.#fleet.nodes(),
      replicas: replicaCountFor(settings.toleratedVmLosses),
      lostAfterMs: LOST_VM_MS,
    });
    this.#orders = new EngineOrders({
      ...base,
      log,
      machine: this.#versions,
      port: new WorkerOrderClient(base.clock),
      engines: () => this.#fleet.upstreams(),
      configuration: () => this.#configuration.current?.rules ?? null,
      minimumVersions: () =>
        leaderOf(this.#fleet.nodes(), "store")?.asked ?? [],
      holdMs: settings.orderLeaseMs,
    });
    this.#server = this.#buildServer();
  }

  async start(): Promise<void> {
    logStart(this.#base);
    const { network } = this.#base;
    await network.listen();
    await this.#server.listen();
    serveControl({
      network,
      log: this.#log,
      status: () => this.#status(),
      rejectCommand: () => this.#gate(),
    });
    this.#log.onApplied(() => this.#fleet.wakeWaiters());
    this.#fleet.start();
    await this.#log.start();
    this.#placementManager.start();
    this.#orders.start();
  }

  async drain(): Promise<void> {
    this.#base.events.emit(HTTP_EVENTS.nodeStopping);
    await this.#orders.stop();
    const served = this.#server.drain(NOTICE_MS);
    await this.#log.stop();
    await Promise.race([served, this.#base.clock.sleep(1_000)]);
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
      this.#configuration,
      this.#placement,
      this.#versions,
    ] as readonly AnyStateMachine[];
    return new QuorumLog({
      ...base,
      folder: openDataFolder(settings, "control"),
      machines,
      peers: () => this.#peers(),
      ...(settings.firstStart ? { firstStart: { voters: base.seeds() } } : {}),
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
        control: new NearestLeader(this.#log, {
          requests: new LeaderClient({
            ...base,
            channel: "control",
            candidates: () => this.#likelyLeaders(),
          }),
          gate: () => this.#gate(),
        }),
        acceptHeartbeat: (upstream) => this.#fleet.recordHeartbeat(upstream),
        acceptLeave: (id, bornMs) => this.#fleet.deregister(id, bornMs),
        startRetirement: (name) => this.#placementManager.retire(name),
        retirementState: (name) => this.#placementManager.retireState(name),
        isLeader: () => this.#group().leads,
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

  /** Control VMs: those of the placement, or of the settings before there is one. */
  #peers(): readonly string[] {
    const { controls } = this.#placement.current.placement;
    return controls.length > 0 ? controls : this.#base.seeds();
  }

  #likelyLeaders(): readonly string[] {
    const { leader } = this.#log.status();
    const first = leader === null ? [] : [leader];
    return [...new Set([...first, ...this.#peers(), ...this.#base.seeds()])];
  }

  #group(): {
    readonly leads: boolean;
    readonly term: number;
    readonly voters: readonly string[];
  } {
    const { term, voters } = this.#log.status();
    const leads = this.#log.leaseUntilMs() > this.#base.clock.nowMs();
    return { leads, term, voters };
  }

  /** A VM whose seat was taken can still get entries for a while, but takes no part. */
  #isMember(): boolean {
    const { controls } = this.#placement.current.placement;
    return controls.length === 0 || controls.includes(this.#base.vm);
  }

  /** Nothing is acknowledged before the log has so many replicas that the tolerated losses leave a majority. */
  #gate(): Failure | undefined {
    const wanted = replicaCountFor(this.#settings.toleratedVmLosses);
    const { voters } = this.#log.status();
    if (voters.length >= wanted) return undefined;
    const message = `the log has ${voters.length} of ${wanted} replicas`;
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

/** Uses the own replica if it leads, else the leader over the network. */
class NearestLeader extends ControlPort {
  readonly #log: QuorumLog;
  readonly #requests: LeaderClient;
  readonly #gate: () => Failure | undefined;

  constructor(log: QuorumLog, options: {
    readonly requests: LeaderClient;
    readonly gate: () => Failure | undefined;
  }) {
    super();
    this.#log = log;
    this.#requests = options.requests;
    this.#gate = options.gate;
  }

  override propose(request: MachineCommand): Promise<Result<unknown, Failure>> {
    if (this.#log.leaseUntilMs() === 0) {
      return this.#requests.send({ kind: "propose", ...request }, PATIENCE);
    }
    const refused = this.#gate();
    if (refused !== undefined) return Promise.resolve(Err(refused));
    return this.#log.propose(request);
  }

  override query(request: MachineQuery): Promise<Result<unknown, Failure>> {
    if (this.#log.leaseUntilMs() === 0) {
      return this.#requests.send({ kind: "query", ...request }, PATIENCE);
    }
    return this.#log.query(request);
  }
}
