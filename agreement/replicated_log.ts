/**
 * The replicated log as the programs see it.
 *
 * @module
 */
import { ControlPort } from "#core";

/** What a replica tells of itself. */
export interface LogStatus {
  /** Identity of the replica, drawn when its data folder was created. */
  readonly replica: string;
  readonly role: "leader" | "follower" | "candidate" | "learner";
  readonly term: number;
  /** VM name of the leader, or null while none is known. */
  readonly leader: string | null;
  readonly committedIndex: number;
  readonly appliedIndex: number;
  /** Whether this replica leads under a lease, or has heard the leader lately: one whose seat was taken hears none. */
  readonly hearsLeader: boolean;
  /** VM names of the replicas that vote. */
  readonly voters: readonly string[];
  /** Whether this replica has caught up since its start and has a seat. */
  readonly ready: boolean;
}

/**
 * A replica of the log. `propose` and `query` succeed on the leader; elsewhere they fail with
 * `not_leader`, whose `detail` is the leader's VM name if known.
 */
export abstract class ReplicatedLog extends ControlPort {
  /** Opens the data folder, recovers, and takes part. */
  abstract start(): Promise<void>;
  /** Hands leadership over if held, syncs and closes. */
  abstract stop(): Promise<void>;
  /** The state of this replica. */
  abstract status(): LogStatus;
  /**
   * Until when this replica may act as leader, on its monotonic clock; 0 if it may not. Work that must
   * not overlap with another leader's, such as orders, checks this just before it acts.
   */
  abstract leaseUntilMs(): number;
  /** Calls `listener` after each applied entry; returns the function that ends this. */
  abstract onApplied(listener: (index: number) => void): () => void;
}
