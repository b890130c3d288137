/**
 * The paces of all upstreams, and the typical latency of each service, by which responses count as slow.
 *
 * @module
 */
import {
  type EventLog,
  type FleetUpstream,
  type Milliseconds,
  MINUTE_MS,
  type RandomSource,
} from "#core";
import { REQUEST_EVENTS } from "./events.ts";
import { type PaceChange, UpstreamPace } from "./upstream_pace.ts";

/** Upstreams that a VM learns of within this time of the first one of their service are no newer than that. */
const DISCOVERY_MS: Milliseconds = 5_000;
/** Multiple of the typical latency beyond which a response is slow; random lengths and queues double that of single ones. */
const SLOW_FACTOR = 2.5;
/** Weight of a response in the typical latency of its service, which many upstreams share. */
const LATENCY_SMOOTHING_FACTOR = 0.05;
/** Least time between two checks of all upstreams; one that may get a call is checked in any case. */
const OBSERVATION_INTERVAL_MS: Milliseconds = 250;
/** How long an upstream that is no longer listed is remembered. */
const RETENTION_MS: Milliseconds = 10 * MINUTE_MS;

interface KnownUpstream {
  readonly upstream: FleetUpstream;
  readonly pace: UpstreamPace;
  /** When this incarnation was first known. */
  readonly sinceMs: Milliseconds;
  seenMs: Milliseconds;
}

interface ServiceRecord {
  readonly firstSeenMs: Milliseconds;
  latencyMs: Milliseconds | undefined;
}

/** The result of one call as a pace regards it. */
export interface PacedOutcome {
  readonly nowMs: Milliseconds;
  readonly kind: "response" | "failure" | "cancelled";
  /** Time from sending the call to its end. */
  readonly waitedMs: Milliseconds;
}

/** Options of `UpstreamPaces`. */
export interface UpstreamPacesOptions {
  readonly random: RandomSource;
  readonly events: EventLog;
  /** Called when another process answers under an identifier. */
  readonly onRestart: (id: string) => void;
}

/** Stores the paces of upstreams. */
export class UpstreamPaces {
  readonly #options: UpstreamPacesOptions;
  readonly #known = new Map<string, KnownUpstream>();
  readonly #services = new Map<string, ServiceRecord>();
  #observedMs: Milliseconds = -Infinity;
  #prunedMs: Milliseconds = 0;

  constructor(options: UpstreamPacesOptions) {
    this.#options = options;
  }

  /** Applies the list of all upstreams: the pace of those that are new begins. */
  observe(
    upstreams: () => readonly FleetUpstream[],
    nowMs: Milliseconds,
  ): void {
    if (nowMs - this.#observedMs < OBSERVATION_INTERVAL_MS) return;
    this.#observedMs = nowMs;
    for (const upstream of upstreams()) {
      if (upstream.phase === "ready") this.#knownOf(upstream, nowMs);
    }
    if (nowMs - this.#prunedMs < MINUTE_MS) return;
    this.#prunedMs = nowMs;
    for (const [id, { seenMs }] of this.#known) {
      if (nowMs - seenMs > RETENTION_MS) this.#known.delete(id);
    }
  }

  /** Returns the pace of an upstream, or undefined if it gets its full share. */
  unfinished(
    upstream: FleetUpstream,
    nowMs: Milliseconds,
  ): UpstreamPace | undefined {
    const { pace } = this.#knownOf(upstream, nowMs);
    return pace.isEnded ? undefined : pace;
  }

  /**
   * Whether an upstream whose pace is unfinished gets a call. Each VM draws for itself, so that together they send what
   * the share allows, however many they are.
   */
  admits(
    pace: UpstreamPace,
    call: {
      readonly nowMs: Milliseconds;
      readonly outstanding: number;
      /** The part of the calls that an equal upstream gets. */
      readonly equalShare: number;
    },
  ): boolean {
    if (pace.isProbing && call.outstanding > 0) return false;
    const share = pace.share(call.nowMs) * call.equalShare;
    return this.#options.random.fraction() < share;
  }

  /** Returns the typical latency of the upstreams of a service, or undefined before the first response. */
  typicalLatencyMs(service: string): Milliseconds | undefined {
    return this.#services.get(service)?.latencyMs;
  }

  /** Returns the typical latency of the peers of an upstream. */
  peerLatencyMs(id: string): Milliseconds | undefined {
    const known = this.#known.get(id);
    if (known === undefined) return undefined;
    return this.typicalLatencyMs(known.upstream.service);
  }

  /** Records how a call ended; calls that an earlier incarnation got show nothing about this one. */
  record(id: string, outcome: PacedOutcome): void {
    const known = this.#known.get(id);
    if (known === undefined) return;
    const { nowMs, kind, waitedMs } = outcome;
    if (nowMs - waitedMs < known.sinceMs) return;
    if (kind === "failure") {
      return this.#report(known, known.pace.recordFailure(nowMs));
    }
    const service = this.#services.get(known.upstream.service);
    const typicalMs = service?.latencyMs ?? Infinity;
    if (waitedMs > typicalMs * SLOW_FACTOR) {
      this.#report(known, known.pace.recordSlowResponse(nowMs));
    } else if (kind === "response") {
      this.#report(known, known.pace.recordResponse(nowMs));
    }
    if (kind !== "response" || service === undefined) return;
    if (!known.pace.isEnded && service.latencyMs !== undefined) return;
    service.latencyMs ??= waitedMs;
    service.latencyMs += LATENCY_SMOOTHING_FACTOR *
      (waitedMs - service.latencyMs);
  }

  #knownOf(upstream: FleetUpstream, nowMs: Milliseconds): KnownUpstream {
    const known = this.#known.get(upstream.id);
    if (known?.upstream.bornMs !== upstream.bornMs) {
      return this.#begin(upstream, nowMs);
    }
    known.seenMs = nowMs;
    return known;
  }

  #begin(upstream: FleetUpstream, nowMs: Milliseconds): KnownUpstream {
    const { id, service: name } = upstream;
    const service = this.#services.get(name) ??
      { firstSeenMs: nowMs, latencyMs: undefined };
    this.#services.set(name, service);
    const isNew = nowMs - service.firstSeenMs > DISCOVERY_MS;
    const pace = isNew
      ? UpstreamPace.started(nowMs)
      : UpstreamPace.established(nowMs);
    const isRestart = this.#known.has(id);
    const known = { upstream, pace, sinceMs: nowMs, seenMs: nowMs };
    this.#known.set(id, known);
    if (isRestart) this.#options.onRestart(id);
    if (!isNew) return known;
    this.#options.events.emit(REQUEST_EVENTS.slowStartBegun, {
      upstream: id,
      service: name,
      share: pace.share(nowMs),
    });
    return known;
  }

  #report(
    { upstream: { id, service }, pace }: KnownUpstream,
    change: PaceChange,
  ): void {
    if (change === "none") return;
    const { events } = this.#options;
    if (change === "ended") {
      events.emit(REQUEST_EVENTS.slowStartEnded, { upstream: id, service });
      return;
    }
    events.emit(REQUEST_EVENTS.slowStartSteppedBack, {
      upstream: id,
      service,
      isFailing: pace.isProbing,
    });
  }
}
