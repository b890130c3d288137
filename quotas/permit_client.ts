/**
 * Gets permits for the requests of one VM: asks for those that wait, and ahead for those that are likely to follow.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  type Failure,
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
  type RandomSource,
} from "#core";
import { DemandMeter } from "./demand_meter.ts";
import { QUOTA_EVENTS } from "./events.ts";
import { PermitHolder } from "./permit_holder.ts";
import {
  PERMIT_VALIDITY_MS,
  type PermitReply,
  type PermitRequest,
} from "./permit_messages.ts";
import type { PermitPort } from "./permit_port.ts";
import {
  isLimited,
  type PermitDemand,
  type PermitOutcome,
  Permits,
} from "./permits.ts";

/** Least time between two requests for permits that no request waits for. */
const EXPECTED_INTERVAL_MS: Milliseconds = PERMIT_VALIDITY_MS / 2;
/** How long a request for a backlog waits at the control VM. */
const BACKLOG_PATIENCE_MS: Milliseconds = 500;
/** Pause between two requests for a backlog, which collects permits meanwhile. */
const BACKLOG_INTERVAL_MS: Milliseconds = 30;
/** Pause after a request that no control VM answered. */
const FAILURE_PAUSE_MS: Milliseconds = 100;
/** Pause after a request for upstreams of which the control VM knows no limit. */
const UNKNOWN_LIMIT_PAUSE_MS: Milliseconds = 20;
/** Longest pause after a request that got no permit. */
const MAXIMUM_PAUSE_MS: Milliseconds = 500;
/** Time in which a control VM that leads is likely to be found again; callers should return after it. */
const UNAVAILABLE_MS: Milliseconds = 300;
const NO_BACKLOG = { count: 0, priority: 0 };

interface Waiter {
  readonly demand: PermitDemand;
  readonly untilMs: Milliseconds;
  readonly settle: (outcome: PermitOutcome) => void;
}

/** What is known of the requests of one service. */
interface ServiceState {
  readonly service: string;
  readonly meter: DemandMeter;
  waiters: Waiter[];
  backlog: { readonly count: number; readonly priority: number };
  asking: boolean;
  /** When permits were last asked for. */
  askedMs: Milliseconds;
  /** Time before which no permits are asked for. */
  pausedUntilMs: Milliseconds;
  /** When a permit is likely to be available for requests of a priority, or a lower one. */
  exhausted: { readonly untilMs: Milliseconds; readonly priority: number };
}

/** Options of `PermitClient`. */
export interface PermitClientOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly port: PermitPort;
  readonly upstreams: () => readonly FleetUpstream[];
  /** Called when there are new permits for a backlog. */
  readonly onBacklogPermits: () => void;
}

/** The permits of one VM. */
export class PermitClient extends Permits {
  readonly #options: PermitClientOptions;
  readonly #holder = new PermitHolder();
  readonly #services = new Map<string, ServiceState>();

  constructor(options: PermitClientOptions) {
    super();
    this.#options = options;
  }

  override available(upstream: FleetUpstream): number {
    if (!isLimited(upstream)) return Infinity;
    // Requests that wait go first.
    const state = this.#services.get(upstream.service);
    if (state !== undefined && state.waiters.length > 0) return 0;
    return this.#held(upstream);
  }

  override use(upstream: FleetUpstream): boolean {
    if (!isLimited(upstream)) return true;
    const nowMs = this.#options.clock.nowMs();
    return this.#holder.use(incarnationOf(upstream), nowMs);
  }

  override acquire(demand: PermitDemand): Promise<PermitOutcome> {
    const state = this.#stateOf(demand.service);
    const retryAfterMs = this.#retryAfterMs(state, demand);
    if (retryAfterMs > demand.patienceMs) {
      this.#logRejection(demand, retryAfterMs);
      return Promise.resolve({ kind: "rejected", retryAfterMs });
    }
    return new Promise((resolve) => {
      const waiter = this.#addWaiter(state, demand, resolve);
      this.#serveWaiters(state);
      if (state.waiters.includes(waiter)) this.#ask(state);
    });
  }

  override noteRequest(service: string): void {
    const state = this.#stateOf(service);
    state.meter.record(this.#options.clock.nowMs());
    this.#ask(state);
  }

  override setBacklog(
    service: string,
    backlog: { readonly count: number; readonly priority: number },
  ): void {
    if (backlog.count === 0 && !this.#services.has(service)) return;
    const state = this.#stateOf(service);
    state.backlog = backlog;
    if (backlog.count > 0) this.#ask(state);
  }

  override handleFreeSlot(service: string): void {
    const state = this.#services.get(service);
    if (state !== undefined) this.#serveWaiters(state);
  }

  /** Lets requests go on that waited for upstreams which name no limit any more, or for new ones. */
  handleFleetChange(): void {
    for (const state of this.#services.values()) this.#serveWaiters(state);
  }

  #held(upstream: FleetUpstream): number {
    const nowMs = this.#options.clock.nowMs();
    return this.#holder.count(incarnationOf(upstream), nowMs);
  }

  #stateOf(service: string): ServiceState {
    const existing = this.#services.get(service);
    if (existing !== undefined) return existing;
    const created: ServiceState = {
      service,
      meter: new DemandMeter(),
      waiters: [],
      backlog: NO_BACKLOG,
      asking: false,
      askedMs: -Infinity,
      pausedUntilMs: -Infinity,
      exhausted: { untilMs: -Infinity, priority: 0 },
    };
    this.#services.set(service, created);
    return created;
  }

  #retryAfterMs(state: ServiceState, demand: PermitDemand): Milliseconds {
    const { untilMs, priority } = state.exhausted;
    if (demand.priority < priority) return 0;
    return Math.max(0, untilMs - this.#options.clock.nowMs());
  }

  #addWaiter(
    state: ServiceState,
    demand: PermitDemand,
    resolve: (outcome: PermitOutcome) => void,
  ): Waiter {
    const { clock } = this.#options;
    const reject = (): void => {
      const retryAfterMs = this.#retryAfterMs(state, demand);
      this.#rejectWaiter(state, waiter, retryAfterMs);
    };
    const cancel = (): void => {
      state.waiters = state.waiters.filter((each) => each !== waiter);
      waiter.settle({ kind: "rejected", retryAfterMs: 0 });
    };
    const timer = clock.after(demand.patienceMs, reject);
    const waiter: Waiter = {
      demand,
      untilMs: clock.nowMs() + demand.patienceMs,
      settle: (outcome) => {
        timer.cancel();
        demand.signal.removeEventListener("abort", cancel);
        resolve(outcome);
      },
    };
    demand.signal.addEventListener("abort", cancel, { once: true });
    state.waiters.push(waiter);
    // Sorting keeps the order of arrival within a priority.
    state.waiters.sort((a, b) => a.demand.priority - b.demand.priority);
    return waiter;
  }

  #rejectWaiter(
    state: ServiceState,
    waiter: Waiter,
    retryAfterMs: Milliseconds,
  ): void {
    if (!state.waiters.includes(waiter)) return;
    state.waiters = state.waiters.filter((each) => each !== waiter);
    this.#logRejection(waiter.demand, retryAfterMs);
    waiter.settle({ kind: "rejected", retryAfterMs });
  }

  #logRejection(
    demand: PermitDemand,
    retryAfterMs: Milliseconds,
  ): void {
    this.#options.events.emit(QUOTA_EVENTS.permitRejected, {
      service: demand.service,
      priority: demand.priority,
      patienceMs: Math.round(demand.patienceMs),
      retryAfterMs: Math.round(retryAfterMs),
    });
  }

  #readyUpstreams(service: string): readonly FleetUpstream[] {
    return this.#options.upstreams().filter((each) =>
      each.service === service && each.phase === "ready"
    );
  }

  /** Sends the waiting requests on for which there is an upstream now. */
  #serveWaiters(state: ServiceState): void {
    if (state.waiters.length === 0) return;
    const upstreams = new Set(this.#readyUpstreams(state.service));
    const unserved: Waiter[] = [];
    let mayServeMore = false;
    for (const waiter of state.waiters) {
      const upstream = this.#upstreamFor(waiter, upstreams);
      if (upstream === undefined) {
        unserved.push(waiter);
        continue;
      }
      waiter.settle({ kind: "granted", upstream });
      // Whether it accepts a further request shows once this one is sent.
      if (isLimited(upstream)) continue;
      upstreams.delete(upstream);
      mayServeMore = true;
    }
    state.waiters = unserved;
    if (!mayServeMore || unserved.length === 0) return;
    this.#options.clock.after(0, () => this.#serveWaiters(state));
  }

  #upstreamFor(
    waiter: Waiter,
    upstreams: ReadonlySet<FleetUpstream>,
  ): FleetUpstream | undefined {
    const usable = [...upstreams].filter((each) => waiter.demand.accepts(each));
    const unlimited = usable.find((each) => !isLimited(each));
    if (unlimited !== undefined) return unlimited;
    return usable.find((each) => this.use(each));
  }

  /** Asks for permits if requests wait or are likely to come, unless it was asked just now. */
  #ask(state: ServiceState): void {
    if (state.asking) return;
    const { clock } = this.#options;
    const nowMs = clock.nowMs();
    const request = this.#requestFor(state, nowMs);
    if (request === undefined) return;
    const isMoreUrgent = request.priority < state.exhausted.priority;
    if (nowMs < state.pausedUntilMs && !isMoreUrgent) {
      this.#askLater(state, state.pausedUntilMs - nowMs);
      return;
    }
    state.asking = true;
    state.askedMs = nowMs;
    void this.#exchange(state, request);
  }

  #askLater(state: ServiceState, delayMs: Milliseconds): void {
    state.asking = true;
    this.#options.clock.after(delayMs, () => {
      state.asking = false;
      this.#ask(state);
    });
  }

  #requestFor(
    state: ServiceState,
    nowMs: Milliseconds,
  ): PermitRequest | undefined {
    const limited = this.#readyUpstreams(state.service).filter(isLimited);
    if (limited.length === 0) return undefined;
    let held = 0;
    for (const upstream of limited) held += this.#held(upstream);
    const backlog = Math.max(0, state.backlog.count - held);
    const waiting = state.waiters.length + backlog;
    const expected = this.#expectedCount(state, held, nowMs);
    const isTooSoon = nowMs - state.askedMs < EXPECTED_INTERVAL_MS;
    if (waiting === 0 && (expected === 0 || isTooSoon)) return undefined;
    return {
      kind: "permits",
      service: state.service,
      waiting,
      expected,
      priority: this.#highestPriority(state),
      patienceMs: this.#patienceMs(state, nowMs),
    };
  }

  #expectedCount(
    state: ServiceState,
    held: number,
    nowMs: Milliseconds,
  ): number {
    const expected = state.meter.expectedWithin(PERMIT_VALIDITY_MS, nowMs);
    // A VM that gets less than one request in this time asks now and then.
    const rounded = Math.floor(expected + this.#options.random.fraction());
    return Math.max(0, rounded - held);
  }

  #highestPriority(state: ServiceState): number {
    const waiting = state.waiters[0]?.demand.priority ?? Infinity;
    const backlog = state.backlog.count > 0 ? state.backlog.priority : Infinity;
    return Math.min(waiting, backlog, Number.MAX_SAFE_INTEGER);
  }

  #patienceMs(state: ServiceState, nowMs: Milliseconds): Milliseconds {
    let patienceMs = state.backlog.count > 0 ? BACKLOG_PATIENCE_MS : 0;
    for (const { untilMs } of state.waiters) {
      patienceMs = Math.max(patienceMs, untilMs - nowMs);
    }
    return patienceMs;
  }

  async #exchange(state: ServiceState, request: PermitRequest): Promise<void> {
    const { clock, port } = this.#options;
    const sentMs = clock.nowMs();
    const reply = await port.request(request);
    if (reply.ok) this.#applyReply(state, request, { ...reply.val, sentMs });
    else this.#applyFailure(state, reply.val);
    state.asking = false;
    this.#ask(state);
  }

  #applyReply(
    state: ServiceState,
    request: PermitRequest,
    reply: PermitReply & { readonly sentMs: Milliseconds },
  ): void {
    const { clock, onBacklogPermits } = this.#options;
    const nowMs = clock.nowMs();
    // The permits were issued at this time or later, since the request took some time to arrive.
    const issuedMs = reply.sentMs + reply.heldMs;
    const expiresMs = issuedMs + PERMIT_VALIDITY_MS;
    for (const { incarnation, count } of reply.grants) {
      this.#holder.add(incarnation, { count, expiresMs });
    }
    if (reply.grants.length > 0) {
      state.exhausted = { untilMs: -Infinity, priority: 0 };
      this.#serveWaiters(state);
      if (state.backlog.count > 0) {
        state.pausedUntilMs = nowMs + BACKLOG_INTERVAL_MS;
        onBacklogPermits();
      }
      return;
    }
    if (request.waiting === 0) return;
    const { retryAfterMs } = reply;
    const { priority } = request;
    state.exhausted = { untilMs: nowMs + retryAfterMs, priority };
    state.pausedUntilMs = nowMs + pauseAfterRejectionMs(retryAfterMs);
    this.#rejectHopeless(state);
  }

  #applyFailure(state: ServiceState, failure: Failure): void {
    const nowMs = this.#options.clock.nowMs();
    state.pausedUntilMs = nowMs + FAILURE_PAUSE_MS;
    state.exhausted = { untilMs: nowMs + UNAVAILABLE_MS, priority: 0 };
    this.#options.events.emit(QUOTA_EVENTS.permitsUnavailable, {
      service: state.service,
      waiting: state.waiters.length,
      reason: failure.message,
    });
    this.#rejectHopeless(state);
  }

  /** Rejects the waiting requests whose patience ends before a permit is likely to be available. */
  #rejectHopeless(state: ServiceState): void {
    const nowMs = this.#options.clock.nowMs();
    for (const waiter of [...state.waiters]) {
      const retryAfterMs = this.#retryAfterMs(state, waiter.demand);
      if (nowMs + retryAfterMs <= waiter.untilMs) continue;
      this.#rejectWaiter(state, waiter, retryAfterMs);
    }
  }
}

/** Returns how long to ask for no more permits after a reply without any. */
function pauseAfterRejectionMs(retryAfterMs: Milliseconds): Milliseconds {
  // The control VM does not know of the limit yet, or knows already that it has ended.
  if (retryAfterMs === 0) return UNKNOWN_LIMIT_PAUSE_MS;
  const pauseMs = Math.max(FAILURE_PAUSE_MS, retryAfterMs / 2);
  return Math.min(MAXIMUM_PAUSE_MS, pauseMs);
}
