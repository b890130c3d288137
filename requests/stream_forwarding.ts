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
  incarnationOf,
  type Milliseconds,
  type RandomSource,
} from "#core";
import type { CrashGuard } from "#crashes";
import type { StreamOrigins } from "#streams";
import type { CallLimit } from "./call_limit.ts";
import { endToEndHeaders, headerRecord } from "./end_to_end_headers.ts";
import { EventParser } from "./event_parser.ts";
import { REQUEST_EVENTS } from "./events.ts";
import { isFoul } from "./foul_bytes.ts";
import {
  blockedFailure,
  contentOf,
  notPermittedFailure,
  type RoutedCall,
} from "./forwarded_call.ts";
import {
  demandOf,
  type OpenStream,
  type StreamCall,
  type StreamProgress,
} from "./stream_call.ts";
import { StreamOpening, type StreamOutcome } from "./stream_opening.ts";
import { startOf } from "./stream_take_up.ts";
import { reportSuspect } from "./suspect_calls.ts";
import type { UpstreamChoice } from "./upstream_choice.ts";
import type { UpstreamDialect } from "./upstream_dialect.ts";
import type { UpstreamHttp } from "./upstream_http.ts";
import type { UpstreamNotices } from "./upstream_notices.ts";

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
  /** Whether this VM follows no control VM now; never if absent. */
  readonly isOutOfDate?: () => boolean;
}

/** Forwards streams of events to callers. */
export class StreamForwarding {
  readonly #options: StreamForwardingOptions;
  readonly #opening: StreamOpening;

  constructor(options: StreamForwardingOptions) {
    this.#options = options;
    this.#opening = new StreamOpening(options);
  }

  /** Returns the stream, or a failure if no upstream started it or it must not go on. */
  async forward(
    routed: RoutedCall,
    limit: CallLimit,
  ): Promise<HttpResponse | Failure> {
    const resumption = this.#options.dialect.readResumption(
      routed.call.headers,
    );
    if (resumption.err) return resumption.val;
    const start = await startOf(routed, resumption.val, this.#options);
    if ("kind" in start) return start;
    const headers = endToEndHeaders(routed.call.rawHeaders);
    return await this.#begin({ routed, start, limit, headers });
  }

  /** Closes idle connections. */
  close(): void {
    this.#opening.close();
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
    const source = await this.#opening.openNext(stream, progress);
    if (source === undefined) return this.#finalFailure(stream, progress);
    const { head } = source.response;
    const isStream = head.status === OK_STATUS;
    if (isStream) progress.hasBegun = true;
    // The caller may leave before it reads anything.
    const onAbort = (): void => this.#opening.recordEnd(source, "cancelled");
    stream.routed.call.signal.addEventListener("abort", onAbort, {
      once: true,
    });
    return {
      status: head.status,
      headers: headerRecord(endToEndHeaders(head.rawHeaders)),
      body: isStream
        ? this.#relay(stream, progress, source)
        : this.#relayError(source),
    };
  }

  async *#relayError(source: OpenStream): AsyncGenerator<Uint8Array> {
    try {
      yield* source.response.bodyChunks;
    } finally {
      this.#opening.recordEnd(source, "cancelled");
    }
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
    if (stream.limit.ended === "left") {
      return fail("cancelled", "the caller disconnected");
    }
    const isOver = stream.limit.ended === "over";
    if (isOver && progress.possibleRuns > 0) {
      return fail("deadline_passed", message);
    }
    if (progress.possibleRuns > 0) return fail("upstream_failed", message);
    if (stream.routed.mayRun?.() === false) return notPermittedFailure();
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

  /** Throws if the stream can't be completed, so that the caller can't mistake it for a complete one. */
  async *#relay(
    stream: StreamCall,
    progress: StreamProgress,
    first: OpenStream,
  ): AsyncGenerator<string> {
    let source: OpenStream | undefined = first;
    while (source !== undefined) {
      const { upstream, sentMs } = source;
      let isComplete = false;
      let outcome: StreamOutcome = "cancelled";
      try {
        outcome = yield* this.#relayFrom(stream, progress, source);
        isComplete = outcome === "complete";
        if (stream.limit.ended === "left") outcome = "cancelled";
      } finally {
        // Also if the caller reads no further.
        this.#opening.recordEnd(source, outcome);
      }
      if (isComplete) {
        const succeeded = true;
        return progress.watch.recordAnswered({ upstream, sentMs, succeeded });
      }
      const cancelled = stream.limit.ended !== undefined || source.isGivenUp();
      await progress.watch.recordBroken({ upstream, cancelled });
      if (!stream.routed.route.resumable) break;
      source = await this.#opening.openNext(stream, progress);
      this.#logBroken(stream, progress, { broken: upstream, next: source });
    }
    throw new Error(
      `the stream ended prematurely: ${progress.lastFailure}`,
    );
  }

  async *#relayFrom(
    stream: StreamCall,
    progress: StreamProgress,
    source: OpenStream,
  ): AsyncGenerator<string, StreamOutcome> {
    const parser = new EventParser();
    let isFirst = true;
    try {
      for await (const chunk of source.response.bodyChunks) {
        source.silence.recordHeard();
        for (const event of parser.push(chunk)) {
          if (!isNextEvent(event.id, progress.lastEventId)) {
            throw new Error(`event ${event.id} is out of order`);
          }
          if (progress.lastEventId === null && !isTakenUp(stream)) {
            stream.routed.onRan?.(this.#options.clock.nowMs());
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
      // Comments and the like after the last event.
      if (parser.rest !== "") yield parser.rest;
      return "complete";
    } catch (error) {
      progress.lastFailure = error instanceof Error
        ? error.message
        : String(error);
      source.response.closeConnection();
      return isFoul(error) ? "foul" : "broken";
    }
  }

  #logBroken(
    { routed }: StreamCall,
    { softwareVersion, lastEventId, lastFailure }: StreamProgress,
    { broken, next }: {
      readonly broken: FleetUpstream;
      readonly next: OpenStream | undefined;
    },
  ): void {
    this.#options.events.emit(REQUEST_EVENTS.streamPassedOn, {
      request: routed.requestId,
      upstream: incarnationOf(broken),
      softwareVersion,
      lastEvent: lastEventId,
      next: next === undefined ? null : incarnationOf(next.upstream),
      reason: lastFailure,
    });
  }

  /** Binds the stream to the version that writes it, and tells other VMs before the caller gets the event. */
  #noteOrigin(
    { routed, start }: StreamCall,
    progress: StreamProgress,
    source: OpenStream,
  ): void {
    progress.softwareVersion ??= source.softwareVersion;
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

/** Whether the caller has the first events of the stream, so that nothing may be left of it. */
function isTakenUp({ start }: StreamCall): boolean {
  return start.softwareVersion !== null;
}

function isNextEvent(id: number, last: number | null): boolean {
  return last === null || id === last + 1;
}
