/**
 * The port through which orders of upstreams are sent.
 *
 * @module
 */

import type { UpstreamOrder } from "#duties";

/** Upstreams that are counted and ordered together: one kind of a service in a zone. */
export type ScalingSubject = Omit<UpstreamOrder, "count">;

/**
 * Outcome of an order: `unavailable` if the zone has no more upstreams of the kind now, `not_holder` if this process
 * may not order any more, `unknown` if the order may have been executed or may still be.
 */
export type UpstreamOrderOutcome =
  | "accepted"
  | "unavailable"
  | "not_holder"
  | "unknown";

/** Sends orders with the authority of the holder of the duty. */
export abstract class UpstreamOrderPort {
  /** Returns whether this process holds the duty now. */
  abstract mayOrder(): boolean;
  /** Sends an order once; it must not be sent after this process has ceased to be the holder. */
  abstract order(order: UpstreamOrder): Promise<UpstreamOrderOutcome>;
}

/**
 * Returns the key of a subject.
 *
 * @example
 * ```ts
 * subjectKey({ service: "models", zone: "a", spot: true }); // '["models","a",true]'
 * ```
 */
export function subjectKey({ service, zone, spot }: ScalingSubject): string {
  return JSON.stringify([service, zone, spot]);
}
