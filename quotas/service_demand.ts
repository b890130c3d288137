/**
 * The demand of one VM for permits of one service: which requests wait, which are likely to come, and when it makes
 * sense to ask again. Performs no I/O.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";
import { DemandMeter } from "./demand_meter.ts";
import { PERMIT_VALIDITY_MS, type PermitRequest } from "./permit_messages.ts";
import { isLimited, type PermitDemand, type PermitOutcome } from "./permits.ts";

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
const NOT_EXHAUSTED = { untilMs: -Infinity, priority: 0 };

/** A request that waits for a permit. */
export interface Waiter {
  readonly demand: PermitDemand;
  readonly untilMs: Milliseconds;
  readonly settle: (outcome: PermitOutcome) => void;
}

/** Requests that wait elsewhere until there are permits for them. */
export interface Backlog {
  readonly count: number;
  readonly priority: number;
}

/** What a VM wants of one service. */
export class ServiceDemand {
  readonly service: string;
  backlog: Backlog = { count: 0, priority: 0 };
  readonly #meter = new DemandMeter();
  #waiters: Waiter[] = [];
  /** When permits were last asked for. */
  #askedMs: Milliseconds = -Infinity;
  #pausedUntilMs: Milliseconds = -Infinity;
  /** When a permit is likely to be available for requests of a priority, or a lower one. */
  #exhausted: { readonly untilMs: Milliseconds; readonly priority: number } =
    NOT_EXHAUSTED;

  constructor(service: string) {
    this.service = service;
  }

  /** Number of requests that wait. */
  get waiting(): number {
    return this.#waiters.length;
  }

  /** Counts a request that has arrived. */
  recordRequest(nowMs: Milliseconds): void {
    this.#meter.record(nowMs);
  }

  /** Adds a request that waits. */
  add(waiter: Waiter): void {
    this.#waiters.push(waiter);
    // Sorting keeps the order of arrival within a priority.
    this.#waiters.sort((a, b) => a.demand.priority - b.demand.priority);
  }

  /** Removes a request; returns whether it still waited. */
  remove(waiter: Waiter): boolean {
    const before = this.#waiters.length;
    this.#waiters = this.#waiters.filter((each) => each !== waiter);
    return this.#waiters.length < before;
  }

  /**
   * Sends the waiting requests on for which there is an upstream now: one without a limit, or one for which `use` uses
   * a permit. Returns whether more may be sent to an upstream without a limit once these have been.
   */
  serve(
    upstreams: readonly FleetUpstream[],
    use: (upstream: FleetUpstream) => boolean,
  ): boolean {
    const candidates = new Set(upstreams);
    const unserved: Waiter[] = [];
    let usedUnlimited = false;
    for (const waiter of this.#waiters) {
      const upstream = upstreamFor(waiter, candidates, use);
      if (upstream === undefined) {
        unserved.push(waiter);
        continue;
      }
      waiter.settle({ kind: "granted", upstream });
      // Whether it accepts a further request shows once this one is sent.
      if (isLimited(upstream)) continue;
      candidates.delete(upstream);
      usedUnlimited = true;
    }
    this.#waiters = unserved;
    return usedUnlimited && unserved.length > 0;
  }

  /** Returns the time until a permit is likely for requests of a priority; 0 if it may be available now. */
  retryAfterMs(priority: number, nowMs: Milliseconds): Milliseconds {
    if (priority < this.#exhausted.priority) return 0;
    return Math.max(0, this.#exhausted.untilMs - nowMs);
  }

  /** Returns the waiting requests whose patience ends before a permit is likely to be available. */
  hopeless(nowMs: Milliseconds): readonly Waiter[] {
    return this.#waiters.filter(({ demand, untilMs }) =>
      nowMs + this.retryAfterMs(demand.priority, nowMs) > untilMs
    );
  }

  /** Returns the request for permits to send now or after `pauseMs`, or undefined if none are needed. */
  nextRequest(state: {
    readonly nowMs: Milliseconds;
    /** Permits that the VM holds for the service. */
    readonly held: number;
    /** From 0 to 1; decides whether a fraction of an expected request counts. */
    readonly fraction: number;
  }):
    | { readonly request: PermitRequest; readonly pauseMs: Milliseconds }
    | undefined {
    const { nowMs, held, fraction } = state;
    const waiting = this.#waiters.length +
      Math.max(0, this.backlog.count - held);
    const likely = this.#meter.expectedWithin(PERMIT_VALIDITY_MS, nowMs);
    const expected = Math.max(0, Math.floor(likely + fraction) - held);
    const isTooSoon = nowMs - this.#askedMs < EXPECTED_INTERVAL_MS;
    if (waiting === 0 && (expected === 0 || isTooSoon)) return undefined;
    const priority = this.#highestPriority();
    const isMoreUrgent = priority < this.#exhausted.priority;
    const pauseMs = isMoreUrgent ? 0 : Math.max(0, this.#pausedUntilMs - nowMs);
    const patienceMs = this.#patienceMs(nowMs);
    const { service } = this;
    return {
      request: {
        kind: "permits",
        service,
        waiting,
        expected,
        priority,
        patienceMs,
      },
      pauseMs,
    };
  }

  /** Records that permits were asked for. */
  recordAsked(nowMs: Milliseconds): void {
    this.#askedMs = nowMs;
  }

  /** Records a reply with permits. */
  recordGrant(nowMs: Milliseconds): void {
    this.#exhausted = NOT_EXHAUSTED;
    if (this.backlog.count > 0) {
      this.#pausedUntilMs = nowMs + BACKLOG_INTERVAL_MS;
    }
  }

  /** Records a reply without permits for the requests that wait. */
  recordRejection(
    rejection: {
      readonly priority: number;
      readonly retryAfterMs: Milliseconds;
    },
    nowMs: Milliseconds,
  ): void {
    const { priority, retryAfterMs } = rejection;
    this.#exhausted = { untilMs: nowMs + retryAfterMs, priority };
    this.#pausedUntilMs = nowMs + pauseAfterRejectionMs(retryAfterMs);
  }

  /** Records that no control VM replied. */
  recordFailure(nowMs: Milliseconds): void {
    this.#exhausted = { untilMs: nowMs + UNAVAILABLE_MS, priority: 0 };
    this.#pausedUntilMs = nowMs + FAILURE_PAUSE_MS;
  }

  #highestPriority(): number {
    const waiting = this.#waiters[0]?.demand.priority ?? Infinity;
    const backlog = this.backlog.count > 0 ? this.backlog.priority : Infinity;
    return Math.min(waiting, backlog, Number.MAX_SAFE_INTEGER);
  }

  #patienceMs(nowMs: Milliseconds): Milliseconds {
    let patienceMs = this.backlog.count > 0 ? BACKLOG_PATIENCE_MS : 0;
    for (const { untilMs } of this.#waiters) {
      patienceMs = Math.max(patienceMs, untilMs - nowMs);
    }
    return patienceMs;
  }
}

function upstreamFor(
  waiter: Waiter,
  upstreams: ReadonlySet<FleetUpstream>,
  use: (upstream: FleetUpstream) => boolean,
): FleetUpstream | undefined {
  const usable = [...upstreams].filter((each) => waiter.demand.accepts(each));
  const unlimited = usable.find((each) => !isLimited(each));
  return unlimited ?? usable.find(use);
}

/** Returns how long to ask for no more permits after a reply without any. */
function pauseAfterRejectionMs(retryAfterMs: Milliseconds): Milliseconds {
  // The control VM does not know of the limit yet, or knows already that it has ended.
  if (retryAfterMs === 0) return UNKNOWN_LIMIT_PAUSE_MS;
  const pauseMs = Math.max(FAILURE_PAUSE_MS, retryAfterMs / 2);
  return Math.min(MAXIMUM_PAUSE_MS, pauseMs);
}
