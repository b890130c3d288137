/**
 * Messages on the `fleet` channel: VMs follow what is in force at a control VM, control VMs tell each other
 * of heartbeats and VMs.
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
import type { AgedHeartbeat } from "./fleet_table.ts";
import type { ObservedNode } from "./placement_plan.ts";

/** Asks for what is newer than what the sender has; answered when there is something, or when the wait ends. */
export interface FollowRequest {
  readonly kind: "follow";
  readonly node: FleetNode;
  /** Version of the configuration in force at the sender, or 0. */
  readonly configurationVersion: number;
  /** Epoch and revision of the upstreams that the sender has. */
  readonly fleet: FleetRevision | null;
  readonly placementRevision: number;
  /** Whether the answer must hold the newest configuration for certain. */
  readonly confirm: boolean;
  readonly waitMs: Milliseconds;
}

/** The revision of a table of upstreams, in one life of one control VM. */
export interface FleetRevision {
  readonly epoch: string;
  readonly revision: number;
}

/** What is in force. */
export interface FollowReply {
  /** False from a control VM that hears no quorum: others may know newer things. */
  readonly current: boolean;
  /** Whether no newer configuration can have been acknowledged before the request. */
  readonly confirmed: boolean;
  /** Given if newer than the sender's. */
  readonly configuration: RoutingConfiguration | null;
  /** Given if it differs from the sender's. */
  readonly fleet: {
    readonly revision: FleetRevision;
    /** False for a control VM that has not listened long enough to know all. */
    readonly complete: boolean;
    readonly upstreams: readonly FleetUpstream[];
  } | null;
  readonly placement: {
    readonly revision: number;
    readonly placement: Placement;
  } | null;
  /** Control and store VMs that were heard of lately. */
  readonly nodes: readonly FleetNode[];
}

/** What control VMs tell each other. */
export type FleetNotice =
  | { readonly kind: "beats"; readonly beats: readonly AgedHeartbeat[] }
  | {
    readonly kind: "leave";
    readonly id: string;
    readonly bornMs: Milliseconds | null;
  }
  | {
    readonly kind: "nodes";
    readonly nodes: readonly ObservedNode[];
    /** Asks for all heartbeats: the sender has just started. */
    readonly askBeats: boolean;
  };

const noticeKind = z.object({ kind: z.enum(["beats", "leave", "nodes"]) });
const followKind = z.object({
  kind: z.literal("follow"),
  node: z.object({ vm: z.string(), role: z.string() }),
});

/** Checks the outer shape of a notice; undefined if it is none. */
export function parseFleetNotice(body: unknown): FleetNotice | undefined {
  if (!noticeKind.safeParse(body).success) return undefined;
  return body as FleetNotice;
}

/** Checks the outer shape of a request; undefined if it is none. */
export function parseFollowRequest(body: unknown): FollowRequest | undefined {
  if (!followKind.safeParse(body).success) return undefined;
  return body as FollowRequest;
}
