/**
 * What a process holds in memory, stated by the components that hold it.
 *
 * @module
 */
import type { Bytes } from "./units.ts";

/** What a process holds, in bytes. The names are fields of log events and labels of metrics. */
export type HeldBytesName =
  /** Bodies of the log entries in memory. */
  | "log"
  /** Newest snapshot on the disk. */
  | "snapshot"
  /** Replicated state, roughly; see `StateMachine.stateBytes`. */
  | "state"
  /** Data that waits to be sent on peer connections. */
  | "unsent_to_peers";

/** What a process holds, in numbers. The names are fields of log events and labels of metrics. */
export type HeldCountName =
  | "log_entries"
  | "open_batches"
  | "items_in_progress"
  | "peer_connections"
  | "caller_connections"
  | "upstreams"
  /** Upstreams of services that the configuration does not name. */
  | "unnamed_upstreams"
  | "vms";

/** Sizes of what a process holds; those that don't apply to its role are absent. */
export interface HeldSizes {
  readonly bytes: Readonly<Partial<Record<HeldBytesName, Bytes>>>;
  readonly counts: Readonly<Partial<Record<HeldCountName, number>>>;
}

/** A process or component that states what it holds in memory. */
export abstract class MemoryHolder {
  /** Returns the present sizes; takes time in proportion to the number of objects held. */
  abstract heldSizes(): HeldSizes;
}
