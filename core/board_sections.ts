/**
 * The sections of an entry's blackboard.
 *
 * @module
 */
import type { AcceptedBundle } from "./bundle.ts";
import type { Milliseconds } from "./units.ts";
import type { LoadReport, UpstreamRecord } from "./upstream.ts";

/** How sure this VM is of another one. */
export type VmState = "alive" | "suspected" | "unreachable";

/** Another VM as seen from this one. */
export interface MemberStatus {
  readonly name: string;
  readonly zone: string;
  readonly state: VmState;
  readonly incarnation: number;
  /** Version of the bundle in force there, or null while unknown. */
  readonly bundleVersion: number | null;
  readonly lastHeardMs: Milliseconds;
}

/** Counts of requests at this entry. */
export interface RequestCounts {
  readonly queued: number;
  readonly running: number;
}

/** One trainer's step as seen from this entry. */
export interface StepStatus {
  readonly trainer: string;
  readonly step: number;
  readonly groups: number;
  readonly committed: number;
  readonly delivered: number;
}

/** Wished version of a model on an engine. */
export interface EngineOrder {
  readonly upstream: string;
  readonly model: string;
  readonly version: number;
  readonly fence: number;
}

/** Who leads the control VMs, as last heard. */
export interface LeaseStatus {
  readonly leader: string;
}

/** All sections; each has the writer that `BOARD_WRITERS` names. */
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

/** A board on which nothing is known yet. */
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
