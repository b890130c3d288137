/**
 * A platform that starts and ends upstreams on orders, and control VMs that may lead in turn, in virtual time and without
 * a network: for tests and for the load simulation.
 *
 * @module
 */
import {
  type AnyStateMachine,
  Err,
  fail,
  type FleetUpstream,
  LocalControl,
  MemoryEventLog,
  type Milliseconds,
  type RouteKind,
  type RouteRule,
  type RoutingConfiguration,
  type ScalingRule,
  type ServiceLoad,
  VirtualClock,
} from "#core";
import type { UpstreamOrder } from "#duties";
import { Autoscaler } from "./autoscaler.ts";
import { ScalingMachine } from "./scaling_machine.ts";
import {
  subjectKey,
  type UpstreamOrderOutcome,
  UpstreamOrderPort,
} from "./upstream_order_port.ts";

/** Time without heartbeats after which an upstream is no longer listed. */
const HEARTBEAT_LIMIT_MS: Milliseconds = 4_200;
/** Time for which a reclaimed upstream announces its end. */
const NOTICE_MS: Milliseconds = 2_500;
/** Time after which an order that is answered late is executed. */
const LATE_MS: Milliseconds = 5_000;
const REPLY_MS: Milliseconds = 20;

/** The service whose upstreams are ordered. */
export const SERVICE = "models";

/** The rule of the service, with zones `a`, `b` and `c`. */
export const RULE: ScalingRule = {
  minimum: 1,
  maximum: 12,
  bootMs: 4_000,
  spotPriceRatio: 0.22,
  zonePrices: { a: 1, b: 0.8, c: 1.25 },
};

/** An upstream of the world. */
export interface WorldUpstream {
  readonly id: string;
  readonly zone: string;
  readonly spot: boolean;
  bornMs: Milliseconds;
  state: "booting" | "ready" | "draining" | "down" | "gone";
  /** When its heartbeats ended. */
  silentMs: Milliseconds;
}

/**
 * How the platform answers: `silent` executes nothing, `reply_lost` executes the order at once and `late` after some
 * seconds, all without a response.
 */
export type ApiMode = "up" | "silent" | "reply_lost" | "late";

/** The platform and its upstreams. */
export class ScalingWorld {
  readonly clock = new VirtualClock(1_000_000);
  readonly events = new MemoryEventLog();
  readonly machine = new ScalingMachine();
  readonly upstreams: WorldUpstream[] = [];
  readonly partitioned = new Set<string>();
  /** Keys of the subjects of which no more are available. */
  readonly unavailable = new Set<string>();
  /** All orders that reached the platform or would have, with the holder that sent them. */
  readonly orders: (UpstreamOrder & { readonly holder: string })[] = [];
  api: ApiMode = "up";
  /** The leading control VM that holds the duty. */
  holder = "c1";
  /** Whether the leading control VM holds the duty. */
  holdsDuty = true;
  load: ServiceLoad | undefined;
  /** Whether the platform counts crashed upstreams as existing, since it restarts them itself. */
  countsCrashed = false;
  rule: ScalingRule = RULE;
  /** Kinds of the routes that name the service. */
  routeKinds: readonly RouteKind[] = ["batch"];
  readonly #control = new LocalControl(
    [this.machine as AnyStateMachine],
    this.clock,
  );
  #term = 1;

  /** Creates upstreams that exist from the start. */
  constructor(
    counts: Readonly<Record<string, { normal: number; spot: number }>>,
  ) {
    for (const [zone, { normal, spot }] of Object.entries(counts)) {
      for (let at = 0; at < normal; at += 1) this.#add(zone, false, 0);
      for (let at = 0; at < spot; at += 1) this.#add(zone, true, 0);
    }
  }

  /** Starts the autoscaler of a control VM. */
  startHolder(name: string): Autoscaler {
    const autoscaler = new Autoscaler({
      clock: this.clock,
      events: this.events,
      log: {
        propose: (request) =>
          this.holder === name
            ? this.#control.propose(request)
            : Promise.resolve(Err(fail("not_leader", "another VM leads"))),
        query: (request) => this.#control.query(request),
      },
      machine: this.machine,
      leadership: () => ({
        leads: this.holder === name,
        term: this.#term,
        leader: this.holder,
      }),
      port: new WorldPort(this, name),
      upstreams: () => this.#listed(),
      nodes: () => this.#nodes(),
      configuration: () => this.#configuration(),
    });
    autoscaler.start();
    return autoscaler;
  }

  /** Makes another control VM the leader and holder. */
  changeHolder(name: string): void {
    this.holder = name;
    this.#term += 1;
  }

  /** Returns the upstreams that serve, of one zone or of all. */
  ready(zone?: string): readonly WorldUpstream[] {
    return this.upstreams.filter((each) =>
      each.state === "ready" && (zone === undefined || each.zone === zone)
    );
  }

  /** Crashes an upstream, which comes back after a time or never. */
  crash(upstream: WorldUpstream, restartMs: Milliseconds | null): void {
    upstream.state = "down";
    upstream.silentMs = this.clock.nowMs();
    if (restartMs === null) return;
    this.clock.after(restartMs, () => {
      upstream.state = "ready";
      upstream.bornMs = this.clock.nowMs();
    });
  }

  /** Reclaims all spot upstreams of a zone, with notice. */
  reclaim(zone: string): void {
    for (const each of this.upstreams) {
      if (each.zone === zone && each.spot) this.#drain(each);
    }
  }

  /** Executes an order as the platform does: the count is the number that is to exist. */
  execute(order: UpstreamOrder): "accepted" | "unavailable" {
    const existing = this.upstreams.filter(({ zone, spot, state }) =>
      zone === order.zone && spot === order.spot && state !== "gone" &&
      state !== "draining" && (state !== "down" || this.countsCrashed)
    );
    const lacking = order.count - existing.length;
    if (lacking > 0 && this.unavailable.has(subjectKey(order))) {
      return "unavailable";
    }
    for (let at = 0; at < lacking; at += 1) {
      this.#add(order.zone, order.spot, this.rule.bootMs);
    }
    for (const each of existing.slice(0, Math.max(0, -lacking))) {
      this.#drain(each);
    }
    return "accepted";
  }

  #add(zone: string, spot: boolean, bootMs: Milliseconds): void {
    const upstream: WorldUpstream = {
      id: `u${this.upstreams.length}`,
      zone,
      spot,
      bornMs: this.clock.nowMs() + bootMs,
      state: bootMs === 0 ? "ready" : "booting",
      silentMs: Infinity,
    };
    this.upstreams.push(upstream);
    this.clock.after(bootMs, () => {
      if (upstream.state === "booting") upstream.state = "ready";
    });
  }

  #drain(upstream: WorldUpstream): void {
    if (upstream.state === "gone") return;
    upstream.state = "draining";
    this.clock.after(NOTICE_MS, () => {
      upstream.state = "gone";
      upstream.silentMs = -Infinity;
    });
  }

  #listed(): readonly FleetUpstream[] {
    const nowMs = this.clock.nowMs();
    return this.upstreams.filter((each) => {
      if (each.state === "booting" || each.state === "gone") return false;
      const silentMs = each.state === "down" ? each.silentMs : Infinity;
      const cutMs = this.partitioned.has(each.zone)
        ? this.#partitionedMs.get(each.zone) ?? nowMs
        : Infinity;
      return nowMs - Math.min(nowMs, silentMs, cutMs) <= HEARTBEAT_LIMIT_MS;
    }).map((each) => ({
      id: each.id,
      bornMs: each.bornMs,
      sequence: 1,
      service: SERVICE,
      zone: each.zone,
      address: { host: "10.0.0.1", port: 1 },
      slots: 8,
      phase: each.state === "draining" ? "draining" : "ready",
      serves: [],
      ...(each.spot ? { isSpot: true as const } : {}),
    }));
  }

  readonly #partitionedMs = new Map<string, Milliseconds>();

  /** Partitions a zone from the others. */
  partition(zone: string): void {
    this.partitioned.add(zone);
    this.#partitionedMs.set(zone, this.clock.nowMs());
  }

  #nodes(): ReturnType<ConstructorParameters<typeof Autoscaler>[0]["nodes"]> {
    const node = {
      vm: "s1:1",
      name: "s1",
      role: "store" as const,
      zone: "a",
      startedMs: 0,
      firstStart: true,
      leads: true,
      term: 1,
      voters: [],
      asked: [],
      ...(this.load === undefined ? {} : { load: [this.load] }),
    };
    return [{ node, ageMs: 0 }];
  }

  #configuration(): RoutingConfiguration {
    return {
      version: 1,
      routes: this.routeKinds.map(createRoute),
      services: [{
        name: SERVICE,
        maximumConnections: 10,
        engine: { slots: 8, cacheTokens: 1_000, models: ["m"] },
        scaling: this.rule,
      }],
      limits: {
        headerBytes: 1,
        bodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
    };
  }
}

function createRoute(kind: RouteKind): RouteRule {
  return {
    name: kind,
    host: "h",
    pathPrefix: `/${kind}/`,
    kind,
    timeoutMs: 1_000,
    objectiveMs: 1_000,
    priority: 1,
    split: [{ service: SERVICE, weight: 1 }],
    maximumAttempts: 1,
    resumable: false,
    singleVersion: false,
    maximumQueueMs: null,
    dueMs: null,
  };
}

/** The way of one control VM to the platform. */
class WorldPort extends UpstreamOrderPort {
  readonly #world: ScalingWorld;
  readonly #name: string;

  constructor(world: ScalingWorld, name: string) {
    super();
    this.#world = world;
    this.#name = name;
  }

  override mayOrder(): boolean {
    return this.#world.holdsDuty && this.#world.holder === this.#name;
  }

  override async order(order: UpstreamOrder): Promise<UpstreamOrderOutcome> {
    const world = this.#world;
    if (!this.mayOrder()) return "not_holder";
    world.orders.push({ ...order, holder: this.#name });
    const { api } = world;
    if (api === "late") world.clock.after(LATE_MS, () => world.execute(order));
    const executed = api === "up" || api === "reply_lost"
      ? world.execute(order)
      : "unknown";
    await world.clock.sleep(REPLY_MS);
    return api === "up" ? executed : "unknown";
  }
}
