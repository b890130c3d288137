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
  type Timer,
} from "#core";
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
import { type Backlog, ServiceDemand, type Waiter } from "./service_demand.ts";

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

/** The demand for a service, and the exchange with the control VM about it. */
interface ServiceState {
  readonly demand: ServiceDemand;
  /** Whether a request for permits is on its way. */
  asking: boolean;
  /** Runs until the next request for permits. */
  pause: Timer | undefined;
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
    if (state !== undefined && state.demand.waiting > 0) return 0;
    return this.#held(upstream);
  }

  override use(upstream: FleetUpstream): boolean {
    if (!isLimited(upstream)) return true;
    const nowMs = this.#options.clock.nowMs();
    return this.#holder.use(incarnationOf(upstream), nowMs);
  }

  override acquire(demand: PermitDemand): Promise<PermitOutcome> {
    const { clock } = this.#options;
    const state = this.#stateOf(demand.service);
    const nowMs = clock.nowMs();
    const retryAfterMs = state.demand.retryAfterMs(demand.priority, nowMs);
    if (retryAfterMs > demand.patienceMs) {
      this.#logRejection(demand, retryAfterMs);
      return Promise.resolve({ kind: "rejected", retryAfterMs });
    }
    return new Promise((resolve) => {
      this.#addWaiter(state, demand, resolve);
      this.#serve(state);
      this.#ask(state);
    });
  }

  override noteRequest(service: string): void {
    const state = this.#stateOf(service);
    state.demand.recordRequest(this.#options.clock.nowMs());
    this.#ask(state);
  }

  override setBacklog(service: string, backlog: Backlog): void {
    if (backlog.count === 0 && !this.#services.has(service)) return;
    const state = this.#stateOf(service);
    state.demand.backlog = backlog;
    if (backlog.count > 0) this.#ask(state);
  }

  override handleFreeSlot(service: string): void {
    const state = this.#services.get(service);
    if (state !== undefined) this.#serve(state);
  }

  /** Lets requests go on that waited for upstreams which name no limit any more, or for new ones. */
  handleFleetChange(): void {
    for (const state of this.#services.values()) this.#serve(state);
  }

  #held(upstream: FleetUpstream): number {
    const nowMs = this.#options.clock.nowMs();
    return this.#holder.count(incarnationOf(upstream), nowMs);
  }

  #stateOf(service: string): ServiceState {
    const existing = this.#services.get(service);
    if (existing !== undefined) return existing;
    const demand = new ServiceDemand(service);
    const created = { demand, asking: false, pause: undefined };
    this.#services.set(service, created);
    return created;
  }

  #addWaiter(
    { demand: ofService }: ServiceState,
    demand: PermitDemand,
    resolve: (outcome: PermitOutcome) => void,
  ): void {
    const { clock } = this.#options;
    const cancel = (): void => {
      ofService.remove(waiter);
      waiter.settle({ kind: "rejected", retryAfterMs: 0 });
    };
    const timer = clock.after(demand.patienceMs, () => {
      this.#reject(ofService, waiter);
    });
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
    ofService.add(waiter);
  }

  #reject(ofService: ServiceDemand, waiter: Waiter): void {
    if (!ofService.remove(waiter)) return;
    const { demand } = waiter;
    const nowMs = this.#options.clock.nowMs();
    const retryAfterMs = ofService.retryAfterMs(demand.priority, nowMs);
    this.#logRejection(demand, retryAfterMs);
    waiter.settle({ kind: "rejected", retryAfterMs });
  }

  #logRejection(demand: PermitDemand, retryAfterMs: Milliseconds): void {
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
  #serve(state: ServiceState): void {
    const { demand } = state;
    if (demand.waiting === 0) return;
    const upstreams = this.#readyUpstreams(demand.service);
    const mayServeMore = demand.serve(upstreams, (each) => this.use(each));
    if (mayServeMore) this.#options.clock.after(0, () => this.#serve(state));
  }

  /** Asks for permits if requests wait or are likely to come, now or after a pause. */
  #ask(state: ServiceState): void {
    if (state.asking) return;
    const { clock, random } = this.#options;
    const { demand } = state;
    const limited = this.#readyUpstreams(demand.service).filter(isLimited);
    if (limited.length === 0) return;
    let held = 0;
    for (const upstream of limited) held += this.#held(upstream);
    const nowMs = clock.nowMs();
    const fraction = random.fraction();
    const next = demand.nextRequest({ nowMs, held, fraction });
    if (next === undefined) return;
    state.pause?.cancel();
    state.pause = undefined;
    if (next.pauseMs > 0) {
      state.pause = clock.after(next.pauseMs, () => this.#ask(state));
      return;
    }
    state.asking = true;
    demand.recordAsked(nowMs);
    void this.#exchange(state, next.request);
  }

  async #exchange(state: ServiceState, request: PermitRequest): Promise<void> {
    const { clock, port } = this.#options;
    const sentMs = clock.nowMs();
    const reply = await port.request(request);
    state.asking = false;
    if (reply.err) this.#applyFailure(state, reply.val);
    else if (reply.val.grants.length > 0) {
      this.#applyGrants(state, { ...reply.val, sentMs });
    } else if (request.waiting > 0) {
      const { retryAfterMs } = reply.val;
      const { priority } = request;
      const nowMs = clock.nowMs();
      state.demand.recordRejection({ priority, retryAfterMs }, nowMs);
      this.#rejectHopeless(state);
    }
    this.#ask(state);
  }

  #applyGrants(
    state: ServiceState,
    reply: PermitReply & { readonly sentMs: Milliseconds },
  ): void {
    const { clock, onBacklogPermits } = this.#options;
    // The permits were issued at this time or later, since the request took some time to arrive.
    const issuedMs = reply.sentMs + reply.heldMs;
    const expiresMs = issuedMs + PERMIT_VALIDITY_MS;
    for (const { incarnation, count } of reply.grants) {
      this.#holder.add(incarnation, { count, expiresMs });
    }
    state.demand.recordGrant(clock.nowMs());
    this.#serve(state);
    if (state.demand.backlog.count > 0) onBacklogPermits();
  }

  #applyFailure(state: ServiceState, failure: Failure): void {
    const { clock, events } = this.#options;
    const { demand } = state;
    demand.recordFailure(clock.nowMs());
    events.emit(QUOTA_EVENTS.permitsUnavailable, {
      service: demand.service,
      waiting: demand.waiting,
      reason: failure.message,
    });
    this.#rejectHopeless(state);
  }

  #rejectHopeless({ demand }: ServiceState): void {
    const nowMs = this.#options.clock.nowMs();
    for (const waiter of demand.hopeless(nowMs)) this.#reject(demand, waiter);
  }
}
