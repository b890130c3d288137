/**
 * Forwards a caller's call to an upstream of its route's service and gives back the whole answer.
 *
 * An `idempotent` call that gets no answer in good time is sent to a second upstream as well, and one that
 * fails is sent again while attempts are left. A `once` call is sent again only if it surely did not run.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  fail,
  type Failure,
  type FleetUpstream,
  type HttpAnswer,
  type HttpCall,
  type Milliseconds,
  type RandomSource,
  type RouteRule,
} from "#core";
import { endToEndHeaders, headerRecord } from "./end_to_end_headers.ts";
import { REQUEST_EVENTS } from "./events.ts";
import { pickService } from "./route_rules.ts";
import { StreamForwarding } from "./stream_forwarding.ts";
import { UpstreamSelector } from "./upstream_selector.ts";
import type { UpstreamDialect } from "./upstream_dialect.ts";
import {
  type CompleteResponse,
  type ResponseHead,
  UpstreamHttp,
} from "./upstream_http.ts";

/** Part of the objective after which an unanswered call is sent to a second upstream. */
const HEDGE_DELAY_OBJECTIVE_RATIO = 0.45;
const RETRY_AFTER_MS: Milliseconds = 150;
const MINIMUM_SERVER_ERROR_STATUS = 500;
/** An upstream that stops at the time it was given says so; its connection can be used again then. */
const LATE_RESPONSE_GRACE_MS: Milliseconds = 60;

/** What a forwarder is built from. */
export interface ForwarderOptions {
  readonly zone: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly dialect: UpstreamDialect;
  /** Upstreams that are known, draining ones included. */
  readonly upstreams: () => readonly FleetUpstream[];
}

/** A call with what its route and caller allow. */
export interface RoutedCall {
  readonly call: HttpCall;
  readonly route: RouteRule;
  readonly requestId: string;
  /** When the caller gives up, on this VM's clock. */
  readonly deadlineMs: Milliseconds;
}

/** How one sending ended. */
type Attempt =
  | { readonly kind: "answer"; readonly answer: CompleteResponse }
  | { readonly kind: "not_run"; readonly reason: string }
  | { readonly kind: "unknown"; readonly reason: string };

/** State of one call on its way. */
interface ForwardedCall {
  readonly routed: RoutedCall;
  readonly service: string;
  readonly headers: readonly string[];
  readonly triedUpstreams: Set<string>;
  /** When the caller or the route gives the call up. */
  readonly cutoffMs: Milliseconds;
  readonly abortController: AbortController;
  /** Sendings that may have run. */
  possibleRuns: number;
  lastFailure: string;
  /** A failure that an upstream gave itself. */
  serverErrorResponse: CompleteResponse | undefined;
}

/** Forwards calls. */
export class Forwarder {
  readonly #options: ForwarderOptions;
  readonly #http = new UpstreamHttp();
  readonly #choice: UpstreamSelector;
  readonly #streams: StreamForwarding;

  constructor(options: ForwarderOptions) {
    this.#options = options;
    this.#choice = new UpstreamSelector({ zone: options.zone });
    this.#streams = new StreamForwarding({
      ...options,
      http: this.#http,
      choose: (service, tried) => this.#choose(service, tried),
      choice: this.#choice,
    });
  }

  /** The upstream's answer, or a failure that tells truly whether the call can have run. */
  async forward(routed: RoutedCall): Promise<HttpAnswer | Failure> {
    const { call, route } = routed;
    const service = pickService(route.split, this.#options.random);
    if (service === undefined) {
      return fail("no_upstream", `route ${route.name} has no service`);
    }
    const headers = endToEndHeaders(call.rawHeaders);
    if (route.kind === "stream") {
      return this.#streams.forward({ routed, service, headers });
    }
    const passage: ForwardedCall = {
      routed,
      service,
      headers,
      triedUpstreams: new Set(),
      cutoffMs: Math.min(
        routed.deadlineMs,
        this.#options.clock.nowMs() + route.timeoutMs,
      ),
      abortController: new AbortController(),
      possibleRuns: 0,
      lastFailure: "no upstream is known",
      serverErrorResponse: undefined,
    };
    const leave = (): void => passage.abortController.abort();
    call.signal.addEventListener("abort", leave, { once: true });
    const answer = await this.#sendUntilCutoff(passage);
    passage.abortController.abort();
    call.signal.removeEventListener("abort", leave);
    if ("kind" in answer) this.#reportFailure(passage, answer);
    return answer;
  }

  /** Closes kept connections. */
  close(): void {
    this.#http.close();
  }

  #sendUntilCutoff(passage: ForwardedCall): Promise<HttpAnswer | Failure> {
    const { clock } = this.#options;
    const { call } = passage.routed;
    const lateMs = passage.cutoffMs + LATE_RESPONSE_GRACE_MS - clock.nowMs();
    return new Promise((resolve) => {
      const timer = clock.after(lateMs, () => {
        resolve(this.#cutoffFailure(passage));
      });
      const gone = (): void => {
        timer.cancel();
        resolve(fail("cancelled", "the caller went away"));
      };
      call.signal.addEventListener("abort", gone, { once: true });
      this.#sendHedged(passage).then((answer) => {
        timer.cancel();
        call.signal.removeEventListener("abort", gone);
        resolve(answer);
      });
    });
  }

  #cutoffFailure(passage: ForwardedCall): Failure {
    const message = `no answer in time: ${passage.lastFailure}`;
    if (passage.possibleRuns > 0) return fail("deadline_passed", message);
    return fail("upstream_refused", message, { retryAfterMs: RETRY_AFTER_MS });
  }

  /** Sends until an answer is there; for calls that may be repeated, to two upstreams at a time. */
  #sendHedged(passage: ForwardedCall): Promise<HttpAnswer | Failure> {
    const { route } = passage.routed;
    const { clock } = this.#options;
    return new Promise((resolve) => {
      let running = 0;
      const settle = (answer: HttpAnswer | Failure): void => {
        second.cancel();
        resolve(answer);
      };
      const next = (): boolean => {
        const upstream = this.#nextUpstream(passage);
        if (upstream === undefined) return false;
        running += 1;
        this.#send(passage, upstream).then((attempt) => {
          running -= 1;
          const answer = this.#finalResponse(passage, attempt);
          if (answer !== undefined) settle(answer);
          else if (!next() && running === 0) settle(this.#finalResult(passage));
        });
        return true;
      };
      const delayMs = route.objectiveMs * HEDGE_DELAY_OBJECTIVE_RATIO;
      const second = clock.after(delayMs, () => {
        if (
          route.kind === "idempotent" && !passage.abortController.signal.aborted
        ) {
          next();
        }
      });
      if (!next()) settle(this.#finalResult(passage));
    });
  }

  #nextUpstream(passage: ForwardedCall): FleetUpstream | undefined {
    if (passage.abortController.signal.aborted) return undefined;
    if (this.#options.clock.nowMs() >= passage.cutoffMs) return undefined;
    const { route } = passage.routed;
    const most = route.kind === "once" ? 1 : Math.max(1, route.maximumAttempts);
    if (passage.possibleRuns >= most) return undefined;
    return this.#choose(passage.service, passage.triedUpstreams);
  }

  #choose(
    service: string,
    tried: ReadonlySet<string>,
  ): FleetUpstream | undefined {
    const usable: FleetUpstream[] = [];
    for (const upstream of this.#options.upstreams()) {
      if (upstream.service !== service || upstream.phase !== "ready") continue;
      usable.push(upstream);
    }
    const nowMs = this.#options.clock.nowMs();
    return this.#choice.select(usable, { tried, nowMs });
  }

  async #send(
    passage: ForwardedCall,
    upstream: FleetUpstream,
  ): Promise<Attempt> {
    const { clock, dialect } = this.#options;
    const { call, route, requestId } = passage.routed;
    passage.triedUpstreams.add(upstream.id);
    passage.possibleRuns += 1;
    this.#choice.recordSent(upstream.id);
    const sentMs = clock.nowMs();
    const result = await this.#http.call({
      address: upstream.address,
      method: call.method,
      target: call.target,
      headers: dialect.callHeaders(passage.headers, {
        requestId,
        upstream,
        remainingMs: Math.max(1, passage.cutoffMs - sentMs),
        lastEventId: null,
      }),
      body: call.body,
      signal: passage.abortController.signal,
      reuseConnection: route.kind === "idempotent",
    }, (head) => this.#headMismatch(head, requestId));
    const nowMs = clock.nowMs();
    const attempt = result.ok
      ? this.#classifyResponse(result.val)
      : classifyError(result.val);
    const latencyMs = attempt.kind === "answer" ? nowMs - sentMs : null;
    this.#choice.recordEnded(upstream.id, { nowMs, latencyMs });
    const cancelled = passage.abortController.signal.aborted;
    if (latencyMs === null && !cancelled) {
      this.#choice.pause(upstream.id, nowMs);
    }
    // A call that is taken back because another upstream answered first shows how slow this one is at least.
    if (cancelled && latencyMs === null && nowMs - sentMs > route.objectiveMs) {
      this.#choice.pause(upstream.id, nowMs);
    }
    if (attempt.kind === "not_run") passage.possibleRuns -= 1;
    if (attempt.kind !== "answer") passage.lastFailure = attempt.reason;
    return attempt;
  }

  #headMismatch(head: ResponseHead, requestId: string): string | undefined {
    const marks = this.#options.dialect.readResponse(head);
    if (marks.requestId !== requestId) {
      return `an answer to the call ${marks.requestId}`;
    }
    return undefined;
  }

  #classifyResponse(answer: CompleteResponse): Attempt {
    const marks = this.#options.dialect.readResponse(answer);
    if (marks.notRun) {
      return { kind: "not_run", reason: `refused with ${answer.status}` };
    }
    if (!marks.hasStamp && answer.status < MINIMUM_SERVER_ERROR_STATUS) {
      return { kind: "unknown", reason: "an answer without its stamp" };
    }
    return { kind: "answer", answer };
  }

  /** The answer that ends the call, or undefined if it goes on. */
  #finalResponse(
    passage: ForwardedCall,
    attempt: Attempt,
  ): HttpAnswer | undefined {
    if (attempt.kind !== "answer") return undefined;
    const { answer } = attempt;
    const again = passage.routed.route.kind === "idempotent" &&
      answer.status >= MINIMUM_SERVER_ERROR_STATUS;
    if (!again) return toHttpResponse(answer);
    passage.serverErrorResponse = answer;
    return undefined;
  }

  #finalResult(passage: ForwardedCall): HttpAnswer | Failure {
    if (passage.serverErrorResponse !== undefined) {
      return toHttpResponse(passage.serverErrorResponse);
    }
    const message = `no upstream answered: ${passage.lastFailure}`;
    if (passage.possibleRuns > 0) return fail("upstream_failed", message);
    const kind = passage.triedUpstreams.size > 0
      ? "upstream_refused"
      : "no_upstream";
    return fail(kind, message, { retryAfterMs: RETRY_AFTER_MS });
  }

  #reportFailure(passage: ForwardedCall, failure: Failure): void {
    const { route, requestId } = passage.routed;
    this.#options.events.emit(REQUEST_EVENTS.callFailed, {
      request: requestId,
      route: route.name,
      service: passage.service,
      tried: [...passage.triedUpstreams],
      failure: failure.kind,
      ran: failure.ran,
      reason: failure.message,
    });
  }
}

function classifyError(
  fault: { readonly mayHaveRun: boolean; readonly reason: string },
): Attempt {
  const { reason } = fault;
  return fault.mayHaveRun
    ? { kind: "unknown", reason }
    : { kind: "not_run", reason };
}

function toHttpResponse(answer: CompleteResponse): HttpAnswer {
  return {
    status: answer.status,
    headers: headerRecord(endToEndHeaders(answer.rawHeaders)),
    body: answer.body,
  };
}
