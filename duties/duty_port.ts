/**
 * Calls that only one VM of the deployment may send at a time, and the right to send them.
 *
 * @module
 */

/** Number of calls of one tenant. */
export type TenantCount = readonly [tenant: string, count: number];

/** The calls of one window, by tenant. */
export interface UsageReport {
  /** Number of the window since the start of 1970. */
  readonly window: number;
  /** Tenants with calls, sorted by name, so that a repeated report has the same bytes. */
  readonly counts: readonly TenantCount[];
}

/** How many upstreams of a kind a service is to have in a zone. */
export interface UpstreamOrder {
  readonly service: string;
  readonly zone: string;
  readonly count: number;
  /** Whether they may be reclaimed at short notice. */
  readonly spot: boolean;
}

/** The right of this process to send calls now. */
export interface DutyAuthority {
  /** Name of the node. */
  readonly holder: string;
  /** Fencing token, which increases with each new hold. */
  readonly fence: number;
  /** Whether the right still exists; checked once more when the connection is open, just before the call is written. */
  readonly isCurrent: () => boolean;
}

/**
 * Outcome of a call. `conflict`: the other side rejects it, such as for its fencing token. `rate_limited`: it did not run
 * since there were too many. `unknown`: it may have run, or may still run later.
 */
export type DutyOutcome =
  | "accepted"
  | "conflict"
  | "rate_limited"
  | "unknown";

/** Port for the calls; the platform implements it. */
export abstract class DutyPort {
  /** Reports the calls of one window. */
  abstract sendUsage(
    report: UsageReport,
    authority: DutyAuthority,
  ): Promise<DutyOutcome>;
  /** Orders upstreams. */
  abstract orderUpstreams(
    order: UpstreamOrder,
    authority: DutyAuthority,
  ): Promise<DutyOutcome>;
}
