/**
 * Opens a stream on the upstreams of its service, one after the other, until one accepts it: only on such that have the
 * software version that the stream is bound to.
 *
 * @module
 */
import { type Clock, type FleetUpstream } from "#core";
import {
  attemptLimit,
  demandOf,
  mayAttempt,
  type OpenStream,
  reportLoad,
  type StreamCall,
  type StreamProgress,
} from "./stream_call.ts";
import { tenantOf } from "./forwarded_call.ts";
import { SilenceWatch } from "./silence_watch.ts";
import type { SingleConnection } from "./single_connection.ts";
import { reasonNotToSend, rejectionOf } from "./stream_checks.ts";
import { isolateAttempt } from "./suspect_calls.ts";
import type { UpstreamChoice, UpstreamDemand } from "./upstream_choice.ts";
import type { UpstreamDialect } from "./upstream_dialect.ts";
import type { StreamingResponse, UpstreamHttp } from "./upstream_http.ts";
import { type IdentityCheck, UpstreamIdentity } from "./upstream_identity.ts";
import { reportNotices, type UpstreamNotices } from "./upstream_notices.ts";

/** Identified connections of one upstream that may turn out to be closed before it counts as unidentified. */
const MAXIMUM_CLOSED_CONNECTIONS = 3;
const NOT_IDENTIFIED: IdentityCheck = {
  kind: "unidentified",
  isDoubtful: true,
};

/** Options of `StreamOpening`. */
export interface StreamOpeningOptions extends UpstreamNotices {
  readonly clock: Clock;
  readonly dialect: UpstreamDialect;
  readonly http: UpstreamHttp;
  readonly choice: UpstreamChoice;
  /** Whether this VM follows no control VM now; never if absent. */
  readonly isOutOfDate?: () => boolean;
}

/** An upstream that the stream may be sent to. */
interface NextUpstream {
  readonly upstream: FleetUpstream;
  readonly release: () => void;
}

/** An attempt that may be given up. */
interface WatchedAttempt {
  readonly abort: AbortController;
  readonly silence: SilenceWatch;
}

/** How a stream at one upstream ends. */
export type StreamOutcome =
  | "complete"
  | "broken"
  /** The upstream sent bytes that are no stream. */
  | "foul"
  | "cancelled";

/** Opens streams. */
export class StreamOpening {
  readonly #options: StreamOpeningOptions;
  readonly #identity: UpstreamIdentity;
  readonly #ended = new WeakSet<OpenStream>();

  constructor(options: StreamOpeningOptions) {
    this.#options = options;
    this.#identity = new UpstreamIdentity(options);
  }

  /**
   * Processes the end of a stream at an upstream: its connection is kept if the stream is complete. Only the first end
   * counts.
   */
  recordEnd(source: OpenStream, outcome: StreamOutcome): void {
    if (this.#ended.has(source)) return;
    this.#ended.add(source);
    const { upstream, connection, release } = source;
    source.silence.stop();
    release();
    const { clock, choice } = this.#options;
    const nowMs = clock.nowMs();
    const isBroken = outcome === "broken" || outcome === "foul";
    // A quick head says nothing for an upstream whose stream breaks off.
    const latencyMs = isBroken ? null : source.latencyMs;
    choice.recordEnded(upstream, { nowMs, latencyMs });
    if (outcome === "foul") choice.selector.recordFoul(upstream.id, nowMs);
    if (isBroken) {
      choice.selector.pause(upstream.id, nowMs);
      void this.#identity.recordFailure(upstream);
    }
    if (connection === undefined) return;
    if (outcome === "complete") this.#identity.release(upstream, connection);
    else connection.close();
  }

  /** Closes the connections that are kept. */
  close(): void {
    this.#identity.close();
  }

  /** Opens the stream on the next upstream that accepts it. */
  async openNext(
    stream: StreamCall,
    progress: StreamProgress,
  ): Promise<OpenStream | undefined> {
    const { limit } = stream;
    if (stream.routed.route.resumable) {
      this.#identity.attend(this.#ready(stream));
    }
    while (mayAttempt(stream, progress) && !limit.signal.aborted) {
      const next = await this.#nextUpstream(stream, progress);
      if (next === undefined) return undefined;
      const { upstream, release } = next;
      progress.triedUpstreams.add(upstream.id);
      const opened = await this.#open(stream, progress, upstream);
      if (opened !== undefined) return { ...opened, release };
      release();
    }
    return undefined;
  }

  async #nextUpstream(
    stream: StreamCall,
    progress: StreamProgress,
  ): Promise<NextUpstream | undefined> {
    const { cutoffMs, signal } = stream.limit;
    const { choice } = this.#options;
    const { watch } = progress;
    if (progress.softwareVersion === null) return undefined;
    const demand = demandOf(stream, progress);
    const limits = { cutoffMs, signal };
    if (watch.standing === "blocked") return undefined;
    if (watch.standing === "suspect") {
      const suspect = { watch, demand, ...limits };
      const isolated = await isolateAttempt(suspect, this.#options);
      if (isolated.kind === "granted") return isolated;
      progress.lastFailure = isolated.reason;
      return undefined;
    }
    const release = (): void => {};
    const upstream = this.#chooseKnown(stream, demand) ?? choice.choose(demand);
    if (upstream !== undefined) return { upstream, release };
    const outcome = await choice.acquire(demand, limits);
    if (outcome.kind === "granted") {
      return { upstream: outcome.upstream, release };
    }
    progress.retryAfterMs = outcome.retryAfterMs;
    return undefined;
  }

  /** Chooses an upstream whose software is known, as a stream that began at any other can't go on. */
  #chooseKnown(
    stream: StreamCall,
    demand: UpstreamDemand,
  ): FleetUpstream | undefined {
    if (!stream.routed.route.resumable) return undefined;
    const doubtful = this.#identity.doubtful(this.#ready(stream));
    if (doubtful.length === 0) return undefined;
    const tried = new Set([...demand.tried, ...doubtful]);
    return this.#options.choice.choose({ ...demand, tried });
  }

  #ready(
    { start: { service }, routed: { route } }: StreamCall,
  ): readonly FleetUpstream[] {
    const tried = new Set<string>();
    return this.#options.choice.readyUpstreams({ service, route, tried });
  }

  /** Opens the stream on an upstream, if that is the one that it is known as. */
  async #open(
    stream: StreamCall,
    progress: StreamProgress,
    upstream: FleetUpstream,
  ): Promise<Omit<OpenStream, "release"> | undefined> {
    for (let closed = 0; closed <= MAXIMUM_CLOSED_CONNECTIONS; closed += 1) {
      const identity = closed < MAXIMUM_CLOSED_CONNECTIONS
        ? await this.#identify(stream, upstream)
        : NOT_IDENTIFIED;
      const opened = await this.#openAs(stream, progress, {
        upstream,
        ...identity,
      });
      if (opened !== "closed") return opened;
    }
    return undefined;
  }

  /** Finds out who the upstream is, unless the stream is never resumed, so that any software may write it. */
  async #identify(
    { routed: { route }, limit }: StreamCall,
    upstream: FleetUpstream,
  ): Promise<IdentityCheck> {
    if (!route.resumable) return { kind: "unidentified", isDoubtful: false };
    return await this.#identity.check(upstream, limit.signal);
  }

  /** Opens the stream on an upstream of which so much is known, or returns that its connection had been closed before. */
  async #openAs(
    stream: StreamCall,
    progress: StreamProgress,
    identified: IdentityCheck & { readonly upstream: FleetUpstream },
  ): Promise<Omit<OpenStream, "release"> | "closed" | undefined> {
    const { upstream } = identified;
    const reason = reasonNotToSend(identified, progress);
    if (reason !== undefined) {
      this.#recordFailure(progress, upstream, reason);
      return undefined;
    }
    const { clock, choice } = this.#options;
    const sentMs = clock.nowMs();
    const connection = identified.kind === "identified"
      ? identified.connection
      : undefined;
    if (stream.routed.mayRun?.() === false) {
      connection?.close();
      return undefined;
    }
    choice.selector.recordSent(upstream.id);
    const attempt = this.#watchSilence(stream, progress, upstream);
    const { abort, silence } = attempt;
    const response = await this.#send(stream, progress, {
      upstream,
      connection,
      attempt,
    });
    if (response === undefined || response === "closed") {
      silence.stop();
      choice.recordEnded(upstream, { nowMs: clock.nowMs(), latencyMs: null });
      connection?.close();
      return response;
    }
    const isKnown = await this.#isKnown(stream, identified);
    if (!isKnown && progress.softwareVersion !== undefined) {
      silence.stop();
      response.closeConnection();
      choice.recordEnded(upstream, { nowMs: clock.nowMs(), latencyMs: null });
      connection?.close();
      progress.lastFailure = "it may have started again with other software";
      return undefined;
    }
    const softwareVersion = isKnown ? upstream.softwareVersion ?? null : null;
    const latencyMs = clock.nowMs() - sentMs;
    return {
      upstream,
      connection,
      response,
      silence,
      isGivenUp: () => abort.signal.aborted,
      sentMs,
      latencyMs,
      softwareVersion,
    };
  }

  /** Whether the head that has just arrived came from the incarnation that is known, as the software matters. */
  async #isKnown(
    { routed: { route } }: StreamCall,
    identified: IdentityCheck & { readonly upstream: FleetUpstream },
  ): Promise<boolean> {
    if (identified.kind === "identified") return true;
    if (identified.kind === "failed" || identified.isDoubtful) return false;
    return !route.resumable ||
      await this.#identity.confirm(identified.upstream);
  }

  /** Gives an attempt up once its upstream is silent, if the stream may go on at another one at once. */
  #watchSilence(
    stream: StreamCall,
    progress: StreamProgress,
    upstream: FleetUpstream,
  ): WatchedAttempt {
    const { clock, choice } = this.#options;
    const abort = new AbortController();
    const runsBefore = progress.possibleRuns;
    const silence = new SilenceWatch({
      clock,
      selector: choice.selector,
      upstream,
      objectiveMs: stream.routed.route.objectiveMs,
      onSilent: () => {
        if (!stream.routed.route.resumable) return;
        if (runsBefore + 1 >= attemptLimit(stream)) return;
        if (choice.hasReady(demandOf(stream, progress))) abort.abort();
      },
    });
    return { abort, silence };
  }

  async #send(
    stream: StreamCall,
    progress: StreamProgress,
    { upstream, connection, attempt }: {
      readonly upstream: FleetUpstream;
      readonly connection: SingleConnection | undefined;
      readonly attempt: WatchedAttempt;
    },
  ): Promise<StreamingResponse | "closed" | undefined> {
    const { dialect, clock, http, choice } = this.#options;
    const { routed: { call, requestId }, limit } = stream;
    const { silence } = attempt;
    const sentMs = clock.nowMs();
    const signal = AbortSignal.any([limit.signal, attempt.abort.signal]);
    const result = await http.open({
      address: upstream.address,
      method: call.method,
      target: call.target,
      headers: dialect.callHeaders(stream.headers, {
        requestId,
        upstream,
        remainingMs: Math.max(1, limit.cutoffMs - clock.nowMs()),
        lastEventId: progress.lastEventId,
        ...tenantOf(stream.routed),
      }),
      body: call.body,
      signal,
      reuseConnection: false,
      ...(connection === undefined ? {} : { connection }),
    });
    if (result.err) {
      const { stale, mayHaveRun, isFoul = false } = result.val;
      if (stale && !mayHaveRun) return "closed";
      if (isFoul) choice.selector.recordFoul(upstream.id, clock.nowMs());
      this.#recordFailure(progress, upstream, result.val.reason);
      if (mayHaveRun) {
        progress.possibleRuns += 1;
        const cancelled = signal.aborted;
        await progress.watch.recordBroken({ upstream, cancelled });
      }
      return undefined;
    }
    silence.recordHeard();
    const metadata = dialect.readResponse(result.val.head);
    reportNotices(this.#options, { upstream, requestId, metadata });
    if (!metadata.notRun) progress.possibleRuns += 1;
    const { status } = result.val.head;
    reportLoad(stream, metadata.notRun, clock.nowMs() - sentMs);
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

  /** Records that an upstream did not respond, as one that has ended or started again. */
  #recordFailure(
    progress: StreamProgress,
    upstream: FleetUpstream,
    reason: string,
  ): void {
    const { choice, clock } = this.#options;
    progress.lastFailure = reason;
    choice.selector.pause(upstream.id, clock.nowMs());
    void this.#identity.recordFailure(upstream);
  }
}
