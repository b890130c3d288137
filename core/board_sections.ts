/**
 * The sections of the blackboard of an entry VM.
 *
 * @module
 */
import type { AcceptedBundle } from "./bundle.ts";
import type { Milliseconds } from "./units.ts";
import type { LoadReport, UpstreamRecord } from "./upstream.ts";

/** Liveness of another VM as judged by this one. */
export type VmState = "alive" | "suspected" | "unreachable";

/** Status of another VM as known to this one. */
export interface MemberStatus {
  readonly name: string;
  readonly zone: string;
  readonly state: VmState;
  readonly incarnation: number;
  /** Version of the active bundle on that VM; null if unknown. */
  readonly bundleVersion: number | null;
  readonly lastHeardMs: Milliseconds;
}

/** Numbers of queued and running requests on this entry VM. */
export interface RequestCounts {
  readonly queued: number;
  readonly running: number;
}

/** Progress of a trainer's step as known to this entry VM. */
export interface StepStatus {
  readonly trainer: string;
  readonly step: number;
  readonly groups: number;
  readonly committed: number;
  readonly delivered: number;
}

/** An order: the version of a model that an engine is to serve, with the fence that rejects older orders. */
export interface EngineOrder {
  readonly upstream: string;
  readonly model: string;
  readonly version: number;
  readonly fence: number;
}

/** Leader of the control VMs according to the latest update received. */
export interface LeaseStatus {
  readonly leader: string;
}

/** All sections; `BOARD_WRITERS` names the writer of each. */
export interface BoardSections {
  readonly bundle: AcceptedBundle | null;
  readonly members: ReadonlyMap<string, MemberStatus>;
  readonly upstreams: ReadonlyMap<string, UpstreamRecord>;
  readonly load: ReadonlyMap<string, LoadReport>;
  readonly requests: RequestCounts;
  readonly steps: readonly StepStatus[];
  readonly orders: readonly EngineOrder[];
  readonly lease: LeaseStatus | null;
}

/** The writer of each section. */
export const BOARD_WRITERS = {
  bundle: "bundles",
  members: "members",
  upstreams: "registry",
  load: "registry",
  requests: "requests",
  steps: "samples",
  orders: "weights",
  lease: "control",
} as const satisfies Readonly<Record<keyof BoardSections, string>>;

/** Initial values of all sections, before any update. */
export const EMPTY_BOARD: BoardSections = {
  bundle: null,
  members: new Map(),
  upstreams: new Map(),
  load: new Map(),
  requests: { queued: 0, running: 0 },
  steps: [],
  orders: [],
  lease: null,
};
