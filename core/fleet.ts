/**
 * Upstreams and VMs as the control VMs spread them.
 *
 * @module
 */
import type { Address } from "./bundle.ts";
import type { Milliseconds } from "./units.ts";
import type { ServedVersion } from "./upstream.ts";

/** Whether an upstream takes new work: `draining` and `gone` ones get none. */
export type UpstreamPhase = "ready" | "draining" | "gone";

/** An upstream as its last heartbeat tells. */
export interface FleetUpstream {
  readonly id: string;
  /** Start of this incarnation, Unix milliseconds. */
  readonly bornMs: Milliseconds;
  /** Grows with each heartbeat of an incarnation. */
  readonly sequence: number;
  readonly service: string;
  readonly zone: string;
  readonly address: Address;
  /** Requests it runs at once. */
  readonly slots: number;
  readonly phase: UpstreamPhase;
  readonly serves: readonly ServedVersion[];
}

/** What a VM of the system does. */
export type FleetRole = "entry" | "control" | "store";

/** A VM as it tells of itself. */
export interface FleetNode {
  /** Peer address, `IP:PORT`; names the process among its peers. */
  readonly vm: string;
  /** Name that operators use. */
  readonly name: string;
  readonly role: FleetRole;
  readonly zone: string;
  /** Start of the process, Unix milliseconds. */
  readonly startedMs: Milliseconds;
  /** True for a VM of the first start of the whole system. */
  readonly firstStart: boolean;
  /** Whether it leads the log of its group, and in which term. */
  readonly leads: boolean;
  readonly term: number;
  /** VMs that vote in its group as it knows them. */
  readonly voters: readonly string[];
  /** On the leading store VM: the oldest version that the newest batch of each model may use. */
  readonly asked: readonly ServedVersion[];
}

/** Which VMs keep the replicated logs. */
export interface Placement {
  readonly controls: readonly string[];
  /** Replicas of the batch log; empty until the group is formed. */
  readonly stores: readonly string[];
  /** Store VMs that are being emptied. */
  readonly retiring: readonly string[];
}

/** Names one life of an upstream. */
export function incarnationOf(upstream: FleetUpstream): string {
  return `${upstream.id}:${upstream.bornMs}`;
}

/** The IP address in a peer address: processes of one machine have it in common. */
export function hostOf(vm: string): string {
  return vm.slice(0, vm.lastIndexOf(":"));
}
