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

interface Run {
  readonly upstream: FleetUpstream;
  readonly answer: StreamingResponse;
}

interface Progress {
  readonly tried: Set<string>;
  /** Upstreams that may have run the call. */
  ran: number;
  lastEvent: number | null;
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
    const progress: Progress = {
      tried: new Set(),
      ran: 0,
      lastEvent: null,
      lastFailure: "no upstream is known",
    };
    const run = await this.#begin(stream, progress);
    if (run === undefined) return this.#giveUp(stream, progress);
    const { head } = run.answer;
    return {
      status: head.status,
      headers: headerRecord(endToEndHeaders(head.rawHeaders)),
      body: head.status === OK_STATUS
        ? this.#pass(stream, progress, run)
        : run.answer.bodyChunks,
    };
  }

  #giveUp(stream: StreamCall, progress: Progress): Failure {
    const message = `no upstream began the stream: ${progress.lastFailure}`;
    const failure = progress.ran > 0
      ? fail("upstream_failed", message)
      : fail("upstream_refused", message, { retryAfterMs: RETRY_AFTER_MS });
    this.#options.events.emit(REQUEST_EVENTS.callFailed, {
      request: stream.routed.requestId,
      route: stream.routed.route.name,
      tried: [...progress.tried],
      failure: failure.kind,
      ran: failure.ran,
      reason: message,
    });
    return failure;
  }

  /** Opens the stream at the next upstream that takes it. */
  async #begin(
    stream: StreamCall,
    progress: Progress,
  ): Promise<Run | undefined> {
    const { route, call } = stream.routed;
    const most = route.resumable ? Math.max(1, route.maximumAttempts) : 1;
    while (progress.ran < most && !call.signal.aborted) {
      const upstream = this.#options.choose(stream.service, progress.tried);
      if (upstream === undefined) return undefined;
      progress.tried.add(upstream.id);
      const answer = await this.#open(stream, progress, upstream);
      if (answer !== undefined) return { upstream, answer };
    }
    return undefined;
  }

  async #open(
    stream: StreamCall,
    progress: Progress,
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
        lastEventId: progress.lastEvent,
      }),
      body: call.body,
      signal: call.signal,
      reuseConnection: false,
    });
    if (result.err) {
      progress.lastFailure = result.val.reason;
      if (result.val.mayHaveRun) progress.ran += 1;
      choice.pause(upstream.id, clock.nowMs());
      return undefined;
    }
    const marks = dialect.readResponse(result.val.head);
    if (marks.requestId === requestId && !marks.notRun) {
      progress.ran += 1;
      return result.val;
    }
    result.val.closeConnection();
    if (!marks.notRun) progress.ran += 1;
    progress.lastFailure = marks.notRun
      ? `refused with ${result.val.head.status}`
      : "an answer to another call";
    choice.pause(upstream.id, clock.nowMs());
    return undefined;
  }

  /** Throws if the stream can't be brought to its end, so that it can't pass for whole. */
  async *#pass(
    stream: StreamCall,
    progress: Progress,
    first: Run,
  ): AsyncGenerator<string> {
    let run: Run | undefined = first;
    while (run !== undefined) {
      const ended = yield* this.#passRun(progress, run);
      if (ended) return;
      if (!stream.routed.route.resumable) break;
      run = await this.#begin(stream, progress);
    }
    throw new Error(`the stream broke off: ${progress.lastFailure}`);
  }

  async *#passRun(
    progress: Progress,
    run: Run,
  ): AsyncGenerator<string, boolean> {
    const parser = new EventParser();
    try {
      for await (const piece of run.answer.bodyChunks) {
        for (const event of parser.push(piece)) {
          if (!follows(event.id, progress.lastEvent)) {
            throw new Error(`event ${event.id} is out of order`);
          }
          progress.lastEvent = event.id;
          yield event.raw;
        }
      }
      if (parser.hasPartialEvent) throw new Error("it ended within an event");
      return true;
    } catch (error) {
      progress.lastFailure = error instanceof Error
        ? error.message
        : String(error);
      run.answer.closeConnection();
      return false;
    }
  }
}

function follows(id: number, last: number | null): boolean {
  return last === null || id === last + 1;
}
