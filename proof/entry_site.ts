/**
 * Entry VMs before the upstreams that they share, on virtual time: control VMs and entry VMs in one process, upstreams on
 * loopback. Records which call reaches which upstream when.
 *
 * @module
 */
import {
  type Failure,
  type FleetNode,
  type FleetRole,
  type HttpResponse,
  MemoryEventLog,
  type Milliseconds,
  Ok,
  type RouteRule,
  SECOND_MS,
  SeededRandom,
  VirtualClock,
} from "#core";
import { CallerGuard, IsolationServer, LeaderIsolationPort } from "#crashes";
import {
  ControlLeader,
  FleetFollower,
  FleetServer,
  serveLeaderRequests,
} from "#membership";
import { WorkerDialect } from "#platform";
import { LeaderPermitPort, PermitClient, PermitServer } from "#quotas";
import { Forwarder, probeCrash } from "#requests";
import { MemoryNetwork } from "#wire";
import {
  type Arrival,
  type Crash,
  SiteUpstream,
  type SiteUpstreamTimes,
} from "./site_upstream.ts";

const CONTROL_VMS = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];
const SERVICE = "cards";
const HEARTBEAT_INTERVAL_MS: Milliseconds = SECOND_MS;
const STEP_MS: Milliseconds = 10;
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

/** Upstreams that respond at once. */
const INSTANT: SiteUpstreamTimes = {
  workMs: 0,
  crashMs: 0,
  restartMs: 3 * SECOND_MS,
};

/** How many entry VMs there are, and the upstreams. */
export interface EntrySiteOptions {
  readonly entries: number;
  /** For each upstream, the requests per second that it accepts; null without a limit. */
  readonly limits: readonly (number | null)[];
  /** Times of the upstreams; they respond at once if absent. */
  readonly times?: SiteUpstreamTimes;
}

/** One entry VM. */
interface Entry {
  readonly follower: FleetFollower;
  readonly forwarder: Forwarder;
}

/** Entry VMs and the upstreams that they share. */
export class EntrySite {
  readonly clock = new VirtualClock();
  readonly events = new MemoryEventLog();
  readonly arrivals: Arrival[] = [];
  readonly crashes: Crash[] = [];
  readonly upstreams: readonly SiteUpstream[];
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
  #requests = 0;

  private constructor(options: EntrySiteOptions) {
    const { clock, arrivals, crashes } = this;
    this.upstreams = options.limits.map((limit, index) =>
      new SiteUpstream({
        index,
        service: SERVICE,
        zone: `z${index % 3}`,
        clock,
        times: options.times ?? INSTANT,
        limit,
        onArrival: (arrival) => arrivals.push(arrival),
        onCrash: (crash) => crashes.push(crash),
        onStart: () => this.#sendHeartbeat(index),
      })
    );
  }

  /** Starts a site whose entry VMs know all upstreams. */
  static async start(options: EntrySiteOptions): Promise<EntrySite> {
    const site = new EntrySite(options);
    for (const vm of CONTROL_VMS) site.#startControl(vm);
    for (const upstream of site.upstreams) await upstream.start();
    for (let at = 0; at < options.entries; at += 1) site.#startEntry(at);
    site.#sendHeartbeats();
    site.clock.every(HEARTBEAT_INTERVAL_MS, () => site.#sendHeartbeats());
    await site.clock.advanceAsync(2 * SECOND_MS);
    return site;
  }

  /** Stops all upstreams. */
  stop(): void {
    for (const { forwarder } of this.#entries) forwarder.close();
    for (const upstream of this.upstreams) upstream.stop();
  }

  /** Sends calls at a rate for a time, to entry VMs that are drawn, and returns their responses. */
  async load(
    options: { readonly perSecond: number; readonly seconds: number },
  ): Promise<readonly (HttpResponse | Failure)[]> {
    const intervalMs = SECOND_MS / options.perSecond;
    const calls: Promise<HttpResponse | Failure>[] = [];
    const count = Math.round(options.perSecond * options.seconds);
    for (let sent = 0; sent < count; sent += 1) {
      calls.push(this.send("card"));
      await runTurns();
      await this.clock.advanceAsync(intervalMs);
      await runTurns();
    }
    await this.advance(2 * SECOND_MS);
    return await Promise.all(calls);
  }

  /** Lets time pass in steps that are short against the times of the upstreams. */
  async advance(spanMs: Milliseconds): Promise<void> {
    for (let passedMs = 0; passedMs < spanMs; passedMs += STEP_MS) {
      await runTurns();
      await this.clock.advanceAsync(Math.min(STEP_MS, spanMs - passedMs));
    }
    await runTurns();
  }

  /** Returns how often a call began to run later than a span after it had crashed so many upstreams. */
  runsAfterCrashes(
    body: string,
    options: { readonly crashes: number; readonly spanMs: Milliseconds },
  ): number {
    const crashed = this.crashes.filter((each) => each.bodies.includes(body));
    const last = crashed[options.crashes - 1];
    if (last === undefined) return 0;
    const fromMs = last.atMs + options.spanMs;
    return this.arrivals.filter((each) =>
      each.body === body && each.atMs > fromMs
    ).length;
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

  /** Sends a call to an entry VM that is drawn. */
  send(body: string): Promise<HttpResponse | Failure> {
    const entry = this.#entries[this.#random.below(this.#entries.length)];
    if (entry === undefined) throw new Error("no entry VM");
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
        body: Buffer.from(body),
        signal: new AbortController().signal,
      },
      route: ROUTE,
      requestId,
      deadlineMs: this.clock.nowMs() + ROUTE.timeoutMs,
    });
  }

  #sendHeartbeats(): void {
    for (const at of this.upstreams.keys()) this.#sendHeartbeat(at);
  }

  #sendHeartbeat(at: number): void {
    const heartbeat = this.upstreams[at]?.heartbeat();
    if (heartbeat === undefined) return;
    this.#controls[at % this.#controls.length]?.recordHeartbeat(heartbeat);
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
    const base = {
      clock: this.clock,
      events: this.events,
      leadership: () => ({
        leads: vm === this.leader,
        term: this.term,
        leader: this.leader,
      }),
    };
    const permits = new PermitServer({
      ...base,
      limitsOf: (service) => server.limitsOf(service),
    });
    permits.start();
    const isolation = new IsolationServer({
      ...base,
      crashes: server.crashes,
      upstreamsOf: (service) => server.readyUpstreams(service),
      recordCrashes: (records) => server.recordCrashes(records),
    });
    server.onChange(() => isolation.handleChange());
    serveLeaderRequests(network, [permits, isolation]);
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
        leader.handleVmChange();
        permits.handleFleetChange();
        crashGuard.handleFleetChange();
      },
    });
    const leader = new ControlLeader({
      network,
      clock,
      nodes: () => follower.nodes,
      controlVms: () => follower.controlVms(),
    });
    const permits = new PermitClient({
      clock,
      random,
      events,
      port: new LeaderPermitPort(leader),
      upstreams: () => follower.upstreams,
      onBacklogPermits: () => {},
    });
    const crashGuard = new CallerGuard({
      zone,
      clock,
      events,
      crashes: follower.crashes,
      port: new LeaderIsolationPort(leader),
      upstreams: () => follower.upstreams,
      probe: probeCrash,
    });
    const forwarder = new Forwarder({
      zone,
      clock,
      random,
      events,
      dialect: new WorkerDialect(),
      permits,
      crashGuard,
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
