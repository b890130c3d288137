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
  type RandomSource,
} from "#core";
import type { CallWatch, CrashGuard } from "#crashes";
import type { StreamOrigins } from "#streams";
import { endToEndHeaders, headerRecord } from "./end_to_end_headers.ts";
import { EventParser } from "./event_parser.ts";
import { REQUEST_EVENTS } from "./events.ts";
import {
  blockedFailure,
  contentOf,
  type RoutedCall,
} from "./forwarded_call.ts";
import { startOf, type StreamStart } from "./stream_take_up.ts";
import { isolateAttempt, reportSuspect } from "./suspect_calls.ts";
import type { UpstreamChoice, UpstreamDemand } from "./upstream_choice.ts";
import type { ResponseMetadata, UpstreamDialect } from "./upstream_dialect.ts";
import type { StreamingResponse, UpstreamHttp } from "./upstream_http.ts";
import { reportNotices, type UpstreamNotices } from "./upstream_notices.ts";

const RETRY_AFTER_MS: Milliseconds = 150;
const OK_STATUS = 200;
/** How long after its deadline the origin of a stream is kept; the last take-up may be on its way until then. */
const ORIGIN_RETENTION_MARGIN_MS: Milliseconds = 2_000;

/** Options of `StreamForwarding`. */
export interface StreamForwardingOptions extends UpstreamNotices {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly dialect: UpstreamDialect;
  readonly http: UpstreamHttp;
  readonly choice: UpstreamChoice;
  readonly crashGuard: CrashGuard;
  readonly origins: StreamOrigins;
}

/** A call for a stream, with where it begins or goes on. */
interface StreamCall {
  readonly routed: RoutedCall;
  readonly start: StreamStart;
  readonly headers: readonly string[];
}

interface OpenStream {
  readonly upstream: FleetUpstream;
  readonly sentMs: Milliseconds;
  /** Ends its right to run apart from other suspects, if it has one. */
  readonly release: () => void;
  readonly response: StreamingResponse;
}

interface StreamProgress {
  readonly triedUpstreams: Set<string>;
  /** Number of upstreams that may have run the call. */
  possibleRuns: number;
  /** Whether the caller gets a stream, so that only the rest of one may follow. */
  hasBegun: boolean;
  lastEventId: number | null;
  /**
   * Version of the software that wrote the events which the caller has: null if it is unknown, so that nothing may
   * follow; undefined before the first event.
   */
  softwareVersion: string | null | undefined;
  lastFailure: string;
  /** When a permit is likely to be available; 0 if the stream waits for none. */
  retryAfterMs: Milliseconds;
  /** What is known of upstreams that crashed under the call. */
  readonly watch: CallWatch;
}

/** An upstream that the stream may be sent to. */
interface NextUpstream {
  readonly upstream: FleetUpstream;
  readonly release: () => void;
}

/** Forwards streams of events to callers. */
export class StreamForwarding {
  readonly #options: StreamForwardingOptions;

  constructor(options: StreamForwardingOptions) {
    this.#options = options;
  }

  /** Returns the stream, or a failure if no upstream started it or it must not go on. */
  async forward(
    routed: RoutedCall,
    headers: readonly string[],
  ): Promise<HttpResponse | Failure> {
    const resumption = this.#options.dialect.readResumption(
      routed.call.headers,
    );
    if (resumption.err) return resumption.val;
    const start = await startOf(routed, resumption.val, this.#options);
    if ("kind" in start) return start;
    return await this.#begin({ routed, start, headers });
  }

  async #begin(stream: StreamCall): Promise<HttpResponse | Failure> {
    const { softwareVersion, lastEventId } = stream.start;
    const progress: StreamProgress = {
      triedUpstreams: new Set(),
      possibleRuns: 0,
      hasBegun: false,
      lastEventId,
      softwareVersion: softwareVersion ?? undefined,
      lastFailure: "no upstream is known",
      retryAfterMs: 0,
      watch: this.#options.crashGuard.watch(
        contentOf(stream.routed, this.#options.dialect),
      ),
    };
    const source = await this.#openNext(stream, progress);
    if (source === undefined) return this.#finalFailure(stream, progress);
    const { head, bodyChunks } = source.response;
    const isStream = head.status === OK_STATUS;
    if (isStream) progress.hasBegun = true;
    else source.release();
    return {
      status: head.status,
      headers: headerRecord(endToEndHeaders(head.rawHeaders)),
      body: isStream ? this.#relay(stream, progress, source) : bodyChunks,
    };
  }

  #finalFailure(stream: StreamCall, progress: StreamProgress): Failure {
    const failure = this.#failureOf(stream, progress);
    const { requestId } = stream.routed;
    reportSuspect(progress.watch, { requestId, failure }, this.#options);
    this.#options.events.emit(REQUEST_EVENTS.callFailed, {
      request: stream.routed.requestId,
      route: stream.routed.route.name,
      tried: [...progress.triedUpstreams],
      failure: failure.kind,
      ran: failure.ran,
      reason: failure.message,
    });
    return failure;
  }

  #failureOf(stream: StreamCall, progress: StreamProgress): Failure {
    const message = `no upstream started the stream: ${progress.lastFailure}`;
    if (progress.possibleRuns > 0) return fail("upstream_failed", message);
    if (progress.watch.standing === "blocked") return blockedFailure();
    const demand = demandOf(stream, progress);
    const isBound = demand.softwareVersion !== undefined;
    if (isBound && !this.#options.choice.mayBeServed(demand)) {
      // Nobody knows whether an upstream of that version will start again.
      return fail("no_upstream", message);
    }
    const retryAfterMs = Math.max(RETRY_AFTER_MS, progress.retryAfterMs);
    return fail("upstream_refused", message, { retryAfterMs });
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
      const next = await this.#nextUpstream(stream, progress);
      if (next === undefined) return undefined;
      const { upstream, release } = next;
      progress.triedUpstreams.add(upstream.id);
      const sentMs = this.#options.clock.nowMs();
      const response = await this.#open(stream, progress, upstream);
      if (response !== undefined) {
        return { upstream, response, sentMs, release };
      }
      release();
    }
    return undefined;
  }

  async #nextUpstream(
    stream: StreamCall,
    progress: StreamProgress,
  ): Promise<NextUpstream | undefined> {
    const { call, deadlineMs } = stream.routed;
    const { choice } = this.#options;
    const { watch } = progress;
    if (progress.softwareVersion === null) return undefined;
    const demand = demandOf(stream, progress);
    const limits = { cutoffMs: deadlineMs, signal: call.signal };
    if (watch.standing === "blocked") return undefined;
    if (watch.standing === "suspect") {
      const suspect = { watch, demand, ...limits };
      const isolated = await isolateAttempt(suspect, this.#options);
      if (isolated.kind === "granted") return isolated;
      progress.lastFailure = isolated.reason;
      return undefined;
    }
    const release = (): void => {};
    const upstream = choice.choose(demand);
    if (upstream !== undefined) return { upstream, release };
    const outcome = await choice.acquire(demand, limits);
    if (outcome.kind === "granted") {
      return { upstream: outcome.upstream, release };
    }
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
      choice.selector.pause(upstream.id, clock.nowMs());
      if (result.val.mayHaveRun) {
        progress.possibleRuns += 1;
        const cancelled = call.signal.aborted;
        await progress.watch.recordBroken({ upstream, cancelled });
      }
      return undefined;
    }
    const metadata = dialect.readResponse(result.val.head);
    reportNotices(this.#options, { upstream, requestId, metadata });
    if (!metadata.notRun) progress.possibleRuns += 1;
    const { status } = result.val.head;
    const reason = rejectionOf({ status, metadata }, {
      requestId,
      isRest: progress.hasBegun,
    });
    if (reason === undefined) return result.val;
    result.val.closeConnection();
    progress.lastFailure = reason;
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
      const { upstream, sentMs, release } = source;
      let isComplete = false;
      try {
        isComplete = yield* this.#relayFrom(stream, progress, source);
      } finally {
        // Also if the caller reads no further.
        release();
      }
      if (isComplete) {
        const succeeded = true;
        return progress.watch.recordAnswered({ upstream, sentMs, succeeded });
      }
      const cancelled = stream.routed.call.signal.aborted;
      await progress.watch.recordBroken({ upstream, cancelled });
      if (!stream.routed.route.resumable) break;
      source = await this.#openNext(stream, progress);
    }
    throw new Error(
      `the stream ended prematurely: ${progress.lastFailure}`,
    );
  }

  async *#relayFrom(
    stream: StreamCall,
    progress: StreamProgress,
    source: OpenStream,
  ): AsyncGenerator<string, boolean> {
    const parser = new EventParser();
    let isFirst = true;
    try {
      for await (const chunk of source.response.bodyChunks) {
        for (const event of parser.push(chunk)) {
          if (!isNextEvent(event.id, progress.lastEventId)) {
            throw new Error(`event ${event.id} is out of order`);
          }
          progress.lastEventId = event.id;
          if (isFirst) this.#noteOrigin(stream, progress, source);
          isFirst = false;
          yield event.raw;
        }
      }
      if (parser.hasPartialEvent) {
        throw new Error("the stream ended within an event");
      }
      if (progress.lastEventId === null && !isTakenUp(stream)) {
        throw new Error("the stream ended before its first event");
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

  /** Binds the stream to the version that writes it, and tells other VMs before the caller gets the event. */
  #noteOrigin(
    { routed, start }: StreamCall,
    progress: StreamProgress,
    { upstream }: OpenStream,
  ): void {
    progress.softwareVersion ??= upstream.softwareVersion ?? null;
    const { softwareVersion } = progress;
    if (softwareVersion === null || !routed.route.resumable) return;
    const { clock, origins } = this.#options;
    const { originAttempt, service } = start;
    const leftMs = Math.max(0, routed.deadlineMs - clock.nowMs());
    origins.note(
      originAttempt,
      { service, softwareVersion },
      leftMs + ORIGIN_RETENTION_MARGIN_MS,
    );
  }
}

/** Returns what the stream needs of an upstream. */
function demandOf(
  { start: { service }, routed: { route } }: StreamCall,
  { triedUpstreams: tried, softwareVersion }: StreamProgress,
): UpstreamDemand {
  const demand = { service, route, tried };
  return typeof softwareVersion === "string"
    ? { ...demand, softwareVersion }
    : demand;
}

/** Returns why a response is not passed on to the caller, or undefined if it is. */
function rejectionOf(
  response: {
    readonly status: number;
    readonly metadata: ResponseMetadata;
  },
  expected: {
    readonly requestId: string;
    /** Whether the response has to be the rest of a stream. */
    readonly isRest: boolean;
  },
): string | undefined {
  const { status, metadata } = response;
  if (metadata.notRun) return `rejected with status ${status}`;
  if (metadata.requestId !== expected.requestId) {
    return "response belongs to another request";
  }
  if (status !== OK_STATUS) {
    return expected.isRest
      ? `status ${status} instead of the rest of the stream`
      : undefined;
  }
  return metadata.stamp === null
    ? "response without its stamp header"
    : undefined;
}

/** Whether the caller has the first events of the stream, so that nothing may be left of it. */
function isTakenUp({ start }: StreamCall): boolean {
  return start.softwareVersion !== null;
}

function isNextEvent(id: number, last: number | null): boolean {
  return last === null || id === last + 1;
}
