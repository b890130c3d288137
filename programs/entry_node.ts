/**
 * Wires the parts of an entry VM on the platform.
 *
 * @module
 */
import { BatchClient } from "#batches";
import type { Milliseconds, RoutingConfiguration } from "#core";
import { FleetFollower } from "#membership";
import { callerRoutes, type NodeSettings, WorkerDialect } from "#platform";
import { Forwarder, RouteRules } from "#requests";
import { HttpServer } from "./http_server.ts";
import { HTTP_EVENTS } from "./events.ts";
import {
  buildNodeBase,
  describeNode,
  logReload,
  logStart,
  NODE_HTTP_LIMITS,
  type NodeBase,
  type PlatformNode,
} from "./node_base.ts";
import { probeRoutes } from "./probe_routes.ts";

/** Time in which the balancer notices that this VM is not ready. */
const NOTICE_MS: Milliseconds = 2_700;
const EXIT_MARGIN_MS: Milliseconds = 500;
const NO_GROUP = { leads: false, term: 0, voters: [] };

/** A running entry VM. */
export class EntryNode implements PlatformNode {
  #settings: NodeSettings;
  readonly #base: NodeBase;
  readonly #follower: FleetFollower;
  readonly #forwarder: Forwarder;
  readonly #callers: HttpServer;
  readonly #probes: HttpServer;
  #rules: { configuration: RoutingConfiguration; rules: RouteRules } | null =
    null;

  constructor(settings: NodeSettings) {
    this.#settings = settings;
    const base = buildNodeBase(settings, {
      role: "entry",
      current: () => this.#settings,
    });
    this.#base = base;
    this.#follower = new FleetFollower({
      ...base,
      self: () => describeNode(base, "entry", NO_GROUP),
      onChange: () => {},
    });
    this.#forwarder = new Forwarder({
      ...base,
      zone: settings.zone,
      dialect: new WorkerDialect(),
      upstreams: () => this.#follower.upstreams,
    });
    const batches = new BatchClient({
      ...base,
      nodes: () => this.#follower.nodes,
      placement: () => this.#follower.placement,
    });
    const routes = callerRoutes({
      ...base,
      forwarder: this.#forwarder,
      batches,
      rules: () => this.#routeRules(),
      notReadyRetryMs: () => this.#follower.retryDelayMs(),
      batchRetentionMs: settings.batchRetentionMs,
    });
    const probes = probeRoutes({
      ...base,
      notReadyReason: () => this.#notReady(),
    });
    this.#callers = new HttpServer({
      ...base,
      listen: settings.callerAddress ?? { host: settings.ip, port: 0 },
      routes: () => routes,
      limits: NODE_HTTP_LIMITS,
    });
    this.#probes = new HttpServer({
      ...base,
      listen: settings.readinessAddress ?? { host: settings.ip, port: 0 },
      routes: () => probes,
      limits: NODE_HTTP_LIMITS,
    });
  }

  async start(): Promise<void> {
    logStart(this.#base);
    await this.#probes.listen();
    await this.#callers.listen();
    this.#follower.run();
  }

  async drain(): Promise<void> {
    this.#base.events.emit(HTTP_EVENTS.nodeStopping);
    const { clock } = this.#base;
    const mostMs = this.#settings.shutdownGraceMs - EXIT_MARGIN_MS;
    await Promise.race([
      this.#callers.drain(NOTICE_MS),
      clock.sleep(mostMs),
    ]);
    this.#follower.stop();
    this.#forwarder.close();
    this.#base.network.close();
  }

  reload(settings: NodeSettings): void {
    logReload(this.#base, settings);
    this.#settings = settings;
  }

  #routeRules(): RouteRules | null {
    const { configuration, confirmed } = this.#follower;
    if (configuration === null) return null;
    if (!confirmed && !this.#follower.mayServeUnconfirmed()) return null;
    if (this.#rules?.configuration !== configuration) {
      this.#rules = { configuration, rules: new RouteRules(configuration) };
    }
    return this.#rules.rules;
  }

  #notReady(): string | undefined {
    if (this.#callers.draining) return "this VM is stopping";
    if (this.#routeRules() === null) return "the configuration is not known";
    return undefined;
  }
}
