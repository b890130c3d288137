/**
 * The state of a call for a stream over its attempts.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";
import type { CallWatch } from "#crashes";
import type { CallLimit } from "./call_limit.ts";
import type { RoutedCall } from "./forwarded_call.ts";
import type { SilenceWatch } from "./silence_watch.ts";
import type { SingleConnection } from "./single_connection.ts";
import type { StreamStart } from "./stream_take_up.ts";
import type { UpstreamDemand } from "./upstream_choice.ts";
import type { StreamingResponse } from "./upstream_http.ts";

/** A call for a stream, with where it begins or goes on. */
export interface StreamCall {
  readonly routed: RoutedCall;
  readonly start: StreamStart;
  /** When the stream must be complete, also over its attempts. */
  readonly limit: CallLimit;
  readonly headers: readonly string[];
}

/** A stream that an upstream has started. */
export interface OpenStream {
  readonly upstream: FleetUpstream;
  readonly sentMs: Milliseconds;
  /** From then to the head of the response. */
  readonly latencyMs: Milliseconds;
  /** Ends its right to run apart from other suspects, if it has one. */
  readonly release: () => void;
  readonly response: StreamingResponse;
  /** Whether this VM gave the attempt up, as its upstream was silent. */
  readonly isGivenUp: () => boolean;
  /** Ends the attempt if nothing comes from its upstream any more. */
  readonly silence: SilenceWatch;
  /** The connection that identified the upstream, for further streams; undefined if it is not identified. */
  readonly connection: SingleConnection | undefined;
  /** Version of the software that writes it; null if that is not known. */
  readonly softwareVersion: string | null;
}

/** How far a stream has come over its attempts. */
export interface StreamProgress {
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

/** Returns what the stream needs of an upstream. */
export function demandOf(
  { start: { service }, routed: { route } }: StreamCall,
  { triedUpstreams: tried, softwareVersion }: StreamProgress,
): UpstreamDemand {
  const demand = { service, route, tried };
  return typeof softwareVersion === "string"
    ? { ...demand, softwareVersion }
    : demand;
}

/** Returns the number of upstreams that may run the call. */
export function attemptLimit({ routed: { route } }: StreamCall): number {
  return route.resumable ? Math.max(1, route.maximumAttempts) : 1;
}

/** Whether the stream may be sent to a further upstream. */
export function mayAttempt(
  stream: StreamCall,
  progress: StreamProgress,
): boolean {
  if (stream.routed.mayRun?.() === false) return false;
  return progress.possibleRuns < attemptLimit(stream);
}

/** Reports what an attempt shows of the load of the service. */
export function reportLoad(
  { routed: { route, onAttempt }, start: { service } }: StreamCall,
  isRejected: boolean,
  elapsedMs: Milliseconds,
): void {
  const { objectiveMs } = route;
  const isLate = objectiveMs > 0 && elapsedMs > objectiveMs;
  onAttempt?.({ service, isOverload: isRejected || isLate });
}
