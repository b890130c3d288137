/**
 * Constructs and connects the components of a control VM on the users' platform.
 *
 * @module
 */
import { IsolationServer, MAXIMUM_TRIALS, TrialsMachine } from "#crashes";
import {
  type AnyStateMachine,
  type Failure,
  type HeldSizes,
  hostOf,
  type Milliseconds,
} from "#core";
import {
  BlockedCallStore,
  ControlReplica,
  leaderOf,
  type Leadership,
  serveControlRequests,
} from "#membership";
import { controlRoutes, type NodeSettings, WorkerOrderClient } from "#platform";
import { PermitServer } from "#quotas";
import { OriginServer } from "#streams";
import { LeaseServer } from "#tenants";
import { EngineOrders, VersionsMachine } from "#weights";
import { ControlDuties } from "./duties_wiring.ts";
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
import { mainLimits } from "./process_limits.ts";
import { probeRoutes } from "./probe_routes.ts";

/** Number of heartbeat intervals without a heartbeat after which an upstream gets no more work. */
const MISSED_HEARTBEAT_LIMIT = 3.5;
const DRAIN_NOTICE_MS: Milliseconds = 100;

/** A control VM on the users' platform. */
export class ControlNode implements PlatformNode {
  #settings: NodeSettings;
  readonly #base: NodeBase;
  readonly #versionsMachine = new VersionsMachine();
  readonly #trialsMachine = new TrialsMachine();
  readonly #duties = new ControlDuties();
  readonly #replica: ControlReplica;
  readonly #engineOrders: EngineOrders;
  readonly #permits: PermitServer;
  readonly #isolation: IsolationServer;
  readonly #origins: OriginServer;
  readonly #leases: LeaseServer;
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
    this.#replica = this.#buildReplica(options.onFatal);
    this.#duties.connect(base, this.#replica);
    const { fleet } = this.#replica;
    this.#engineOrders = this.#buildEngineOrders();
    const leadership = (): Leadership => this.#replica.leadership();
    this.#permits = new PermitServer({
      ...base,
      leadership,
      limitsOf: (service) => fleet.limitsOf(service),
    });
    this.#isolation = new IsolationServer({
      ...base,
      leadership,
      crashes: fleet.crashes,
      upstreamsOf: (service) => fleet.readyUpstreams(service),
      recordCrashes: (records) => fleet.recordCrashes(records),
      countTrial: (digest) => this.#countTrial(digest),
    });
    this.#origins = new OriginServer({
      clock: base.clock,
      epoch: `${base.vm}-${base.startedMs}`,
    });
    this.#leases = new LeaseServer({
      clock: base.clock,
      control: this.#replica.control,
      demand: () => this.#duties.tenantDemand(),
    });
    this.#blockedCalls = new BlockedCallStore({
      ...base,
      folder: openDataFolder(settings, "crashes"),
      ledger: fleet.crashes,
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
    this.#replica.serve();
    await this.#blockedCalls.load();
    this.#replica.fleet.onChange(() => {
      this.#isolation.handleChange();
      void this.#blockedCalls.update();
    });
    serveControlRequests(network, [
      this.#permits,
      this.#isolation,
      this.#origins,
      this.#leases,
      ...this.#duties.parts(),
    ]);
    this.#permits.start();
    await this.#replica.start();
    this.#engineOrders.start();
    this.#duties.start();
  }

  async drain(): Promise<void> {
    this.#base.events.emit(HTTP_EVENTS.nodeStopping);
    this.#permits.stop();
    this.#isolation.stop();
    this.#leases.stop();
    await this.#engineOrders.stop();
    await this.#duties.stop();
    const drained = this.#server.drain(DRAIN_NOTICE_MS);
    await this.#replica.log.stop();
    await Promise.race([drained, this.#base.clock.sleep(1_000)]);
    await this.#monitoring.stop();
    this.#base.network.close();
  }

  reload(settings: NodeSettings): void {
    logReload(this.#base, settings);
    this.#settings = settings;
  }

  #buildReplica(onFatal: (failure: Failure) => void): ControlReplica {
    const base = this.#base;
    const { settings } = base;
    return new ControlReplica({
      ...base,
      zone: settings.zone,
      folder: openDataFolder(settings, "control"),
      firstStart: settings.firstStart,
      replicas: () => replicaCountFor(this.#settings.toleratedVmLosses),
      heartbeatTimeoutMs: settings.heartbeatMs * MISSED_HEARTBEAT_LIMIT,
      machines: [
        this.#versionsMachine,
        this.#trialsMachine,
        ...this.#duties.machines(),
      ] as readonly AnyStateMachine[],
      describe: (group) => describeNode(base, "control", group),
      onFatal,
    });
  }

  async #countTrial(digest: string): Promise<boolean> {
    if (this.#trialsMachine.count(digest) >= MAXIMUM_TRIALS) return false;
    const { log } = this.#replica;
    const command = { digest };
    return (await log.propose({ machine: "trials", command })).ok;
  }

  #buildEngineOrders(): EngineOrders {
    const base = this.#base;
    const { fleet } = this.#replica;
    return new EngineOrders({
      ...base,
      log: this.#replica.log,
      machine: this.#versionsMachine,
      port: new WorkerOrderClient(
        base.clock,
        ({ id, bornMs }) => fleet.recordLeaving([{ id, bornMs }]),
      ),
      engines: () => fleet.upstreams(),
      configuration: () => this.#replica.configuration?.rules ?? null,
      minimumVersions: () =>
        leaderOf(fleet.nodes().map(({ node }) => node), "store")?.asked ?? [],
      holdMs: base.settings.orderLeaseMs,
    });
  }

  #buildServer(): HttpServer {
    const base = this.#base;
    const { settings } = base;
    const { control, log, placements } = this.#replica;
    const routes = [
      ...controlRoutes({
        clock: base.clock,
        events: base.events,
        control,
        acceptHeartbeat: (upstream) => this.#replica.acceptHeartbeat(upstream),
        acceptLeave: (id, bornMs) => this.#replica.acceptLeave(id, bornMs),
        startRetirement: (name) => placements.retire(name),
        retirementState: (name) => placements.retireState(name),
        isLeader: () => this.#replica.status().leads,
        leaderAddress: () => {
          const { leader } = log.status();
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
      limits: mainLimits(NODE_HTTP_LIMITS, settings),
    });
  }

  #heldSizes(): HeldSizes {
    const unsent = this.#base.network.unsent();
    const { log, fleet } = this.#replica;
    const sizes = log.sizes();
    const upstreams = fleet.upstreams();
    const unnamed = upstreams.filter(({ service }) => !fleet.isNamed(service));
    return {
      bytes: { ...logBytes(sizes), unsent_to_peers: unsent.bytes },
      counts: {
        log_entries: sizes.entries,
        peer_connections: unsent.connections,
        caller_connections: this.#server.connectionCount,
        upstreams: upstreams.length,
        unnamed_upstreams: unnamed.length,
        vms: fleet.nodes().length,
      },
    };
  }
}
