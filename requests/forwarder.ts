/**
 * Forwards a caller's call to an upstream of its route's service and returns the complete response.
 *
 * An `idempotent` call without a timely response is hedged: it is also sent to a second upstream. One that
 * fails is retried while attempts remain. A `once` call is retried only if it certainly did not run.
 *
 * @module
 */
import {
  type ByteBudget,
  type Clock,
  type EventLog,
  fail,
  type Failure,
  type FleetUpstream,
  type HttpRequest,
  type HttpResponse,
  type Milliseconds,
  type RandomSource,
  type RouteRule,
} from "#core";
import { isLimited, type PermitOutcome, type Permits } from "#quotas";
import { endToEndHeaders, headerRecord } from "./end_to_end_headers.ts";
import { REQUEST_EVENTS } from "./events.ts";
import {
  type Attempt,
  classifyError,
  classifyResponse,
  MINIMUM_SERVER_ERROR_STATUS,
} from "./forwarded_attempt.ts";
import { pickService } from "./route_rules.ts";
import { type PermitWait, StreamForwarding } from "./stream_forwarding.ts";
import { UpstreamSelector } from "./upstream_selector.ts";
import type { UpstreamDialect } from "./upstream_dialect.ts";
import { reportNotices, type UpstreamNotices } from "./upstream_notices.ts";
import {
  type CompleteResponse,
  type ResponseHead,
  UpstreamHttp,
} from "./upstream_http.ts";

/** Share of the route's latency objective after which a call without a response is hedged. */
const HEDGE_DELAY_OBJECTIVE_RATIO = 0.45;
/** Share of the route's latency objective for which a call waits for a permit; the rest is for its response. */
const PERMIT_PATIENCE_OBJECTIVE_RATIO = 0.5;
const RETRY_AFTER_MS: Milliseconds = 150;
/**
 * Time to wait past the cutoff for an upstream that reports its own timeout: its connection can then be reused.
 */
const LATE_RESPONSE_GRACE_MS: Milliseconds = 60;

/** Options of `Forwarder`. */
export interface ForwarderOptions extends UpstreamNotices {
  readonly zone: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly dialect: UpstreamDialect;
  /** Returns the known upstreams, including draining ones. */
  readonly upstreams: () => readonly FleetUpstream[];
  /** Permits for upstreams that name a limit of requests. */
  readonly permits: Permits;
  /** Memory of the responses that the process reads and writes; absent if only the forwarder reads any. */
  readonly responseBudget?: ByteBudget;
}

/** A call with its route and deadline. */
export interface RoutedCall {
  readonly call: HttpRequest;
  readonly route: RouteRule;
  readonly requestId: string;
  /** The caller's deadline, on this VM's clock. */
  readonly deadlineMs: Milliseconds;
  /** How long the call may wait for a permit; part of the route's latency objective if absent. */
  readonly permitPatienceMs?: Milliseconds;
  /** Share of an upstream's slots that calls like this one may use while others of its service name limits; all if absent. */
  readonly slotShare?: number;
  /** Called for each upstream that ran the call and responded with a server error. */
  readonly onServerError?: () => void;
}

/** State of one call over its attempts. */
interface ForwardedCall {
  readonly routed: RoutedCall;
  readonly service: string;
  readonly headers: readonly string[];
  readonly triedUpstreams: Set<string>;
  /** When this VM received the call. */
  readonly arrivedMs: Milliseconds;
  /** The earlier of the caller's deadline and the route's timeout. */
  readonly cutoffMs: Milliseconds;
  readonly abortController: AbortController;
  /** Number of attempts that may have run. */
  possibleRuns: number;
  lastFailure: string;
  /** When a permit for one of its upstreams is likely to be available; 0 if it waits for none. */
  retryAfterMs: Milliseconds;
  /** The last response with a server error from an upstream. */
  serverErrorResponse: CompleteResponse | undefined;
}

/** Forwards calls to upstreams. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #http: UpstreamHttp;
  readonly #choice: UpstreamSelector;
  readonly #streams: StreamForwarding;

  constructor(options: ForwarderOptions) {
    this.#options = options;
    this.#http = new UpstreamHttp(options);
    this.#choice = new UpstreamSelector({ zone: options.zone });
    this.#streams = new StreamForwarding({
      ...options,
      http: this.#http,
      choose: ({ service, routed }, tried) =>
        this.#choose(service, { routed, tried }),
      acquire: (call) => this.#acquire(call),
      choice: this.#choice,
    });
  }

  /** Returns the upstream's response, or a failure that states whether the call may have run. */
  async forward(routed: RoutedCall): Promise<HttpResponse | Failure> {
    const { call, route } = routed;
    const service = pickService(route.split, this.#options.random);
    if (service === undefined) {
      return fail("no_upstream", `route ${route.name} has no service`);
    }
    const headers = endToEndHeaders(call.rawHeaders);
    if (route.kind === "stream") {
      return this.#streams.forward({ routed, service, headers });
    }
    const forwarded: ForwardedCall = {
      routed,
      service,
      headers,
      triedUpstreams: new Set(),
      arrivedMs: this.#options.clock.nowMs(),
      cutoffMs: Math.min(
        routed.deadlineMs,
        this.#options.clock.nowMs() + route.timeoutMs,
      ),
      abortController: new AbortController(),
      possibleRuns: 0,
      lastFailure: "no upstream is known",
      retryAfterMs: 0,
      serverErrorResponse: undefined,
    };
    const onAbort = (): void => forwarded.abortController.abort();
    call.signal.addEventListener("abort", onAbort, { once: true });
    const response = await this.#sendUntilCutoff(forwarded);
    forwarded.abortController.abort();
    call.signal.removeEventListener("abort", onAbort);
    if ("kind" in response) this.#reportFailure(forwarded, response);
    return response;
  }

  /** Closes idle connections. */
  close(): void {
    this.#http.close();
  }

  #sendUntilCutoff(forwarded: ForwardedCall): Promise<HttpResponse | Failure> {
    const { clock } = this.#options;
    const { call } = forwarded.routed;
    const timeoutMs = forwarded.cutoffMs + LATE_RESPONSE_GRACE_MS -
      clock.nowMs();
    return new Promise((resolve) => {
      const timer = clock.after(timeoutMs, () => {
        resolve(this.#cutoffFailure(forwarded));
      });
      const onAbort = (): void => {
        timer.cancel();
        resolve(fail("cancelled", "the caller disconnected"));
      };
      call.signal.addEventListener("abort", onAbort, { once: true });
      this.#sendHedged(forwarded).then((response) => {
        timer.cancel();
        call.signal.removeEventListener("abort", onAbort);
        resolve(response);
      });
    });
  }

  #cutoffFailure(forwarded: ForwardedCall): Failure {
    const message = `no response in time: ${forwarded.lastFailure}`;
    if (forwarded.possibleRuns > 0) return fail("deadline_passed", message);
    return fail("upstream_refused", message, { retryAfterMs: RETRY_AFTER_MS });
  }

  /** Retries until there is a final response; an idempotent call may have two attempts in flight. */
  #sendHedged(forwarded: ForwardedCall): Promise<HttpResponse | Failure> {
    const { route } = forwarded.routed;
    const { clock } = this.#options;
    return new Promise((resolve) => {
      let running = 0;
      const settle = (response: HttpResponse | Failure): void => {
        hedgeTimer.cancel();
        resolve(response);
      };
      const startOrSettle = (): void => {
        if (!startNext() && running === 0) settle(this.#finalResult(forwarded));
      };
      const start = (upstream: FleetUpstream): void => {
        running += 1;
        this.#send(forwarded, upstream).then((attempt) => {
          running -= 1;
          const response = this.#finalResponse(forwarded, attempt);
          if (response !== undefined) settle(response);
          else startOrSettle();
        });
      };
      const startNext = (): boolean => {
        if (!this.#mayAttempt(forwarded)) return false;
        const { service, routed, triedUpstreams: tried } = forwarded;
        const upstream = this.#choose(service, { routed, tried });
        if (upstream !== undefined) {
          start(upstream);
          return true;
        }
        if (!this.#hasUntriedLimited(service, tried)) return false;
        running += 1;
        this.#acquireFor(forwarded).then((acquired) => {
          running -= 1;
          if (acquired !== undefined) start(acquired);
          else if (running === 0) settle(this.#finalResult(forwarded));
        });
        return true;
      };
      const delayMs = route.objectiveMs * HEDGE_DELAY_OBJECTIVE_RATIO;
      const hedgeTimer = clock.after(delayMs, () => {
        if (route.kind !== "idempotent" || !this.#mayAttempt(forwarded)) return;
        const { service, routed, triedUpstreams: tried } = forwarded;
        const hedge = { routed, tried, isHedge: true };
        const upstream = this.#choose(service, hedge);
        if (upstream !== undefined) start(upstream);
      });
      startOrSettle();
    });
  }

  /** Whether the call may be sent to a further upstream. */
  #mayAttempt(forwarded: ForwardedCall): boolean {
    if (forwarded.abortController.signal.aborted) return false;
    if (this.#options.clock.nowMs() >= forwarded.cutoffMs) return false;
    const { route } = forwarded.routed;
    const maximumAttempts = route.kind === "once"
      ? 1
      : Math.max(1, route.maximumAttempts);
    return forwarded.possibleRuns < maximumAttempts;
  }

  /**
   * Returns the best upstream that accepts a request now, with its permit used if it names a limit. While some upstreams
   * of a service name limits, the others are not loaded beyond their slots instead: a call waits for a permit first.
   */
  #choose(
    service: string,
    options: {
      readonly routed: RoutedCall;
      readonly tried: ReadonlySet<string>;
      /** Whether the call is already sent to another upstream; no permits are spent on it then. */
      readonly isHedge?: boolean;
      /** Whether the call has waited for a permit in vain. */
      readonly hasWaited?: boolean;
    },
  ): FleetUpstream | undefined {
    const { permits, clock } = this.#options;
    const { routed, tried, isHedge = false, hasWaited = false } = options;
    const ready = this.#readyUpstreams(service);
    const knowsLimit = ready.some(isLimited);
    if (knowsLimit && !isHedge) permits.noteRequest(service);
    const usable = ready.filter((upstream) => {
      if (!knowsLimit) return true;
      if (!isLimited(upstream)) {
        return hasWaited || !this.#isFull(upstream, routed);
      }
      return !isHedge && permits.available(upstream) >= 1;
    });
    const nowMs = clock.nowMs();
    const selected = this.#choice.select(usable, { tried, nowMs });
    if (selected !== undefined) permits.use(selected);
    return selected;
  }

  #readyUpstreams(service: string): readonly FleetUpstream[] {
    return this.#options.upstreams().filter((each) =>
      each.service === service && each.phase === "ready"
    );
  }

  /** Whether the calls of this VM fill the slots of an upstream that calls like this one may use. */
  #isFull(upstream: FleetUpstream, { slotShare = 1 }: RoutedCall): boolean {
    const slots = Math.max(1, Math.floor(upstream.slots * slotShare));
    return this.#choice.outstanding(upstream.id) >= slots;
  }

  /** Whether a call for which no upstream is available now may get a permit for one. */
  #hasUntriedLimited(service: string, tried: ReadonlySet<string>): boolean {
    return this.#readyUpstreams(service).some((each) =>
      isLimited(each) && !tried.has(each.id)
    );
  }

  async #acquireFor(
    forwarded: ForwardedCall,
  ): Promise<FleetUpstream | undefined> {
    const { routed, service, triedUpstreams, cutoffMs } = forwarded;
    const outcome = await this.#acquire({
      routed,
      service,
      tried: triedUpstreams,
      cutoffMs,
      signal: forwarded.abortController.signal,
    });
    if (outcome.kind === "granted") return outcome.upstream;
    if (!this.#mayAttempt(forwarded)) return undefined;
    const tried = triedUpstreams;
    const full = this.#choose(service, { routed, tried, hasWaited: true });
    if (full !== undefined) return full;
    forwarded.retryAfterMs = outcome.retryAfterMs;
    forwarded.lastFailure = "the upstreams have reached the limits they name";
    return undefined;
  }

  /** Waits for a permit, no longer than a part of the latency objective: what comes later is better sent again later. */
  async #acquire(call: PermitWait): Promise<PermitOutcome> {
    const { permits, clock } = this.#options;
    if (!this.#hasUntriedLimited(call.service, call.tried)) {
      return { kind: "rejected", retryAfterMs: 0 };
    }
    const { route, permitPatienceMs } = call.routed;
    const patienceMs = permitPatienceMs ??
      route.objectiveMs * PERMIT_PATIENCE_OBJECTIVE_RATIO;
    const leftMs = Math.max(0, call.cutoffMs - clock.nowMs());
    return await permits.acquire({
      service: call.service,
      priority: route.priority,
      patienceMs: Math.min(patienceMs, leftMs),
      signal: call.signal,
      accepts: (upstream) =>
        !call.tried.has(upstream.id) &&
        (isLimited(upstream) || !this.#isFull(upstream, call.routed)),
    });
  }

  async #send(
    forwarded: ForwardedCall,
    upstream: FleetUpstream,
  ): Promise<Attempt> {
    const { clock, dialect } = this.#options;
    const { call, route, requestId } = forwarded.routed;
    forwarded.triedUpstreams.add(upstream.id);
    forwarded.possibleRuns += 1;
    this.#choice.recordSent(upstream.id);
    const sentMs = clock.nowMs();
    this.#logIfLimited(forwarded, upstream);
    const result = await this.#http.call({
      address: upstream.address,
      method: call.method,
      target: call.target,
      headers: dialect.callHeaders(forwarded.headers, {
        requestId,
        upstream,
        remainingMs: Math.max(1, forwarded.cutoffMs - sentMs),
        lastEventId: null,
      }),
      body: call.body,
      signal: forwarded.abortController.signal,
      reuseConnection: route.kind === "idempotent",
    }, (head) => this.#checkHead(head, { requestId, upstream }));
    const nowMs = clock.nowMs();
    const attempt = result.ok
      ? classifyResponse(result.val, dialect)
      : classifyError(result.val);
    const latencyMs = attempt.kind === "answer" ? nowMs - sentMs : null;
    this.#choice.recordEnded(upstream.id, { nowMs, latencyMs });
    this.#options.permits.handleFreeSlot(upstream.service);
    const cancelled = forwarded.abortController.signal.aborted;
    if (latencyMs === null && !cancelled) {
      this.#choice.pause(upstream.id, nowMs);
    }
    // If another upstream responded first, the time until the cancellation is a lower bound of this upstream's
    // latency.
    if (cancelled && latencyMs === null && nowMs - sentMs > route.objectiveMs) {
      this.#choice.pause(upstream.id, nowMs);
    }
    if (attempt.kind === "not_run") forwarded.possibleRuns -= 1;
    if (attempt.kind !== "answer") forwarded.lastFailure = attempt.reason;
    return attempt;
  }

  #logIfLimited(forwarded: ForwardedCall, upstream: FleetUpstream): void {
    const { requestLimit = null } = upstream;
    if (requestLimit === null) return;
    const { routed, arrivedMs, triedUpstreams } = forwarded;
    this.#options.events.emit(REQUEST_EVENTS.sentToLimited, {
      request: routed.requestId,
      upstream: upstream.id,
      perSecond: requestLimit,
      attempt: triedUpstreams.size,
      sentMs: Math.round(this.#options.clock.nowMs() - arrivedMs),
    });
  }

  /** Returns why a response is to be rejected by its head, or undefined. */
  #checkHead(
    head: ResponseHead,
    expected: {
      readonly requestId: string;
      readonly upstream: FleetUpstream;
    },
  ): string | undefined {
    const { requestId, upstream } = expected;
    const metadata = this.#options.dialect.readResponse(head);
    reportNotices(this.#options, { upstream, requestId, metadata });
    if (metadata.requestId !== requestId) {
      return `response belongs to request ${metadata.requestId}`;
    }
    return undefined;
  }

  /** Returns the response that ends the call, or undefined if another attempt may follow. */
  #finalResponse(
    forwarded: ForwardedCall,
    attempt: Attempt,
  ): HttpResponse | undefined {
    if (attempt.kind !== "answer") return undefined;
    const { response } = attempt;
    const shouldRetry = forwarded.routed.route.kind === "idempotent" &&
      response.status >= MINIMUM_SERVER_ERROR_STATUS;
    if (response.status >= MINIMUM_SERVER_ERROR_STATUS) {
      forwarded.routed.onServerError?.();
    }
    if (!shouldRetry) return toHttpResponse(response);
    forwarded.serverErrorResponse = response;
    return undefined;
  }

  #finalResult(forwarded: ForwardedCall): HttpResponse | Failure {
    if (forwarded.serverErrorResponse !== undefined) {
      return toHttpResponse(forwarded.serverErrorResponse);
    }
    const message = `no upstream responded: ${forwarded.lastFailure}`;
    if (forwarded.possibleRuns > 0) return fail("upstream_failed", message);
    const hasUpstreams = forwarded.triedUpstreams.size > 0 ||
      forwarded.retryAfterMs > 0;
    const kind = hasUpstreams ? "upstream_refused" : "no_upstream";
    const retryAfterMs = Math.max(RETRY_AFTER_MS, forwarded.retryAfterMs);
    return fail(kind, message, { retryAfterMs });
  }

  #reportFailure(forwarded: ForwardedCall, failure: Failure): void {
    const { route, requestId } = forwarded.routed;
    this.#options.events.emit(REQUEST_EVENTS.callFailed, {
      request: requestId,
      route: route.name,
      service: forwarded.service,
      tried: [...forwarded.triedUpstreams],
      failure: failure.kind,
      ran: failure.ran,
      reason: failure.message,
    });
  }
}

function toHttpResponse(response: CompleteResponse): HttpResponse {
  return {
    status: response.status,
    headers: headerRecord(endToEndHeaders(response.rawHeaders)),
    body: response.body,
  };
}
