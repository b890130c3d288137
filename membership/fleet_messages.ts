/**
 * Messages on the `fleet` channel. VMs follow the active configuration, the upstreams and the placement at a
 * control VM; control VMs exchange the heartbeats of upstreams and the VMs that they know.
 *
 * @module
 */
import { z } from "zod";
import type {
  FleetNode,
  FleetUpstream,
  Milliseconds,
  Placement,
  RoutingConfiguration,
} from "#core";
import type { Departure } from "./departures_machine.ts";
import type { CrashRecord, CrashRevision } from "./crash_records.ts";
import type { AgedHeartbeat } from "./upstream_entries.ts";
import type { ObservedNode } from "./placement_plan.ts";

/**
 * Requests any state that is newer than the state of the sender. The reply is sent as soon as there is some, or
 * after `waitMs`.
 */
export interface FollowRequest {
  readonly kind: "follow";
  readonly node: FleetNode;
  /** Version of the active configuration of the sender, or 0. */
  readonly configurationVersion: number;
  /** Epoch and revision of the upstreams that the sender has; null if it has none. */
  readonly fleet: FleetRevision | null;
  readonly placementRevision: number;
  /** Whether the reply must contain a configuration that is certain to be the newest. */
  readonly confirm: boolean;
  readonly waitMs: Milliseconds;
  /** Digest of the VMs that the sender has from this control VM, or absent if it has none. */
  readonly nodesDigest?: string;
  /** Whether the sender can apply a change to the upstreams that it has. Absent in requests of earlier builds. */
  readonly acceptsDeltas?: boolean;
  /** Upstreams that told the sender that they are leaving. Absent in requests of earlier builds. */
  readonly leaving?: readonly UpstreamIncarnation[];
  /** Limits that the sender knows and the control VM does not state. Absent in requests of earlier builds. */
  readonly limits?: readonly LimitObservation[];
  /** Crashes under calls that the control VM may not know. Absent in requests of earlier builds. */
  readonly crashes?: readonly CrashRecord[];
  /** The crashes under calls that the sender received last. Absent in requests of earlier builds. */
  readonly crashRevision?: CrashRevision;
}

/** One incarnation of an upstream. */
export interface UpstreamIncarnation {
  readonly id: string;
  readonly bornMs: Milliseconds;
}

/** The requests per second that an upstream named in a response, null for no limit, and how long ago. */
export interface LimitObservation extends UpstreamIncarnation {
  readonly perSecond: number | null;
  readonly ageMs: Milliseconds;
}

/** The revision of the upstreams within one incarnation of one control VM. */
export interface FleetRevision {
  readonly epoch: string;
  readonly revision: number;
}

/** The active state at a control VM; null fields are unchanged for the sender of the request. */
export interface FollowReply {
  /** False if the control VM does not reach a quorum; others may then have newer state. */
  readonly current: boolean;
  /** Whether no newer configuration can have been acknowledged before the request. */
  readonly confirmed: boolean;
  /** Present if it is newer than the sender's. */
  readonly configuration: RoutingConfiguration | null;
  /** Present if it differs from the sender's. */
  readonly fleet: {
    readonly revision: FleetRevision;
    /** False if the control VM has not run long enough to have received a heartbeat of every upstream. */
    readonly complete: boolean;
    /** All upstreams, or with `since` those that changed. */
    readonly upstreams: readonly FleetUpstream[];
    /** Revision of the sender to which this is a change; absent if `upstreams` are all. */
    readonly since?: number;
    /** With `since`: upstreams that are no longer listed. */
    readonly removed?: readonly string[];
  } | null;
  readonly placement: {
    readonly revision: number;
    readonly placement: Placement;
  } | null;
  /** Control and store VMs that were observed recently; null if the digest of the request is theirs. */
  readonly nodes: readonly FleetNode[] | null;
  readonly nodesDigest: string;
  /** Crashes under calls that are news to the sender; absent if there are none, and in replies of earlier builds. */
  readonly crashes?: {
    readonly revision: CrashRevision;
    readonly records: readonly CrashRecord[];
  };
}

/** A message between control VMs. */
export type FleetNotice =
  | { readonly kind: "beats"; readonly beats: readonly AgedHeartbeat[] }
  | {
    readonly kind: "leave";
    readonly id: string;
    readonly bornMs: Milliseconds | null;
  }
  /** Upstreams that are leaving and want no further calls. */
  | {
    readonly kind: "draining";
    readonly upstreams: readonly UpstreamIncarnation[];
  }
  /** Departures that the sender knows, among them those of the control log. */
  | { readonly kind: "departures"; readonly departures: readonly Departure[] }
  /** Limits that upstreams named in responses. */
  | {
    readonly kind: "limits";
    readonly limits: readonly LimitObservation[];
  }
  /** Crashes under calls. */
  | {
    readonly kind: "crashes";
    readonly records: readonly CrashRecord[];
  }
  | {
    readonly kind: "nodes";
    readonly nodes: readonly ObservedNode[];
    /** Whether the sender requests all heartbeats, because it has just started. */
    readonly askBeats: boolean;
  };

const noticeKind = z.object({
  kind: z.enum([
    "beats",
    "leave",
    "draining",
    "departures",
    "limits",
    "crashes",
    "nodes",
  ]),
});
const followKind = z.object({
  kind: z.literal("follow"),
  node: z.object({ vm: z.string(), role: z.string() }),
});

/** Checks the outer structure of a message between control VMs; returns undefined if it is malformed. */
export function parseFleetNotice(body: unknown): FleetNotice | undefined {
  if (!noticeKind.safeParse(body).success) return undefined;
  return body as FleetNotice;
}

/** Checks the outer structure of a follow request; returns undefined if it is malformed. */
export function parseFollowRequest(body: unknown): FollowRequest | undefined {
  if (!followKind.safeParse(body).success) return undefined;
  return body as FollowRequest;
}
