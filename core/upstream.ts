/**
 * Announcements and load reports of upstreams.
 *
 * @module
 */
import type { Address } from "./bundle.ts";
import type { Milliseconds } from "./units.ts";

/** Role of an upstream. */
export type UpstreamRole = "engine" | "service" | "weight_store";

/** A model version that an engine serves. */
export interface ServedVersion {
  readonly model: string;
  readonly version: number;
}

/** Announcement of an upstream. */
export interface UpstreamAnnouncement {
  readonly id: string;
  /** Increases with each start of the upstream. */
  readonly incarnation: number;
  readonly zone: string;
  readonly address: Address;
  readonly role: UpstreamRole;
  /** Model versions served; empty unless the role is `engine`. */
  readonly serves: readonly ServedVersion[];
  /** Names of the services provided; empty unless the role is `service`. */
  readonly services: readonly string[];
  /** Number of requests that it runs concurrently without slowing down. */
  readonly capacity: number;
  /** Whether it rejects orders with an outdated fence. */
  readonly enforcesFences: boolean;
  /** Whether each chunk carries the version that generated it. */
  readonly reportsVersions: boolean;
}

/** An upstream as registered on the entry VMs of a zone. */
export interface UpstreamRecord extends UpstreamAnnouncement {
  /** Increases with each announcement within an incarnation. */
  readonly sequence: number;
  /** Whether the upstream is leaving and receives no new requests. */
  readonly leaving: boolean;
  /** Time on this VM's monotonic clock at which the record expires unless renewed. */
  readonly expiresAtMs: Milliseconds;
}

/** Load reported by an upstream; it can be outdated or wrong. */
export interface LoadReport {
  readonly id: string;
  readonly running: number;
  readonly waiting: number;
  /** Share of the prefix cache in use, 0 to 1. */
  readonly cacheUse: number;
  /** Time on this VM's monotonic clock at which the report was received. */
  readonly receivedAtMs: Milliseconds;
}
