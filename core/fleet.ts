/**
 * State of the upstreams and VMs, which the control VMs distribute to the other VMs.
 *
 * @module
 */
import type { Address } from "./bundle.ts";
import type { Milliseconds } from "./units.ts";
import type { ServedVersion } from "./upstream.ts";

/** Lifecycle phase of an upstream; only a `ready` one receives new requests. */
export type UpstreamPhase = "ready" | "draining" | "gone";

/** An upstream as described by its latest heartbeat. */
export interface FleetUpstream {
  readonly id: string;
  /** Start time of this incarnation, in Unix milliseconds. */
  readonly bornMs: Milliseconds;
  /** Increases with each heartbeat of an incarnation. */
  readonly sequence: number;
  readonly service: string;
  readonly zone: string;
  readonly address: Address;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  readonly phase: UpstreamPhase;
  readonly serves: readonly ServedVersion[];
  /** Version of its software; absent if it is unknown, as from control VMs of earlier builds. */
  readonly softwareVersion?: string;
  /**
   * Requests per second that it accepts from all VMs together. Null if it names no limit any more; absent if this
   * incarnation has never named one.
   */
  readonly requestLimit?: number | null;
  /** Whether it is a spot upstream, which may be reclaimed at short notice; absent if not. */
  readonly isSpot?: true;
}

/** Work of batches for one service, as the leading store VM knows it. */
export interface ServiceLoad {
  readonly service: string;
  /** Items that wait for an upstream. */
  readonly queued: number;
  readonly running: number;
  /** Estimated number of slots with which all items that still can be complete by their due times are. */
  readonly neededSlots: number;
}

/** Role of a VM of the system. */
export type FleetRole = "entry" | "control" | "store";

/** A VM as described by its own reports. */
export interface FleetNode {
  /** Peer address, `IP:PORT`; identifies the process among its peers. */
  readonly vm: string;
  /** Name of the VM for operators. */
  readonly name: string;
  readonly role: FleetRole;
  readonly zone: string;
  /** Start time of the process, in Unix milliseconds. */
  readonly startedMs: Milliseconds;
  /** Whether the VM took part in the first start of the system. */
  readonly firstStart: boolean;
  /** Whether the VM is the leader of its group; `term` is its term. */
  readonly leads: boolean;
  readonly term: number;
  /** Voters of its group as known to this VM. */
  readonly voters: readonly string[];
  /** On the leader of the store VMs: for each model, the oldest version that its newest batch may use. */
  readonly asked: readonly ServedVersion[];
  /**
   * On the leader of the store VMs: the work for each service whose engines can be ordered. Absent if there is no such
   * service, on other VMs, and in reports of earlier builds.
   */
  readonly load?: readonly ServiceLoad[];
}

/** Placement of the replicas of the replicated logs. */
export interface Placement {
  readonly controls: readonly string[];
  /** Replicas of the batch log; empty until their group has been formed. */
  readonly stores: readonly string[];
  /** Store VMs that are being retired and emptied. */
  readonly retiring: readonly string[];
}

/** Returns an identifier of one incarnation of an upstream. */
export function incarnationOf(upstream: FleetUpstream): string {
  return `${upstream.id}:${upstream.bornMs}`;
}

/** Returns the IP address of a peer address; processes on one machine share it. */
export function hostOf(vm: string): string {
  return vm.slice(0, vm.lastIndexOf(":"));
}
