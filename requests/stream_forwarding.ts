/**
 * Forwards streams of events: each complete event is relayed when it arrives. Where the route allows it, a
 * broken stream is resumed on another upstream after the last event that was relayed.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  fail,
  type Failure,
  type FleetUpstream,
  type HttpResponse,
  type Milliseconds,
} from "#core";
import { endToEndHeaders, headerRecord } from "./end_to_end_headers.ts";
import { EventParser } from "./event_parser.ts";
import { REQUEST_EVENTS } from "./events.ts";
import type { RoutedCall } from "./forwarded_call.ts";
import type { UpstreamChoice, UpstreamDemand } from "./upstream_choice.ts";
import type { UpstreamDialect } from "./upstream_dialect.ts";
import type { StreamingResponse, UpstreamHttp } from "./upstream_http.ts";
import { reportNotices, type UpstreamNotices } from "./upstream_notices.ts";

const RETRY_AFTER_MS: Milliseconds = 150;
const OK_STATUS = 200;

/** Options of `StreamForwarding`. */
export interface StreamForwardingOptions extends UpstreamNotices {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dialect: UpstreamDialect;
  readonly http: UpstreamHttp;
  readonly choice: UpstreamChoice;
}

/** A call for a stream, with the service that it is sent to. */
export interface StreamCall {
  readonly routed: RoutedCall;
  readonly service: string;
  readonly headers: readonly string[];
}

interface OpenStream {
  readonly upstream: FleetUpstream;
  readonly response: StreamingResponse;
}

interface StreamProgress {
  readonly triedUpstreams: Set<string>;
  /** Number of upstreams that may have run the call. */
  possibleRuns: number;
  lastEventId: number | null;
  lastFailure: string;
  /** When a permit is likely to be available; 0 if the stream waits for none. */
  retryAfterMs: Milliseconds;
}

/** Forwards streams of events to callers. */
export class StreamForwarding {
  readonly #options: StreamForwardingOptions;

  constructor(options: StreamForwardingOptions) {
    this.#options = options;
  }

  /** Returns the stream, or a failure if no upstream started it. */
  async forward(stream: StreamCall): Promise<HttpResponse | Failure> {
    const progress: StreamProgress = {
      triedUpstreams: new Set(),
      possibleRuns: 0,
      lastEventId: null,
      lastFailure: "no upstream is known",
      retryAfterMs: 0,
    };
    const source = await this.#openNext(stream, progress);
    if (source === undefined) return this.#finalFailure(stream, progress);
    const { head } = source.response;
    return {
      status: head.status,
      headers: headerRecord(endToEndHeaders(head.rawHeaders)),
      body: head.status === OK_STATUS
        ? this.#relay(stream, progress, source)
        : source.response.bodyChunks,
    };
  }

  #finalFailure(stream: StreamCall, progress: StreamProgress): Failure {
    const message = `no upstream started the stream: ${progress.lastFailure}`;
    const failure = progress.possibleRuns > 0
      ? fail("upstream_failed", message)
      : fail("upstream_refused", message, {
        retryAfterMs: Math.max(RETRY_AFTER_MS, progress.retryAfterMs),
      });
    this.#options.events.emit(REQUEST_EVENTS.callFailed, {
      request: stream.routed.requestId,
      route: stream.routed.route.name,
      tried: [...progress.triedUpstreams],
      failure: failure.kind,
      ran: failure.ran,
      reason: message,
    });
    return failure;
  }

  /** Opens the stream on the next upstream that accepts it. */
  async #openNext(
    stream: StreamCall,
    progress: StreamProgress,
  ): Promise<OpenStream | undefined> {
    const { route, call } = stream.routed;
    const maximumAttempts = route.resumable
      ? Math.max(1, route.maximumAttempts)
      : 1;
    while (progress.possibleRuns < maximumAttempts && !call.signal.aborted) {
      const upstream = await this.#nextUpstream(stream, progress);
      if (upstream === undefined) return undefined;
      progress.triedUpstreams.add(upstream.id);
      const response = await this.#open(stream, progress, upstream);
      if (response !== undefined) return { upstream, response };
    }
    return undefined;
  }

  async #nextUpstream(
    stream: StreamCall,
    progress: StreamProgress,
  ): Promise<FleetUpstream | undefined> {
    const { service, routed: { route, call, deadlineMs } } = stream;
    const { choice } = this.#options;
    const { triedUpstreams: tried } = progress;
    const demand: UpstreamDemand = { service, route, tried };
    const upstream = choice.choose(demand);
    if (upstream !== undefined) return upstream;
    const limits = { cutoffMs: deadlineMs, signal: call.signal };
    const outcome = await choice.acquire(demand, limits);
    if (outcome.kind === "granted") return outcome.upstream;
    progress.retryAfterMs = outcome.retryAfterMs;
    return undefined;
  }

  async #open(
    stream: StreamCall,
    progress: StreamProgress,
    upstream: FleetUpstream,
  ): Promise<StreamingResponse | undefined> {
    const { dialect, clock, http, choice } = this.#options;
    const { call, requestId, deadlineMs } = stream.routed;
    const result = await http.open({
      address: upstream.address,
      method: call.method,
      target: call.target,
      headers: dialect.callHeaders(stream.headers, {
        requestId,
        upstream,
        remainingMs: Math.max(1, deadlineMs - clock.nowMs()),
        lastEventId: progress.lastEventId,
      }),
      body: call.body,
      signal: call.signal,
      reuseConnection: false,
    });
    if (result.err) {
      progress.lastFailure = result.val.reason;
      if (result.val.mayHaveRun) progress.possibleRuns += 1;
      choice.selector.pause(upstream.id, clock.nowMs());
      return undefined;
    }
    const metadata = dialect.readResponse(result.val.head);
    reportNotices(this.#options, { upstream, requestId, metadata });
    if (metadata.requestId === requestId && !metadata.notRun) {
      progress.possibleRuns += 1;
      return result.val;
    }
    result.val.closeConnection();
    if (!metadata.notRun) progress.possibleRuns += 1;
    progress.lastFailure = metadata.notRun
      ? `rejected with status ${result.val.head.status}`
      : "response belongs to another request";
    choice.selector.pause(upstream.id, clock.nowMs());
    return undefined;
  }

  /** Throws if the stream can't be completed, so that the caller can't mistake it for a complete one. */
  async *#relay(
    stream: StreamCall,
    progress: StreamProgress,
    first: OpenStream,
  ): AsyncGenerator<string> {
    let source: OpenStream | undefined = first;
    while (source !== undefined) {
      const isComplete = yield* this.#relayFrom(progress, source);
      if (isComplete) return;
      if (!stream.routed.route.resumable) break;
      source = await this.#openNext(stream, progress);
    }
    throw new Error(
      `the stream ended prematurely: ${progress.lastFailure}`,
    );
  }

  async *#relayFrom(
    progress: StreamProgress,
    source: OpenStream,
  ): AsyncGenerator<string, boolean> {
    const parser = new EventParser();
    try {
      for await (const chunk of source.response.bodyChunks) {
        for (const event of parser.push(chunk)) {
          if (!isNextEvent(event.id, progress.lastEventId)) {
            throw new Error(`event ${event.id} is out of order`);
          }
          progress.lastEventId = event.id;
          yield event.raw;
        }
      }
      if (parser.hasPartialEvent) {
        throw new Error("the stream ended within an event");
      }
      return true;
    } catch (error) {
      progress.lastFailure = error instanceof Error
        ? error.message
        : String(error);
      source.response.closeConnection();
      return false;
    }
  }
}

function isNextEvent(id: number, last: number | null): boolean {
  return last === null || id === last + 1;
}
