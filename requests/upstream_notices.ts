/**
 * What upstreams state about themselves in their responses, beside the response to the call.
 *
 * @module
 */
import type { FleetUpstream } from "#core";
import type { ResponseMetadata } from "./upstream_dialect.ts";

/** Receives the statements of upstreams. */
export interface UpstreamNotices {
  /** Called with an upstream whose response states that it is leaving. */
  readonly onLeaving: (upstream: FleetUpstream) => void;
  /** Called with the requests per second that an upstream accepts from all VMs together, or null if it names no limit. */
  readonly onRequestLimit: (
    upstream: FleetUpstream,
    perSecond: number | null,
  ) => void;
}

/**
 * Reports what the head of a response states. A response to another request may be old, and one that did not run the
 * call may come from somewhere else than its upstream, so neither is evidence that a limit has ended.
 */
export function reportNotices(
  notices: UpstreamNotices,
  response: {
    readonly upstream: FleetUpstream;
    readonly requestId: string;
    readonly metadata: ResponseMetadata;
  },
): void {
  const { upstream, requestId, metadata } = response;
  if (metadata.leaving) notices.onLeaving(upstream);
  if (metadata.requestId !== requestId) return;
  const isFromUpstream = metadata.stamp !== null && !metadata.notRun;
  if (metadata.requestLimit !== null || isFromUpstream) {
    notices.onRequestLimit(upstream, metadata.requestLimit);
  }
}
