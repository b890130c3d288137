/**
 * The right to send requests to upstreams that name a limit, as the senders use it.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";

/** A request that waits for a permit. */
export interface PermitDemand {
  readonly service: string;
  /** Priority of its route; 0 is the highest. */
  readonly priority: number;
  /** How long it may wait. */
  readonly patienceMs: Milliseconds;
  readonly signal: AbortSignal;
  /** Returns whether it may be sent to an upstream. */
  readonly accepts: (upstream: FleetUpstream) => boolean;
}

/** The upstream to which a request may be sent now, or when another attempt is likely to get a permit. */
export type PermitOutcome =
  | { readonly kind: "granted"; readonly upstream: FleetUpstream }
  | { readonly kind: "rejected"; readonly retryAfterMs: Milliseconds };

/** Decides whether requests may be sent to upstreams that name a limit. */
export abstract class Permits {
  /** Returns how many requests may be sent to an upstream now; Infinity if it names no limit. */
  abstract available(upstream: FleetUpstream): number;
  /** Uses a permit for a request that is sent now; returns false if there is none. */
  abstract use(upstream: FleetUpstream): boolean;
  /** Waits for an upstream to which the request may be sent; its permit is used. */
  abstract acquire(demand: PermitDemand): Promise<PermitOutcome>;
  /** Records that a request for a service has arrived, whichever upstream it goes to. */
  abstract noteRequest(service: string): void;
  /** Lets a waiting request of a service go on to an upstream without a limit that has a free slot again. */
  abstract handleFreeSlot(service: string): void;
  /** Sets how many requests of a service wait elsewhere until `available` has permits for them. */
  abstract setBacklog(
    service: string,
    backlog: { readonly count: number; readonly priority: number },
  ): void;
}

/** Returns whether an upstream names a limit. */
export function isLimited(
  upstream: FleetUpstream,
): upstream is FleetUpstream & { readonly requestLimit: number } {
  return upstream.requestLimit !== undefined && upstream.requestLimit !== null;
}

/** Permits where no upstream names a limit. */
export class UnlimitedPermits extends Permits {
  override available(): number {
    return Infinity;
  }

  override use(): boolean {
    return true;
  }

  override acquire(): Promise<PermitOutcome> {
    return Promise.resolve({ kind: "rejected", retryAfterMs: 0 });
  }

  override noteRequest(): void {}

  override handleFreeSlot(): void {}

  override setBacklog(): void {}
}
