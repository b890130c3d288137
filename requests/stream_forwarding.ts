/**
 * Forwards streams of events: each event is passed on whole as it comes. Where the route allows, a stream
 * that breaks goes on at another upstream after the last event that was passed on.
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
  type Milliseconds,
} from "#core";
import { endToEndHeaders, headerRecord } from "./end_to_end_headers.ts";
import { EventParser } from "./event_parser.ts";
import { REQUEST_EVENTS } from "./events.ts";
import type { RoutedCall } from "./forwarder.ts";
import type { UpstreamSelector } from "./upstream_selector.ts";
import type { UpstreamDialect } from "./upstream_dialect.ts";
import type { StreamingResponse, UpstreamHttp } from "./upstream_http.ts";

const RETRY_AFTER_MS: Milliseconds = 150;
const OK_STATUS = 200;

/** What streams are forwarded with. */
export interface StreamForwardingOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dialect: UpstreamDialect;
  readonly http: UpstreamHttp;
  readonly choice: UpstreamSelector;
  readonly choose: (
    service: string,
    tried: ReadonlySet<string>,
  ) => FleetUpstream | undefined;
}

/** A stream with its service. */
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
  /** Upstreams that may have run the call. */
  possibleRuns: number;
  lastEventId: number | null;
  lastFailure: string;
}

/** Forwards streams. */
export class StreamForwarding {
  readonly #options: StreamForwardingOptions;

  constructor(options: StreamForwardingOptions) {
    this.#options = options;
  }

  /** The stream, or a failure if no upstream began it. */
  async forward(stream: StreamCall): Promise<HttpAnswer | Failure> {
    const progress: StreamProgress = {
      triedUpstreams: new Set(),
      possibleRuns: 0,
      lastEventId: null,
      lastFailure: "no upstream is known",
    };
    const run = await this.#openNext(stream, progress);
    if (run === undefined) return this.#finalFailure(stream, progress);
    const { head } = run.response;
    return {
      status: head.status,
      headers: headerRecord(endToEndHeaders(head.rawHeaders)),
      body: head.status === OK_STATUS
        ? this.#relay(stream, progress, run)
        : run.response.bodyChunks,
    };
  }

  #finalFailure(stream: StreamCall, progress: StreamProgress): Failure {
    const message = `no upstream began the stream: ${progress.lastFailure}`;
    const failure = progress.possibleRuns > 0
      ? fail("upstream_failed", message)
      : fail("upstream_refused", message, { retryAfterMs: RETRY_AFTER_MS });
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

  /** Opens the stream at the next upstream that takes it. */
  async #openNext(
    stream: StreamCall,
    progress: StreamProgress,
  ): Promise<OpenStream | undefined> {
    const { route, call } = stream.routed;
    const most = route.resumable ? Math.max(1, route.maximumAttempts) : 1;
    while (progress.possibleRuns < most && !call.signal.aborted) {
      const upstream = this.#options.choose(
        stream.service,
        progress.triedUpstreams,
      );
      if (upstream === undefined) return undefined;
      progress.triedUpstreams.add(upstream.id);
      const answer = await this.#open(stream, progress, upstream);
      if (answer !== undefined) return { upstream, response: answer };
    }
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
      choice.pause(upstream.id, clock.nowMs());
      return undefined;
    }
    const marks = dialect.readResponse(result.val.head);
    if (marks.requestId === requestId && !marks.notRun) {
      progress.possibleRuns += 1;
      return result.val;
    }
    result.val.closeConnection();
    if (!marks.notRun) progress.possibleRuns += 1;
    progress.lastFailure = marks.notRun
      ? `refused with ${result.val.head.status}`
      : "an answer to another call";
    choice.pause(upstream.id, clock.nowMs());
    return undefined;
  }

  /** Throws if the stream can't be brought to its end, so that it can't pass for whole. */
  async *#relay(
    stream: StreamCall,
    progress: StreamProgress,
    first: OpenStream,
  ): AsyncGenerator<string> {
    let run: OpenStream | undefined = first;
    while (run !== undefined) {
      const ended = yield* this.#relayFrom(progress, run);
      if (ended) return;
      if (!stream.routed.route.resumable) break;
      run = await this.#openNext(stream, progress);
    }
    throw new Error(`the stream broke off: ${progress.lastFailure}`);
  }

  async *#relayFrom(
    progress: StreamProgress,
    run: OpenStream,
  ): AsyncGenerator<string, boolean> {
    const parser = new EventParser();
    try {
      for await (const piece of run.response.bodyChunks) {
        for (const event of parser.push(piece)) {
          if (!isNextEvent(event.id, progress.lastEventId)) {
            throw new Error(`event ${event.id} is out of order`);
          }
          progress.lastEventId = event.id;
          yield event.raw;
        }
      }
      if (parser.hasPartialEvent) throw new Error("it ended within an event");
      return true;
    } catch (error) {
      progress.lastFailure = error instanceof Error
        ? error.message
        : String(error);
      run.response.closeConnection();
      return false;
    }
  }
}

function isNextEvent(id: number, last: number | null): boolean {
  return last === null || id === last + 1;
}
