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
  type HttpResponse,
  type Milliseconds,
  type RandomSource,
} from "#core";
import type { CrashGuard } from "#crashes";
import type { Permits } from "#quotas";
import { NoStreamOrigins, type StreamOrigins } from "#streams";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { REQUEST_EVENTS } from "./events.ts";
import { AttemptSeries } from "./attempt_series.ts";
import { CallLimit } from "./call_limit.ts";
import {
  type Attempt,
  classifyError,
  classifyResponse,
  isFalsePromise,
  isOverload,
  isServerError,
  MINIMUM_SERVER_ERROR_STATUS,
  ranReason,
} from "./forwarded_attempt.ts";
import { pickService } from "./route_rules.ts";
import { type ReportedAttempt, RunReport } from "./run_report.ts";
import {
  contentOf,
  cutoffFailure,
  type ForwardedCall,
  type RoutedCall,
  tenantOf,
  toHttpResponse,
  withTenantPriority,
} from "./forwarded_call.ts";
import { StreamForwarding } from "./stream_forwarding.ts";
import { UpstreamChoice } from "./upstream_choice.ts";
import type { UpstreamDialect } from "./upstream_dialect.ts";
import { recordOutcome, reportSuspect } from "./suspect_calls.ts";
import { reportNotices, type UpstreamNotices } from "./upstream_notices.ts";
import { type ResponseHead, UpstreamHttp } from "./upstream_http.ts";

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
  /** Decides whether calls may run, by the upstreams that crashed under them. */
  readonly crashGuard: CrashGuard;
  /** Where streams began; absent if only calls without streams are forwarded. */
  readonly origins?: StreamOrigins;
  /** Whether upstreams get their full share of calls only in steps after their start and failures; not if absent. */
  readonly hasSlowStart?: boolean;
  /** Whether this VM follows no control VM now, so that what it knows of the upstreams is old; never if absent. */
  readonly isOutOfDate?: () => boolean;
  /** Memory of the responses that the process reads and writes; absent if only the forwarder reads any. */
  readonly responseBudget?: ByteBudget;
}

/** Forwards calls to upstreams. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #http: UpstreamHttp;
  readonly #choice: UpstreamChoice;
  readonly #streams: StreamForwarding;

  constructor(options: ForwarderOptions) {
    this.#options = options;
    this.#http = new UpstreamHttp(options);
    this.#choice = new UpstreamChoice({
      ...options,
      ...(options.hasSlowStart === true ? { slowStart: options } : {}),
    });
    this.#streams = new StreamForwarding({
      ...options,
      http: this.#http,
      choice: this.#choice,
      origins: options.origins ?? new NoStreamOrigins(),
    });
  }

  /** Returns the upstream's response, or a failure that states whether the call may have run. */
  async forward(call: RoutedCall): Promise<HttpResponse | Failure> {
    const routed = withTenantPriority(call);
    const limit = new CallLimit(routed, this.#options.clock);
    const response = routed.route.kind === "stream"
      ? this.#streams.forward(routed, limit)
      : this.#forwardCall(routed, limit);
    return await limit.guard(response);
  }

  async #forwardCall(
    routed: RoutedCall,
    limit: CallLimit,
  ): Promise<HttpResponse | Failure> {
    const { call, route } = routed;
    const service = pickService(route.split, this.#options.random);
    if (service === undefined) {
      return fail("no_upstream", `route ${route.name} has no service`);
    }
    const forwarded: ForwardedCall = {
      routed,
      service,
      headers: endToEndHeaders(call.rawHeaders),
      triedUpstreams: new Set(),
      arrivedMs: this.#options.clock.nowMs(),
      cutoffMs: limit.cutoffMs,
      abortController: new AbortController(),
      possibleRuns: 0,
      runs: new RunReport({ ...routed, clock: this.#options.clock }),
      lastFailure: "no upstream is known",
      retryAfterMs: 0,
      serverErrorResponse: undefined,
      watch: this.#options.crashGuard.watch(
        contentOf(routed, this.#options.dialect),
      ),
    };
    const response = await this.#sendUntilCutoff(forwarded, limit);
    forwarded.abortController.abort();
    if ("kind" in response) this.#reportFailure(forwarded, response);
    return response;
  }

  /** Closes idle connections. */
  close(): void {
    this.#http.close();
    this.#streams.close();
  }

  /** Makes attempts until the time is up or the caller leaves; what comes first decides. */
  #sendUntilCutoff(
    forwarded: ForwardedCall,
    limit: CallLimit,
  ): Promise<HttpResponse | Failure> {
    const { clock } = this.#options;
    const attempts = AttemptSeries.run(forwarded, {
      clock,
      choice: this.#choice,
      send: (upstream) => this.#send(forwarded, upstream),
      finalResponse: (attempt) => this.#finalResponse(forwarded, attempt),
    });
    return limit.race(
      attempts,
      (reason) =>
        reason === "left"
          ? fail("cancelled", "the caller disconnected")
          : cutoffFailure(forwarded),
    );
  }

  async #send(
    forwarded: ForwardedCall,
    upstream: FleetUpstream,
  ): Promise<Attempt> {
    const { clock, dialect } = this.#options;
    const { call, route, requestId } = forwarded.routed;
    forwarded.triedUpstreams.add(upstream.id);
    forwarded.possibleRuns += 1;
    this.#choice.selector.recordSent(upstream.id);
    const sentMs = clock.nowMs();
    const run = forwarded.runs.begin(sentMs);
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
        ...tenantOf(forwarded.routed),
      }),
      body: call.body,
      signal: forwarded.abortController.signal,
      reuseConnection: route.kind === "idempotent",
    }, (head) => this.#checkHead(head, { requestId, upstream, run }));
    const endedMs = clock.nowMs();
    const attempt = result.ok
      ? classifyResponse(result.val, dialect)
      : classifyError(result.val);
    this.#reportLoad(forwarded, attempt, endedMs - sentMs);
    const cancelled = forwarded.abortController.signal.aborted;
    this.#observe(upstream, attempt, {
      sentMs,
      endedMs,
      objectiveMs: route.objectiveMs,
      cancelled,
      isFoul: result.err && result.val.isFoul === true,
    });
    if (attempt.kind === "not_run") {
      forwarded.possibleRuns -= 1;
      run.recordNotRun();
    } else run.recordRan();
    if (attempt.kind !== "answer") forwarded.lastFailure = attempt.reason;
    if (attempt.kind === "unknown" && !cancelled) {
      const { reason } = attempt;
      this.#logBroken(forwarded, { upstream, runMs: endedMs - sentMs, reason });
    }
    const sent = { upstream, sentMs, cancelled };
    await recordOutcome(forwarded.watch, attempt, sent);
    return attempt;
  }

  /** Updates the statistics of an upstream, by which later calls select it. */
  #observe(upstream: FleetUpstream, attempt: Attempt, end: {
    readonly sentMs: Milliseconds;
    readonly endedMs: Milliseconds;
    readonly objectiveMs: Milliseconds;
    readonly cancelled: boolean;
    /** Whether the upstream sent bytes that are no response. */
    readonly isFoul: boolean;
  }): void {
    const { sentMs, endedMs: nowMs, objectiveMs, cancelled, isFoul } = end;
    const latencyMs = attempt.kind === "answer" ? nowMs - sentMs : null;
    if (isFoul) {
      this.#choice.selector.recordFoul(upstream.id, nowMs);
    }
    this.#choice.recordEnded(upstream, {
      nowMs,
      latencyMs,
      isError: isServerError(attempt),
      ...(cancelled ? { cancelledAfterMs: nowMs - sentMs } : {}),
    });
    if (latencyMs === null && !cancelled) {
      this.#choice.selector.pause(upstream.id, nowMs);
    }
    // If another upstream responded first, the time until the cancellation is a lower bound of this upstream's
    // latency.
    if (cancelled && latencyMs === null && nowMs - sentMs > objectiveMs) {
      this.#choice.selector.pause(upstream.id, nowMs);
    }
  }

  #reportLoad(
    { routed: { route, onAttempt }, service }: ForwardedCall,
    attempt: Attempt,
    elapsedMs: Milliseconds,
  ): void {
    const { objectiveMs } = route;
    const isLoad = isOverload(attempt, { elapsedMs, objectiveMs });
    if (isLoad !== undefined) onAttempt?.({ service, isOverload: isLoad });
  }

  #logBroken(forwarded: ForwardedCall, attempt: {
    readonly upstream: FleetUpstream;
    readonly runMs: Milliseconds;
    readonly reason: string;
  }): void {
    const { routed, triedUpstreams } = forwarded;
    this.#options.events.emit(REQUEST_EVENTS.attemptBroken, {
      request: routed.requestId,
      digest: forwarded.watch.digest,
      upstream: attempt.upstream.id,
      attempt: triedUpstreams.size,
      runMs: Math.round(attempt.runMs),
      reason: attempt.reason,
    });
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
      readonly run: ReportedAttempt;
    },
  ): string | undefined {
    const { requestId, upstream, run } = expected;
    const metadata = this.#options.dialect.readResponse(head);
    if (!metadata.notRun) run.recordRan();
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
      forwarded.routed.onServerError?.(response.status);
    }
    if (isFalsePromise(response.status, forwarded.routed.route.kind)) {
      forwarded.lastFailure = ranReason(response.status);
      return undefined;
    }
    if (!shouldRetry) return toHttpResponse(response);
    forwarded.serverErrorResponse = response;
    return undefined;
  }

  #reportFailure(forwarded: ForwardedCall, failure: Failure): void {
    const { route, requestId } = forwarded.routed;
    reportSuspect(forwarded.watch, { requestId, failure }, this.#options);
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
