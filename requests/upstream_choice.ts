/**
 * Chooses the upstream of each call, and uses a permit for it if the upstream names a limit of requests. Calls for which
 * no upstream is available now may wait for a permit.
 *
 * @module
 */
import type { Clock, FleetUpstream, Milliseconds, RouteRule } from "#core";
import { isLimited, type PermitOutcome, type Permits } from "#quotas";
import {
  type SlowStartOptions,
  UpstreamSelector,
} from "./upstream_selector.ts";

/** Share of the route's latency objective for which a call waits for a permit; the rest is for its response. */
const PERMIT_PATIENCE_OBJECTIVE_RATIO = 0.5;
/** Behind the priorities of all routes. */
const HEDGE_PRIORITY = Number.MAX_SAFE_INTEGER;

/** A call that needs an upstream. */
export interface UpstreamDemand {
  readonly service: string;
  readonly route: RouteRule;
  /** Upstreams that it was sent to. */
  readonly tried: ReadonlySet<string>;
  /** The one upstream that it may be sent to; any if absent. */
  readonly only?: string;
  /** Version of the software that the upstream must have, as the one that goes on with a stream; any if absent. */
  readonly softwareVersion?: string;
  /** Share of an upstream's slots that calls like this one may use while others of its service name limits; all if absent. */
  readonly slotShare?: number | undefined;
  /** How long it may wait for a permit; part of the route's latency objective if absent. */
  readonly permitPatienceMs?: Milliseconds | undefined;
  /** Whether the call is already sent to another upstream; calls that are sent to none get permits first. */
  readonly isHedge?: boolean;
}

/** Options of `UpstreamChoice`. */
export interface UpstreamChoiceOptions {
  readonly zone: string;
  readonly clock: Clock;
  readonly permits: Permits;
  /** Absent if upstreams get all calls at once after their start and after failures. */
  readonly slowStart?: SlowStartOptions;
  /** Returns the known upstreams, including draining ones. */
  readonly upstreams: () => readonly FleetUpstream[];
}

/** Chooses upstreams for calls. */
export class UpstreamChoice {
  /** What is observed of the upstreams. */
  readonly selector: UpstreamSelector;
  readonly #options: UpstreamChoiceOptions;

  constructor(options: UpstreamChoiceOptions) {
    this.#options = options;
    this.selector = new UpstreamSelector(options);
  }

  /**
   * Returns the best upstream that accepts a request now, with its permit used if it names a limit. While some upstreams
   * of a service name limits, the others are not loaded beyond their slots instead, nor while they fail calls: a call
   * waits for a permit first.
   */
  choose(
    demand: UpstreamDemand,
    options: {
      /** Whether the call has waited for a permit in vain. */
      readonly hasWaited?: boolean;
    } = {},
  ): FleetUpstream | undefined {
    const { permits, clock } = this.#options;
    const { hasWaited = false } = options;
    const nowMs = clock.nowMs();
    this.selector.observe(this.#options.upstreams, nowMs);
    const { isHedge = false, tried } = demand;
    const ready = this.readyUpstreams(demand);
    const knowsLimit = ready.some(isLimited);
    if (knowsLimit && !isHedge) permits.noteRequest(demand.service);
    const usable = ready.filter((upstream) => {
      if (!knowsLimit) return true;
      if (!isLimited(upstream)) {
        return hasWaited || this.#hasCapacity(upstream, demand);
      }
      return !isHedge && permits.available(upstream) >= 1;
    });
    const selected = this.selector.select(usable, { tried, nowMs });
    if (selected !== undefined) permits.use(selected);
    return selected;
  }

  /** Whether a call for which no upstream is available now may get a permit for one. */
  mayGetPermit(demand: UpstreamDemand): boolean {
    return this.readyUpstreams(demand).some((each) =>
      isLimited(each) && !demand.tried.has(each.id)
    );
  }

  /** Whether an upstream is known that the call may be sent to, now or later. */
  mayBeServed(demand: UpstreamDemand): boolean {
    return this.#options.upstreams().some((each) =>
      each.service === demand.service && isAllowed(each, demand)
    );
  }

  /** Whether an upstream accepts requests by its heartbeats that the call was not sent to. */
  hasReady(demand: UpstreamDemand): boolean {
    const nowMs = this.#options.clock.nowMs();
    return this.readyUpstreams(demand).some(({ id }) =>
      !demand.tried.has(id) && !this.selector.isPaused(id, nowMs)
    );
  }

  /** Returns the upstreams of the service that the call was sent to or must not be sent to. */
  unusableFor(demand: UpstreamDemand): ReadonlySet<string> {
    const unusable = new Set(demand.tried);
    for (const each of this.#options.upstreams()) {
      if (each.service !== demand.service) continue;
      if (!isAllowed(each, demand)) unusable.add(each.id);
    }
    return unusable;
  }

  /** Waits for a permit, no longer than a part of the latency objective: what comes later is better sent again later. */
  async acquire(
    demand: UpstreamDemand,
    options: {
      /** Time after which the call has failed. */
      readonly cutoffMs: Milliseconds;
      readonly signal: AbortSignal;
    },
  ): Promise<PermitOutcome> {
    if (!this.mayGetPermit(demand)) {
      return { kind: "rejected", retryAfterMs: 0 };
    }
    const { permits, clock } = this.#options;
    const { route, tried } = demand;
    const patienceMs = demand.permitPatienceMs ??
      route.objectiveMs * PERMIT_PATIENCE_OBJECTIVE_RATIO;
    const leftMs = Math.max(0, options.cutoffMs - clock.nowMs());
    return await permits.acquire({
      service: demand.service,
      priority: demand.isHedge === true ? HEDGE_PRIORITY : route.priority,
      patienceMs: Math.min(patienceMs, leftMs),
      signal: options.signal,
      accepts: (upstream) =>
        !tried.has(upstream.id) && isAllowed(upstream, demand) &&
        (isLimited(upstream) || this.#hasCapacity(upstream, demand)),
    });
  }

  /** Records that a call to an upstream has ended; see `UpstreamSelector.recordEnded`. */
  recordEnded(
    upstream: FleetUpstream,
    outcome: Parameters<UpstreamSelector["recordEnded"]>[1],
  ): void {
    this.selector.recordEnded(upstream.id, outcome);
    this.#options.permits.handleFreeSlot(upstream.service);
  }

  /** Returns the upstreams that the call may be sent to by their heartbeats. */
  readyUpstreams(demand: UpstreamDemand): readonly FleetUpstream[] {
    return this.#options.upstreams().filter((each) =>
      each.service === demand.service && each.phase === "ready" &&
      isAllowed(each, demand)
    );
  }

  /** Whether an upstream without a limit has slots left of those that this VM may use, and has not just failed calls. */
  #hasCapacity(
    upstream: FleetUpstream,
    { slotShare = 1 }: UpstreamDemand,
  ): boolean {
    const slots = Math.max(1, Math.floor(upstream.slots * slotShare));
    return this.selector.outstanding(upstream.id) < slots &&
      !this.selector.isPaused(upstream.id, this.#options.clock.nowMs());
  }
}

function isAllowed(
  upstream: FleetUpstream,
  { only, softwareVersion }: UpstreamDemand,
): boolean {
  if (only !== undefined && upstream.id !== only) return false;
  return softwareVersion === undefined ||
    upstream.softwareVersion === softwareVersion;
}
