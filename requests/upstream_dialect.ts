/**
 * How a platform writes down what a call to an upstream says beside its body. The platform's adapter
 * implements it; nothing else knows the names.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";
import type { ResponseHead } from "./upstream_http.ts";

/** What a call says. */
export interface CallMetadata {
  readonly requestId: string;
  readonly upstream: FleetUpstream;
  /** Time left for the call, or null without a limit. */
  readonly remainingMs: Milliseconds | null;
  /** The last event that the caller has, if the call goes on with a stream. */
  readonly lastEventId: number | null;
}

/** What an answer says. */
export interface ResponseMetadata {
  /** The call that it belongs to, or null if it doesn't say. */
  readonly requestId: string | null;
  /** Whether the upstream says that it did not run the call. */
  readonly notRun: boolean;
  /** Whether the upstream vouches for the body. */
  readonly hasStamp: boolean;
  /** Version of the weights at the start of the answer, or null. */
  readonly version: number | null;
}

/** Writes and reads the marks. */
export abstract class UpstreamDialect {
  /** Headers that mark a call, names and values by turns; `base` are those of the caller. */
  abstract callHeaders(
    base: readonly string[],
    marks: CallMetadata,
  ): readonly string[];
  /** What the head of an answer says. */
  abstract readResponse(head: ResponseHead): ResponseMetadata;
  /** The version that an event's note names, or null if it names none. */
  abstract readEventVersion(notes: ReadonlyMap<string, string>): number | null;
}
