/**
 * Entry VMs before the upstreams that they share, on virtual time: control VMs and entry VMs in one process, upstreams on
 * loopback. Records which call reaches which upstream when.
 *
 * @module
 */
import {
  type Failure,
  type HttpResponse,
  MemoryEventLog,
  type Milliseconds,
  type RouteRule,
  SECOND_MS,
  SeededRandom,
  VirtualClock,
} from "#core";
import { WorkerDialect } from "#platform";
import { Forwarder, probeCrash } from "#requests";
import { MemoryNetwork } from "#wire";
import {
  HEARTBEAT_MS,
  SimulatedControls,
  startEntry,
} from "./simulated_vms.ts";
import {
  type Arrival,
  type Crash,
  SiteUpstream,
  type SiteUpstreamTimes,
} from "./site_upstream.ts";

const SERVICE = "cards";
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

/** Entry VMs and the upstreams that they share. */
export class EntrySite {
  readonly clock = new VirtualClock();
  readonly events = new MemoryEventLog();
  readonly arrivals: Arrival[] = [];
  readonly crashes: Crash[] = [];
  readonly upstreams: readonly SiteUpstream[];
  readonly #random = new SeededRandom(31);
  readonly #network = new MemoryNetwork({
    clock: this.clock,
    random: this.#random,
  });
  readonly #controls: SimulatedControls;
  readonly #forwarders: Forwarder[] = [];
  #requests = 0;

  private constructor(options: EntrySiteOptions) {
    const { clock, arrivals, crashes } = this;
    this.#controls = new SimulatedControls({ clock, network: this.#network });
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
    for (const upstream of site.upstreams) await upstream.start();
    for (let at = 0; at < options.entries; at += 1) site.#startEntry(at);
    site.#sendHeartbeats();
    site.clock.every(HEARTBEAT_MS, () => site.#sendHeartbeats());
    await site.clock.advanceAsync(2 * SECOND_MS);
    return site;
  }

  /** Stops all upstreams. */
  stop(): void {
    for (const forwarder of this.#forwarders) forwarder.close();
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
    const at = this.#random.below(this.#forwarders.length);
    const forwarder = this.#forwarders[at];
    if (forwarder === undefined) throw new Error("no entry VM");
    this.#requests += 1;
    const requestId = `r${this.#requests}`;
    return forwarder.forward({
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
    this.#controls.recordHeartbeat(at, heartbeat);
  }

  #startEntry(index: number): void {
    const { clock, events } = this;
    const random = new SeededRandom(index);
    const entry = startEntry({
      index,
      clock,
      network: this.#network,
      random,
      events,
      probe: probeCrash,
    });
    const { follower, permits, crashGuard, zone } = entry;
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
    this.#forwarders.push(forwarder);
  }
}

/** Lets sockets make progress while the virtual time stands still. */
async function runTurns(): Promise<void> {
  for (let turn = 0; turn < CALL_TURNS; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
