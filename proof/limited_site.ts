/**
 * Entry VMs before upstreams that name limits of requests, on virtual time: control VMs and entry VMs in one process,
 * upstreams on loopback. Records which request reaches which upstream when.
 *
 * @module
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import {
  type Failure,
  type FleetNode,
  type FleetRole,
  type FleetUpstream,
  type HttpResponse,
  MemoryEventLog,
  type Milliseconds,
  Ok,
  type RouteRule,
  SECOND_MS,
  SeededRandom,
  VirtualClock,
} from "#core";
import { FleetFollower, FleetServer } from "#membership";
import { WorkerDialect } from "#platform";
import { LeaderPermitPort, PermitClient, PermitServer } from "#quotas";
import { Forwarder } from "#requests";
import { MemoryNetwork } from "#wire";

const CONTROL_VMS = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];
const SERVICE = "cards";
const HEARTBEAT_INTERVAL_MS: Milliseconds = SECOND_MS;
/** Turns of the event loop that a call over loopback takes at most when nothing waits for virtual time. */
const CALL_TURNS = 60;

const ROUTE: RouteRule = {
  name: "cards",
  host: "h",
  pathPrefix: "/a/",
  kind: "idempotent",
  timeoutMs: 2_000,
  objectiveMs: 200,
  priority: 1,
  split: [{ service: SERVICE, weight: 1 }],
  maximumAttempts: 2,
  resumable: false,
  singleVersion: false,
  maximumQueueMs: null,
  dueMs: null,
};

/** A request that reached an upstream. */
export interface Arrival {
  readonly upstream: number;
  readonly atMs: Milliseconds;
}

/** How many upstreams there are, and the requests per second that each accepts; null without a limit. */
export interface LimitedSiteOptions {
  readonly entries: number;
  readonly limits: readonly (number | null)[];
}

/** One entry VM. */
interface Entry {
  readonly follower: FleetFollower;
  readonly forwarder: Forwarder;
}

/** Entry VMs and the upstreams that they share. */
export class LimitedSite {
  readonly clock = new VirtualClock();
  readonly events = new MemoryEventLog();
  readonly arrivals: Arrival[] = [];
  /** Limits that the upstreams name now. */
  readonly limits: (number | null)[];
  /** The control VM that leads, and its term. */
  leader: string | null = CONTROL_VMS[0] ?? null;
  term = 1;
  readonly #random = new SeededRandom(31);
  readonly #network = new MemoryNetwork({
    clock: this.clock,
    random: this.#random,
  });
  readonly #controls: FleetServer[] = [];
  readonly #entries: Entry[] = [];
  readonly #servers: Server[] = [];
  readonly #addresses: FleetUpstream["address"][] = [];
  #requests = 0;
  #sequence = 0;

  private constructor(options: LimitedSiteOptions) {
    this.limits = [...options.limits];
  }

  /** Starts a site whose entry VMs know all upstreams. */
  static async start(options: LimitedSiteOptions): Promise<LimitedSite> {
    const site = new LimitedSite(options);
    for (const at of options.limits.keys()) await site.#startUpstream(at);
    for (const vm of CONTROL_VMS) site.#startControl(vm);
    for (let at = 0; at < options.entries; at += 1) site.#startEntry(at);
    site.#sendHeartbeats();
    site.clock.every(HEARTBEAT_INTERVAL_MS, () => site.#sendHeartbeats());
    await site.clock.advanceAsync(2 * SECOND_MS);
    return site;
  }

  /** Stops all upstreams. */
  stop(): void {
    for (const { forwarder } of this.#entries) forwarder.close();
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Sends calls at a rate for a time, in turn over the entry VMs, and returns their responses. */
  async load(
    options: { readonly perSecond: number; readonly seconds: number },
  ): Promise<readonly (HttpResponse | Failure)[]> {
    const intervalMs = SECOND_MS / options.perSecond;
    const calls: Promise<HttpResponse | Failure>[] = [];
    const count = Math.round(options.perSecond * options.seconds);
    for (let sent = 0; sent < count; sent += 1) {
      calls.push(this.#call(this.#random.below(this.#entries.length)));
      await runTurns();
      await this.clock.advanceAsync(intervalMs);
      await runTurns();
    }
    for (let step = 0; step < 20; step += 1) {
      await this.clock.advanceAsync(100);
      await runTurns();
    }
    return await Promise.all(calls);
  }

  /** Returns the most requests that reached an upstream in any span of this length. */
  mostWithin(upstream: number, spanMs: Milliseconds): number {
    const times = this.arrivals.filter((each) => each.upstream === upstream)
      .map((each) => each.atMs);
    let most = 0;
    for (const startMs of times) {
      const within = times.filter((at) =>
        at >= startMs && at < startMs + spanMs
      );
      most = Math.max(most, within.length);
    }
    return most;
  }

  #call(at: number): Promise<HttpResponse | Failure> {
    const entry = this.#entries[at];
    if (entry === undefined) throw new Error(`no entry VM ${at}`);
    this.#requests += 1;
    const requestId = `r${this.#requests}`;
    return entry.forwarder.forward({
      call: {
        method: "POST",
        path: "/a/b",
        target: "/a/b",
        rawHeaders: ["Host", "h", "Request-Id", requestId],
        parameters: {},
        query: new URLSearchParams(),
        headers: {},
        body: Buffer.from("card"),
        signal: new AbortController().signal,
      },
      route: ROUTE,
      requestId,
      deadlineMs: this.clock.nowMs() + ROUTE.timeoutMs,
    });
  }

  async #startUpstream(at: number): Promise<void> {
    const server = createServer((request, response) => {
      request.resume();
      this.arrivals.push({ upstream: at, atMs: this.clock.nowMs() });
      this.#respond(response, String(request.headers["request-id"]), at);
    });
    await new Promise<void>((resolve) =>
      server.listen({ host: "127.0.0.1", port: 0 }, resolve)
    );
    const { port } = server.address() as AddressInfo;
    this.#servers.push(server);
    this.#addresses.push({ host: "127.0.0.1", port });
  }

  #respond(response: ServerResponse, requestId: string, at: number): void {
    const limit = this.limits[at] ?? null;
    if (limit !== null) response.setHeader("Server-Limit", String(limit));
    response.setHeader("Request-Id", requestId);
    response.setHeader("Response-Stamp", "s");
    response.end("done");
  }

  #sendHeartbeats(): void {
    this.#sequence += 1;
    for (const [at, address] of this.#addresses.entries()) {
      this.#controls[at % this.#controls.length]?.recordHeartbeat({
        id: `u${at}`,
        bornMs: 1,
        sequence: this.#sequence,
        service: SERVICE,
        zone: `z${at % 3}`,
        address,
        slots: 6,
        phase: "ready",
        serves: [],
      });
    }
  }

  #startControl(vm: string): void {
    const network = this.#network.join(vm);
    const server = new FleetServer({
      network,
      clock: this.clock,
      self: () => ({
        ...describe(vm, "control", "z0"),
        leads: vm === this.leader,
        term: this.term,
      }),
      epoch: vm,
      heartbeatTimeoutMs: 4 * HEARTBEAT_INTERVAL_MS,
      peers: () => CONTROL_VMS,
      configuration: () => null,
      placement: () => ({
        revision: 1,
        placement: { controls: CONTROL_VMS, stores: [], retiring: [] },
      }),
      reachesQuorum: () => true,
      confirm: () => Promise.resolve(Ok(null)),
    });
    server.start();
    this.#controls.push(server);
    new PermitServer({
      network,
      clock: this.clock,
      events: this.events,
      leadership: () => ({
        leads: vm === this.leader,
        term: this.term,
        leader: this.leader,
      }),
      limitsOf: (service) => server.limitsOf(service),
    }).start();
  }

  #startEntry(at: number): void {
    const zone = `z${at % 3}`;
    const vm = `10.1.0.${at}:3`;
    const { clock, events } = this;
    const random = new SeededRandom(at);
    const network = this.#network.join(vm);
    const follower = new FleetFollower({
      network,
      clock,
      random,
      events,
      self: () => describe(vm, "entry", zone),
      seeds: () => CONTROL_VMS,
      onChange: () => {
        port.handleVmChange();
        permits.handleFleetChange();
      },
    });
    const port = new LeaderPermitPort({
      network,
      clock,
      nodes: () => follower.nodes,
      controlVms: () => follower.controlVms(),
    });
    const permits = new PermitClient({
      clock,
      random,
      events,
      port,
      upstreams: () => follower.upstreams,
      onBacklogPermits: () => {},
    });
    const forwarder = new Forwarder({
      zone,
      clock,
      random,
      events,
      dialect: new WorkerDialect(),
      permits,
      upstreams: () => follower.upstreams,
      onLeaving: (upstream) => follower.reportLeaving(upstream),
      onRequestLimit: (upstream, perSecond) =>
        follower.reportRequestLimit(upstream, perSecond),
    });
    follower.run();
    this.#entries.push({ follower, forwarder });
  }
}

function describe(vm: string, role: FleetRole, zone: string): FleetNode {
  return {
    vm,
    name: vm,
    role,
    zone,
    startedMs: 0,
    firstStart: true,
    leads: false,
    term: 0,
    voters: [],
    asked: [],
  };
}

/** Lets sockets make progress while the virtual time stands still. */
async function runTurns(): Promise<void> {
  for (let turn = 0; turn < CALL_TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
