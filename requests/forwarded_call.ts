/**
 * The state of a forwarded call over its attempts, and the response or failure that follows from it.
 *
 * @module
 */
import {
  type CallerIdentity,
  fail,
  type Failure,
  type HttpRequest,
  type HttpResponse,
  type Milliseconds,
  type RouteRule,
} from "#core";
import type { CallContent, CallWatch } from "#crashes";
import { endToEndHeaders, headerRecord } from "./end_to_end_headers.ts";
import type { RunReport } from "./run_report.ts";
import type { UpstreamDemand } from "./upstream_choice.ts";
import type { UpstreamDialect } from "./upstream_dialect.ts";
import type { CompleteResponse } from "./upstream_http.ts";

const RETRY_AFTER_MS: Milliseconds = 150;

/** What an attempt shows of the load of a service. */
export interface AttemptLoad {
  readonly service: string;
  /** Whether the upstream rejected it as not run, or it took longer than the objective. */
  readonly isOverload: boolean;
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
  readonly onServerError?: (status: number) => void;
  /** Who sends the call; null if it has no API key, absent if calls need none. */
  readonly caller?: CallerIdentity | null;
  /** Whether the caller's key still permits the call, checked before each attempt; always if absent. */
  readonly mayRun?: () => boolean;
  /** Called once when an upstream has run the call, or may have; with the time on this VM's clock at which it was sent. */
  readonly onRan?: (sentMs: Milliseconds) => void;
  /** Called when an upstream has responded to an attempt, or an attempt has taken longer than the objective of the route. */
  readonly onAttempt?: (attempt: AttemptLoad) => void;
  /** Time in flight after which `onRan` is called without an outcome; only once there is one if absent. */
  readonly assumedRunMs?: Milliseconds;
}

/** State of one call over its attempts. */
export interface ForwardedCall {
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
  /** Reports that it has begun to run. */
  readonly runs: RunReport;
  lastFailure: string;
  /** When a permit for one of its upstreams is likely to be available; 0 if it waits for none. */
  retryAfterMs: Milliseconds;
  /** The last response with a server error from an upstream. */
  serverErrorResponse: CompleteResponse | undefined;
  /** What is known of upstreams that crashed under the call. */
  readonly watch: CallWatch;
}

/** Returns the call with the priority of its tenant, which takes precedence over that of its route. */
export function withTenantPriority(routed: RoutedCall): RoutedCall {
  const priority = routed.caller?.priority ?? null;
  if (priority === null) return routed;
  return { ...routed, route: { ...routed.route, priority } };
}

/** Returns the tenant of a call as its headers state it. */
export function tenantOf(
  { caller }: RoutedCall,
): { readonly tenant?: string | null } {
  return caller === undefined ? {} : { tenant: caller?.tenant ?? null };
}

/** Returns the failure of a call that ran nowhere and may run no more, as it is not known whether its key is valid. */
export function notPermittedFailure(): Failure {
  return fail(
    "configuration_unconfirmed",
    "the key of the call no longer permits an attempt",
    { retryAfterMs: RETRY_AFTER_MS },
  );
}

/** Returns what a call has in common with repetitions of it. */
export function contentOf(
  { call, route }: RoutedCall,
  dialect: UpstreamDialect,
): CallContent {
  return {
    method: call.method,
    host: route.host,
    target: call.target,
    caller: dialect.callerOf(call.rawHeaders),
    body: call.body,
  };
}

/** Returns what a call needs of an upstream. */
export function upstreamDemand(forwarded: ForwardedCall): UpstreamDemand {
  const { routed, service, triedUpstreams } = forwarded;
  const { route, slotShare, permitPatienceMs } = routed;
  return { service, route, tried: triedUpstreams, slotShare, permitPatienceMs };
}

/** Returns whether the call may be sent to a further upstream. */
export function mayAttempt(
  forwarded: ForwardedCall,
  nowMs: Milliseconds,
): boolean {
  if (forwarded.abortController.signal.aborted) return false;
  if (nowMs >= forwarded.cutoffMs) return false;
  const { route, mayRun } = forwarded.routed;
  if (mayRun?.() === false) return false;
  const maximumAttempts = route.kind === "once"
    ? 1
    : Math.max(1, route.maximumAttempts);
  return forwarded.possibleRuns < maximumAttempts;
}

/** Returns the failure of a call that has no response when its time is up. */
export function cutoffFailure(forwarded: ForwardedCall): Failure {
  const message = `no response in time: ${forwarded.lastFailure}`;
  if (forwarded.possibleRuns > 0) return fail("deadline_passed", message);
  return fail("upstream_refused", message, { retryAfterMs: RETRY_AFTER_MS });
}

/** Returns the response of a call for which no further upstream is available. */
export function finalResult(forwarded: ForwardedCall): HttpResponse | Failure {
  if (forwarded.serverErrorResponse !== undefined) {
    return toHttpResponse(forwarded.serverErrorResponse);
  }
  const message = `no upstream responded: ${forwarded.lastFailure}`;
  if (forwarded.possibleRuns > 0) return fail("upstream_failed", message);
  if (forwarded.routed.mayRun?.() === false) return notPermittedFailure();
  if (forwarded.watch.standing === "blocked") return blockedFailure();
  const hasUpstreams = forwarded.triedUpstreams.size > 0 ||
    forwarded.retryAfterMs > 0;
  const kind = hasUpstreams ? "upstream_refused" : "no_upstream";
  const retryAfterMs = Math.max(RETRY_AFTER_MS, forwarded.retryAfterMs);
  return fail(kind, message, { retryAfterMs });
}

/** Returns the failure of a call that is not sent to any upstream, since too many crashed under it. */
export function blockedFailure(): Failure {
  return fail("call_blocked", "upstreams crashed under calls like this one");
}

/** Returns the response to the caller. */
export function toHttpResponse(response: CompleteResponse): HttpResponse {
  return {
    status: response.status,
    headers: headerRecord(endToEndHeaders(response.rawHeaders)),
    body: response.body,
  };
}
