/**
 * How a platform encodes the metadata of calls and responses in HTTP headers. The platform's adapter implements
 * it; no other code knows the header names.
 *
 * @module
 */
import type { Failure, FleetUpstream, Milliseconds, Result } from "#core";
import type { ResponseHead } from "./upstream_http.ts";

/** Metadata that a call sends in its headers. */
export interface CallMetadata {
  readonly requestId: string;
  readonly upstream: FleetUpstream;
  /** Time remaining for the call, or null if it has no deadline. */
  readonly remainingMs: Milliseconds | null;
  /** Id of the last event that the caller has received if the call resumes a stream, or null. */
  readonly lastEventId: number | null;
  /**
   * Name of the tenant that sends the call, null if it has none; what the caller says of itself is passed on only if
   * absent.
   */
  readonly tenant?: string | null;
}

/** Metadata in the head of a response. */
export interface ResponseMetadata {
  /** Id of the request that it belongs to, or null if it names none. */
  readonly requestId: string | null;
  /** Whether the upstream states that it did not run the call. */
  readonly notRun: boolean;
  /** The upstream's stamp, which vouches for the body, or null. */
  readonly stamp: string | null;
  /** Whether the upstream states that it is leaving and wants no further calls. */
  readonly leaving: boolean;
  /** Requests per second that the upstream accepts from all VMs together, or null if it names no limit. */
  readonly requestLimit: number | null;
  /** Version of the weights at the start of the response, or null. */
  readonly version: number | null;
}

/** How a caller takes up a stream of which it has events. */
export interface Resumption {
  /** The attempt that brought the first event, or null if the caller names none. */
  readonly originAttempt: string | null;
  /** The last event that the caller has, or null if it names none. */
  readonly lastEventId: number | null;
}

/** A request without a body that the system makes for itself. */
export interface OwnCall {
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}

/** Encodes the metadata of calls and decodes that of responses. */
export abstract class UpstreamDialect {
  /** Returns a call's headers as alternating names and values; `base` are the caller's headers. */
  abstract callHeaders(
    base: readonly string[],
    metadata: CallMetadata,
  ): readonly string[];
  /** Returns who sends a call, by its headers; empty if they do not say. */
  abstract callerOf(headers: readonly string[]): string;
  /** Returns how a call takes up a stream, null if it begins one, or a failure if its headers are malformed. */
  abstract readResumption(
    headers: Readonly<Record<string, string>>,
  ): Result<Resumption | null, Failure>;
  /** Returns a call whose response tells which incarnation of an upstream sends it, or null if it has none. */
  abstract identityCall(upstream: FleetUpstream): OwnCall | null;
  /** Returns the start time of the incarnation that sent the response to an identity call, or null if it doesn't say. */
  abstract readBornMs(body: Uint8Array): Milliseconds | null;
  /** Decodes the head of a response. */
  abstract readResponse(head: ResponseHead): ResponseMetadata;
  /** Returns the weight version in the extra fields of an event, or null if there is none. */
  abstract readEventVersion(
    extraFields: ReadonlyMap<string, string>,
  ): number | null;
}
