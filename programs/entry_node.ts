/**
 * Constructs and connects the components of an entry VM on the users' platform.
 *
 * @module
 */
import { BatchClient } from "#batches";
import type { HeldSizes, Milliseconds } from "#core";
import { CallerGuard, LeaderIsolationPort } from "#crashes";
import type { UsageCounter } from "#duties";
import { type ControlLeader, FleetFollower, IsolationCheck } from "#membership";
import {
  callerRoutes,
  CallShares,
  type NodeSettings,
  WorkerDialect,
} from "#platform";
import {
  CachedRouteRules,
  canConnect,
  Forwarder,
  probeCrash,
  type RouteRules,
} from "#requests";
import type { PermitClient } from "#quotas";
import { OriginClient } from "#streams";
import {
  CallerCheck,
  ConfigurationLease,
  LeaseClient,
  readClocks,
} from "#tenants";
import { buildUsageCounter } from "./duties_wiring.ts";
import { HttpServer } from "./http_server.ts";
import { HTTP_EVENTS } from "./events.ts";
import {
  buildControlLeader,
  buildNodeBase,
  buildPermits,
  describeNode,
  logReload,
  logStart,
  NODE_HTTP_LIMITS,
  type NodeBase,
  type PlatformNode,
  upstreamNotices,
} from "./node_base.ts";
import { NodeMonitoring } from "./node_monitoring.ts";
import { mainLimits, probeLimits } from "./process_limits.ts";
import { probeRoutes } from "./probe_routes.ts";
import { buildTenantShares } from "./shares_wiring.ts";

/** Time that the load balancer needs to notice that this VM is not ready. */
const DRAIN_NOTICE_MS: Milliseconds = 2_700;
/** Part of the shutdown grace period that is left for the exit of the process. */
const EXIT_MARGIN_MS: Milliseconds = 500;
/** Time before that in which the responses to the last requests are sent. */
const RESPONSE_MARGIN_MS: Milliseconds = 300;
const NO_GROUP_STATUS = { leads: false, term: 0, voters: [] };

/** An entry VM on the users' platform. */
export class EntryNode implements PlatformNode {
  #settings: NodeSettings;
  readonly #base: NodeBase;
  readonly #fleetFollower: FleetFollower;
  readonly #controlLeader: ControlLeader;
  readonly #permits: PermitClient;
  readonly #crashGuard: CallerGuard;
  readonly #origins: OriginClient;
  readonly #usage: UsageCounter | undefined;
  readonly #forwarder: Forwarder;
  readonly #batches: BatchClient;
  readonly #isolation: IsolationCheck;
  readonly #callers: CallerCheck;
  readonly #leaseClient: LeaseClient;
  #stopIsolationCheck: () => void = () => {};
  readonly #callerServer: HttpServer;
  readonly #probeServer: HttpServer;
  readonly #monitoring: NodeMonitoring;
  readonly #rules = new CachedRouteRules();

  constructor(settings: NodeSettings) {
    this.#settings = settings;
    const base = buildNodeBase(settings, {
      role: "entry",
      current: () => this.#settings,
    });
    this.#base = base;
    this.#fleetFollower = new FleetFollower({
      ...base,
      self: () => describeNode(base, "entry", NO_GROUP_STATUS),
      onChange: () => {
        this.#batches.handleVmChange();
        this.#controlLeader.handleVmChange();
        this.#permits.handleFleetChange();
        this.#crashGuard.handleFleetChange();
        this.#origins.handleFleetChange();
        this.#usage?.handleFleetChange();
      },
    });
    this.#controlLeader = buildControlLeader(base, this.#fleetFollower);
    this.#permits = buildPermits(base, {
      follower: this.#fleetFollower,
      leader: this.#controlLeader,
      onBacklogPermits: () => {},
    });
    this.#crashGuard = new CallerGuard({
      ...base,
      zone: settings.zone,
      crashes: this.#fleetFollower.crashes,
      port: new LeaderIsolationPort(this.#controlLeader),
      upstreams: () => this.#fleetFollower.upstreams,
      probe: probeCrash,
    });
    this.#origins = new OriginClient({
      ...base,
      voters: () => this.#fleetFollower.controlVoters(),
      controlVms: () => this.#fleetFollower.controlVms(),
    });
    this.#usage = buildUsageCounter(base, this.#fleetFollower);
    this.#forwarder = new Forwarder({
      ...base,
      zone: settings.zone,
      hasSlowStart: settings.slowStart,
      dialect: new WorkerDialect(),
      upstreams: () => this.#fleetFollower.upstreams,
      ...upstreamNotices(this.#fleetFollower),
      permits: this.#permits,
      crashGuard: this.#crashGuard,
      origins: this.#origins,
      isOutOfDate: () => this.#fleetFollower.silentMs() > 0,
    });
    this.#batches = new BatchClient({
      ...base,
      nodes: () => this.#fleetFollower.nodes,
      placement: () => this.#fleetFollower.placement,
    });
    this.#isolation = new IsolationCheck({
      ...base,
      zone: settings.zone,
      silentMs: () => this.#fleetFollower.silentMs(),
      upstreams: () => this.#fleetFollower.upstreams,
      canConnect,
    });
    const { keyRevocationMs, configurationApplyMs } = settings;
    const leased = {
      ...base,
      configuration: () => this.#fleetFollower.configuration,
      lease: new ConfigurationLease(keyRevocationMs),
      readClocks,
    };
    this.#callers = new CallerCheck({ ...leased, configurationApplyMs });
    const shares = buildTenantShares(base, this.#fleetFollower);
    this.#leaseClient = new LeaseClient({
      ...leased,
      shares,
      controlVms: () => this.#fleetFollower.controlVms(),
      usableMs: keyRevocationMs ?? configurationApplyMs,
    });
    const routes = callerRoutes({
      ...base,
      callers: this.#callers,
      forwarder: this.#forwarder,
      batches: this.#batches,
      rules: () => this.#activeRules(),
      notReadyRetryMs: () => this.#fleetFollower.retryDelayMs(),
      batchRetentionMs: settings.batchRetentionMs,
      usage: this.#usage,
      shares: new CallShares({
        ...base,
        shares,
        countUnserved: (tenant) => this.#usage?.countUnserved(tenant),
      }),
    });
    const probes = probeRoutes({
      ...base,
      notReadyReason: () => this.#notReadyReason(),
    });
    this.#callerServer = new HttpServer({
      ...base,
      listen: settings.callerAddress ?? { host: settings.ip, port: 0 },
      routes: () => routes,
      limits: mainLimits(NODE_HTTP_LIMITS, settings),
    });
    this.#probeServer = new HttpServer({
      ...base,
      listen: settings.readinessAddress ?? { host: settings.ip, port: 0 },
      routes: () => probes,
      limits: probeLimits(NODE_HTTP_LIMITS, settings),
    });
    this.#monitoring = new NodeMonitoring(base, {
      heldSizes: () => this.#heldSizes(),
    });
  }

  async start(): Promise<void> {
    logStart(this.#base);
    await this.#monitoring.start();
    await this.#probeServer.listen();
    await this.#callerServer.listen();
    this.#fleetFollower.run();
    this.#leaseClient.start();
    this.#stopIsolationCheck = this.#isolation.start();
  }

  async drain(): Promise<void> {
    this.#base.events.emit(HTTP_EVENTS.nodeStopping);
    const { clock } = this.#base;
    const maximumDrainMs = this.#settings.shutdownGraceMs - EXIT_MARGIN_MS;
    await Promise.race([
      this.#callerServer.drain(
        DRAIN_NOTICE_MS,
        maximumDrainMs - RESPONSE_MARGIN_MS,
      ),
      clock.sleep(maximumDrainMs),
    ]);
    this.#stopIsolationCheck();
    await this.#usage?.stop();
    this.#fleetFollower.stop();
    this.#leaseClient.stop();
    this.#origins.stop();
    this.#forwarder.close();
    await this.#monitoring.stop();
    this.#base.network.close();
  }

  reload(settings: NodeSettings): void {
    logReload(this.#base, settings);
    this.#settings = settings;
  }

  #heldSizes(): HeldSizes {
    const unsent = this.#base.network.unsent();
    return {
      bytes: { unsent_to_peers: unsent.bytes },
      counts: {
        peer_connections: unsent.connections,
        caller_connections: this.#callerServer.connectionCount,
        upstreams: this.#fleetFollower.upstreams.length,
        vms: this.#fleetFollower.nodes.length,
      },
    };
  }

  #activeRules(): RouteRules | null {
    const { configuration, confirmed } = this.#fleetFollower;
    if (configuration === null) return null;
    if (!confirmed && !this.#fleetFollower.mayServeUnconfirmed()) return null;
    return this.#rules.of(configuration);
  }

  #notReadyReason(): string | undefined {
    if (this.#callerServer.draining) return "this VM is stopping";
    const rules = this.#activeRules();
    if (rules === null) return "no usable configuration";
    if (!rules.hasPublicRoute && !this.#callers.canAcceptKeys()) {
      return "it is not known which API keys are valid";
    }
    if (this.#isolation.isIsolated) return "no other zone can be reached";
    return undefined;
  }
}
