/**
 * Entry VMs, control VMs and the upstreams of one service on virtual time, without sockets. Some calls crash each upstream
 * that runs them and come again and again, at any entry VM. Links delay and lose messages, leaders change, VMs restart,
 * upstreams crash by themselves, reset connections, and start again under new or old identifiers.
 *
 * @module
 */
import {
  type Failure,
  type FleetNode,
  type FleetRole,
  type FleetUpstream,
  type HttpResponse,
  incarnationOf,
  MemoryEventLog,
  type Milliseconds,
  Ok,
  type RouteRule,
  SECOND_MS,
  SeededRandom,
  VirtualClock,
} from "#core";
import {
  CallerGuard,
  type ConnectionState,
  IsolationServer,
  LeaderIsolationPort,
} from "#crashes";
import {
  ControlLeader,
  FleetFollower,
  FleetServer,
  serveLeaderRequests,
} from "#membership";
import { UnlimitedPermits } from "#quotas";
import { MemoryNetwork } from "#wire";
import { AttemptSeries } from "./attempt_series.ts";
import type { Attempt } from "./forwarded_attempt.ts";
import type { ForwardedCall } from "./forwarded_call.ts";
import { recordOutcome } from "./suspect_calls.ts";
import { UpstreamChoice } from "./upstream_choice.ts";

const CONTROLS = ["c1:1", "c2:1", "c3:1"];
const SERVICE = "s";
const STEP_MS: Milliseconds = 20;
const HEARTBEAT_MS: Milliseconds = SECOND_MS;
const CONTACT_MS: Milliseconds = 3 * SECOND_MS;
const DEADLINE_MS: Milliseconds = 2 * SECOND_MS;
const TRAVEL_MS: Milliseconds = 0.7;
const WORK_MS: Milliseconds = 36;
const CRASH_MS = { least: 60, spread: 55 };
const RESTART_MS: Milliseconds = 3_300;
const BYSTANDERS_PER_SECOND = 8;
const CRASHES_TO_BLOCK = 3;
/** Chances of a fault in one step. */
const FAULT_CHANCES = {
  newLeader: 0.002,
  restart: 0.01,
  upstreamCrash: 0.002,
  upstreamLeave: 0.002,
};
const RESET_CHANCE = 0.02;
const FAULTY_LINKS = {
  minimumDelayMs: 0.5,
  maximumDelayMs: 30,
  dropChance: 0.01,
  duplicateChance: 0.02,
};

const ROUTE: RouteRule = {
  name: "r",
  host: "h",
  pathPrefix: "/a/",
  kind: "idempotent",
  timeoutMs: DEADLINE_MS,
  objectiveMs: 186,
  priority: 1,
  split: [{ service: SERVICE, weight: 1 }],
  maximumAttempts: 3,
  resumable: false,
  singleVersion: false,
  maximumQueueMs: null,
  dueMs: null,
};

interface RunningCall {
  readonly body: string;
  readonly end: (attempt: Attempt) => void;
}

interface Upstream {
  record: FleetUpstream;
  isUp: boolean;
  running: Set<RunningCall>;
}

interface Sender {
  readonly follower: FleetFollower;
  readonly guard: CallerGuard;
  readonly choice: UpstreamChoice;
  readonly startedMs: Milliseconds;
}

/** What is known of a call that crashes upstreams. */
interface CrashingCall {
  /** Times of the crashes under it. */
  readonly crashesMs: Milliseconds[];
  /** Runs that senders in touch began later than `CONTACT_MS` after the third crash. */
  furtherRuns: number;
}

/** Size of a site. */
export interface CrashWorldOptions {
  readonly senders: number;
  readonly upstreams: number;
  readonly crashingCalls: number;
  readonly seed: number;
  /** Whether anything fails beside the crashing calls. */
  readonly faults: boolean;
}

/** A site on virtual time. */
export class CrashWorld {
  /** How often calls that crash nothing were served, rejected as blocked, and failed otherwise. */
  readonly bystanders = { served: 0, blocked: 0, failed: 0 };
  readonly #clock = new VirtualClock();
  readonly #random: SeededRandom;
  readonly #options: CrashWorldOptions;
  readonly #network: MemoryNetwork;
  readonly #controls: FleetServer[] = [];
  readonly #upstreams: Upstream[] = [];
  readonly #senders: Sender[] = [];
  readonly #crashing = new Map<string, CrashingCall>();
  #leader = 0;
  #term = 1;
  #leaderlessUntilMs: Milliseconds = 0;
  #sent = 0;
  #started = 0;

  constructor(options: CrashWorldOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#network = new MemoryNetwork({
      clock: this.#clock,
      random: this.#random,
      ...(options.faults ? { links: FAULTY_LINKS } : {}),
    });
    for (const vm of CONTROLS) this.#startControl(vm);
    for (let at = 0; at < options.upstreams; at += 1) this.#addUpstream(at);
    for (let at = 0; at < options.senders; at += 1) {
      this.#senders.push(this.#startSender(at));
    }
    for (let at = 0; at < options.crashingCalls; at += 1) {
      const call = { crashesMs: [], furtherRuns: 0 };
      this.#crashing.set(`crash ${at}`, call);
    }
    this.#clock.every(HEARTBEAT_MS, () => this.#sendHeartbeats());
  }

  /** Sends calls for some seconds, after the senders have learned of the upstreams. */
  async run(seconds: number): Promise<void> {
    await this.#clock.advanceAsync(2 * HEARTBEAT_MS);
    const steps = seconds * SECOND_MS / STEP_MS;
    const chance = STEP_MS / SECOND_MS;
    for (let step = 0; step < steps; step += 1) {
      if (this.#options.faults) this.#causeFault();
      for (const body of this.#crashing.keys()) {
        if (this.#random.fraction() < chance) void this.#call(body);
      }
      if (this.#random.fraction() < BYSTANDERS_PER_SECOND * chance) {
        void this.#callAsBystander();
      }
      await this.#clock.advanceAsync(STEP_MS);
    }
    await this.#clock.advanceAsync(3 * DEADLINE_MS);
  }

  /** Returns, for each crashing call, the upstreams that crashed under it and the runs that were too many. */
  crashingCalls(): readonly {
    readonly crashes: number;
    readonly furtherRuns: number;
  }[] {
    return [...this.#crashing.values()].map((each) => ({
      crashes: each.crashesMs.length,
      furtherRuns: each.furtherRuns,
    }));
  }

  async #callAsBystander(): Promise<void> {
    const response = await this.#call(`card ${this.#sent}`);
    if ("status" in response) this.bystanders.served += 1;
    else if (response.kind === "call_blocked") this.bystanders.blocked += 1;
    else this.bystanders.failed += 1;
  }

  #call(body: string): Promise<HttpResponse | Failure> {
    const sender = this.#senders[this.#random.below(this.#senders.length)];
    if (sender === undefined) throw new Error("no sender");
    this.#sent += 1;
    const nowMs = this.#clock.nowMs();
    const content = {
      method: "POST",
      host: "h",
      target: "/a/b",
      caller: "",
      body: Buffer.from(body),
    };
    const forwarded: ForwardedCall = {
      routed: {
        call: {
          method: "POST",
          path: "/a/b",
          target: "/a/b",
          rawHeaders: [],
          parameters: {},
          query: new URLSearchParams(),
          headers: {},
          body: content.body,
          signal: new AbortController().signal,
        },
        route: ROUTE,
        requestId: `r${this.#sent}`,
        deadlineMs: nowMs + DEADLINE_MS,
      },
      service: SERVICE,
      headers: [],
      triedUpstreams: new Set(),
      arrivedMs: nowMs,
      cutoffMs: nowMs + DEADLINE_MS,
      abortController: new AbortController(),
      possibleRuns: 0,
      lastFailure: "",
      retryAfterMs: 0,
      serverErrorResponse: undefined,
      watch: sender.guard.watch(content),
    };
    return AttemptSeries.run(forwarded, {
      clock: this.#clock,
      choice: sender.choice,
      send: (upstream) => this.#send(sender, forwarded, upstream),
      finalResponse: (attempt) =>
        attempt.kind === "answer"
          ? { status: attempt.response.status, headers: {}, body: "" }
          : undefined,
    });
  }

  async #send(
    sender: Sender,
    forwarded: ForwardedCall,
    to: FleetUpstream,
  ): Promise<Attempt> {
    const sentMs = this.#clock.nowMs();
    forwarded.triedUpstreams.add(to.id);
    forwarded.possibleRuns += 1;
    sender.choice.selector.recordSent(to.id);
    await this.#clock.sleep(TRAVEL_MS);
    const body = Buffer.from(forwarded.routed.call.body).toString();
    const attempt = await this.#run(sender, body, to);
    const nowMs = this.#clock.nowMs();
    const latencyMs = attempt.kind === "answer" ? nowMs - sentMs : null;
    sender.choice.recordEnded(to, { nowMs, latencyMs });
    if (latencyMs === null) sender.choice.selector.pause(to.id, nowMs);
    if (attempt.kind === "not_run") forwarded.possibleRuns -= 1;
    const sent = { upstream: to, sentMs, cancelled: false };
    await recordOutcome(forwarded.watch, attempt, sent);
    return attempt;
  }

  #run(sender: Sender, body: string, to: FleetUpstream): Promise<Attempt> {
    const upstream = this.#upstreams[to.address.port];
    const isThere = upstream?.isUp === true &&
      incarnationOf(upstream.record) === incarnationOf(to);
    if (!isThere) {
      return Promise.resolve({ kind: "not_run", reason: "refused" });
    }
    return new Promise((resolve) => {
      const call: RunningCall = {
        body,
        end: (attempt) => {
          upstream.running.delete(call);
          resolve(attempt);
        },
      };
      upstream.running.add(call);
      this.#begin(sender, upstream, call);
    });
  }

  #begin(sender: Sender, upstream: Upstream, call: RunningCall): void {
    const crashing = this.#crashing.get(call.body);
    if (crashing !== undefined) {
      if (this.#counts(sender, crashing)) crashing.furtherRuns += 1;
      const delayMs = CRASH_MS.least +
        CRASH_MS.spread * this.#random.fraction();
      this.#clock.after(delayMs, () => {
        if (upstream.running.has(call)) this.#crash(upstream);
      });
      return;
    }
    this.#clock.after(WORK_MS, () => {
      if (!upstream.running.has(call)) return;
      const isReset = this.#options.faults &&
        this.#random.fraction() < RESET_CHANCE;
      call.end(
        isReset ? { kind: "unknown", reason: "reset" } : {
          kind: "answer",
          response: {
            status: 200,
            headers: {},
            rawHeaders: [],
            body: Buffer.alloc(0),
          },
        },
      );
    });
  }

  /** Whether a run is one too many that could have been known to its sender. */
  #counts(sender: Sender, { crashesMs }: CrashingCall): boolean {
    const third = crashesMs[CRASHES_TO_BLOCK - 1];
    if (third === undefined) return false;
    const lastMs = Math.max(third, sender.startedMs, this.#leaderlessUntilMs);
    return this.#clock.nowMs() > lastMs + CONTACT_MS;
  }

  #crash(upstream: Upstream): void {
    if (!upstream.isUp) return;
    upstream.isUp = false;
    const nowMs = this.#clock.nowMs();
    for (const call of [...upstream.running]) {
      this.#crashing.get(call.body)?.crashesMs.push(nowMs);
      call.end({ kind: "unknown", reason: "socket hang up" });
    }
    this.#clock.after(RESTART_MS, () => this.#restart(upstream));
  }

  /** Starts another incarnation, under the old identifier or a new one. */
  #restart(upstream: Upstream): void {
    this.#started += 1;
    const { record } = upstream;
    const keepsId = this.#random.below(2) === 0;
    const id = keepsId ? record.id : `${record.id}-${this.#started}`;
    const bornMs = this.#clock.nowMs();
    upstream.record = { ...record, id, bornMs, phase: "ready", sequence: 1 };
    upstream.isUp = true;
    this.#sendHeartbeat(upstream);
  }

  #addUpstream(at: number): void {
    const record: FleetUpstream = {
      id: `u${at}`,
      bornMs: 1,
      sequence: 1,
      service: SERVICE,
      zone: `z${at % 3}`,
      address: { host: "10.0.0.1", port: at },
      slots: 6,
      phase: "ready",
      serves: [],
    };
    const upstream: Upstream = { record, isUp: true, running: new Set() };
    this.#upstreams.push(upstream);
    this.#sendHeartbeat(upstream);
  }

  #sendHeartbeats(): void {
    for (const upstream of this.#upstreams) this.#sendHeartbeat(upstream);
  }

  #sendHeartbeat(upstream: Upstream): void {
    if (!upstream.isUp) return;
    const { record } = upstream;
    upstream.record = { ...record, sequence: record.sequence + 1 };
    const control = this.#controls[this.#random.below(CONTROLS.length)];
    control?.recordHeartbeat(upstream.record);
  }

  #startControl(vm: string): void {
    const network = this.#network.join(vm);
    const server = new FleetServer({
      network,
      clock: this.#clock,
      self: () => ({
        ...describe(vm, "control"),
        leads: this.#isLeader(vm),
        term: this.#term,
      }),
      epoch: vm,
      heartbeatTimeoutMs: 4 * HEARTBEAT_MS,
      peers: () => CONTROLS,
      configuration: () => null,
      placement: () => ({
        revision: 1,
        placement: { controls: CONTROLS, stores: [], retiring: [] },
      }),
      reachesQuorum: () => true,
      confirm: () => Promise.resolve(Ok(null)),
    });
    server.start();
    this.#controls.push(server);
    const isolation = new IsolationServer({
      clock: this.#clock,
      events: new MemoryEventLog(),
      leadership: () => ({
        leads: this.#isLeader(vm),
        term: this.#term,
        leader: CONTROLS[this.#leader] ?? null,
      }),
      crashes: server.crashes,
      upstreamsOf: (service) => server.readyUpstreams(service),
      recordCrashes: (records) => server.recordCrashes(records),
    });
    server.onChange(() => isolation.handleChange());
    serveLeaderRequests(network, [isolation]);
  }

  #isLeader(vm: string): boolean {
    return CONTROLS[this.#leader] === vm &&
      this.#clock.nowMs() >= this.#leaderlessUntilMs;
  }

  #startSender(at: number): Sender {
    const vm = `e${at}:1`;
    const zone = `z${at % 3}`;
    const clock = this.#clock;
    const events = new MemoryEventLog();
    const network = this.#network.join(vm);
    const follower = new FleetFollower({
      network,
      clock,
      random: this.#random,
      events,
      self: () => describe(vm, "entry"),
      seeds: () => CONTROLS,
      onChange: () => {
        leader.handleVmChange();
        guard.handleFleetChange();
      },
    });
    const leader = new ControlLeader({
      network,
      clock,
      nodes: () => follower.nodes,
      controlVms: () => follower.controlVms(),
    });
    const guard = new CallerGuard({
      zone,
      clock,
      events,
      crashes: follower.crashes,
      port: new LeaderIsolationPort(leader),
      upstreams: () => follower.upstreams,
      probe: ({ port }) => this.#probe(port),
    });
    const choice = new UpstreamChoice({
      zone,
      clock,
      permits: new UnlimitedPermits(),
      upstreams: () => follower.upstreams,
    });
    void follower.run();
    return { follower, guard, choice, startedMs: clock.nowMs() };
  }

  async #probe(port: number): Promise<ConnectionState> {
    await this.#clock.sleep(TRAVEL_MS);
    return this.#upstreams[port]?.isUp === true ? "open" : "refused";
  }

  #causeFault(): void {
    const happens = (chance: number): boolean =>
      this.#random.fraction() < chance;
    if (happens(FAULT_CHANCES.newLeader)) {
      this.#leader = this.#random.below(CONTROLS.length);
      this.#term += 1;
      this.#leaderlessUntilMs = this.#clock.nowMs() +
        this.#random.below(SECOND_MS);
    }
    if (happens(FAULT_CHANCES.restart)) {
      const at = this.#random.below(this.#senders.length);
      this.#senders[at]?.follower.stop();
      this.#senders[at] = this.#startSender(at);
    }
    const upstream = this.#upstreams[
      this.#random.below(
        this.#upstreams.length,
      )
    ];
    if (upstream === undefined) return;
    if (happens(FAULT_CHANCES.upstreamCrash)) this.#crash(upstream);
    if (happens(FAULT_CHANCES.upstreamLeave)) this.#leave(upstream);
  }

  /** Announces that an upstream leaves, and ends it once its calls have ended. */
  #leave(upstream: Upstream): void {
    if (!upstream.isUp) return;
    upstream.record = { ...upstream.record, phase: "draining" };
    this.#sendHeartbeat(upstream);
    const incarnation = incarnationOf(upstream.record);
    this.#clock.after(2 * SECOND_MS, () => {
      if (incarnationOf(upstream.record) !== incarnation) return;
      upstream.isUp = false;
      for (const call of [...upstream.running]) {
        call.end({ kind: "unknown", reason: "socket hang up" });
      }
      this.#restart(upstream);
    });
  }
}

function describe(vm: string, role: FleetRole): FleetNode {
  return {
    vm,
    name: vm,
    role,
    zone: "z0",
    startedMs: 0,
    firstStart: true,
    leads: false,
    term: 0,
    voters: [],
    asked: [],
  };
}
