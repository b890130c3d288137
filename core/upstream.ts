/**
 * Upstreams as they announce themselves, and their load as they report it.
 *
 * @module
 */
import type { Address } from "./bundle.ts";
import type { Milliseconds } from "./units.ts";

/** What an upstream does. */
export type UpstreamRole = "engine" | "service" | "weight_store";

/** A model version that an engine serves now. */
export interface ServedVersion {
  readonly model: string;
  readonly version: number;
}

/** What an upstream says of itself. */
export interface UpstreamAnnouncement {
  readonly id: string;
  /** Grows with each start of the upstream. */
  readonly incarnation: number;
  readonly zone: string;
  readonly address: Address;
  readonly role: UpstreamRole;
  /** Versions served; empty unless the role is engine. */
  readonly serves: readonly ServedVersion[];
  /** Names of services offered; empty unless the role is service. */
  readonly services: readonly string[];
  /** Requests it runs at once without slowing down. */
  readonly capacity: number;
  /** Whether it refuses an order with an old fence. */
  readonly enforcesFences: boolean;
  /** Whether each chunk names the version that made it. */
  readonly reportsVersions: boolean;
}

/** An upstream as the entries of a zone know it. */
export interface UpstreamRecord extends UpstreamAnnouncement {
  /** Grows with each announcement within an incarnation. */
  readonly sequence: number;
  /** True once it said that it leaves: no new work. */
  readonly leaving: boolean;
  /** When the record lapses unless renewed, on this VM's monotonic clock. */
  readonly expiresAtMs: Milliseconds;
}

/** Load of an upstream as reported, which can be late or wrong. */
export interface LoadReport {
  readonly id: string;
  readonly running: number;
  readonly waiting: number;
  /** Part of the prefix cache in use, 0 to 1. */
  readonly cacheUse: number;
  /** When this VM received it, on its monotonic clock. */
  readonly receivedAtMs: Milliseconds;
}
