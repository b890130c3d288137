/**
 * Interface of the replicated log for the programs.
 *
 * @module
 */
import { ControlPort } from "#core";

/** Status of a replica. */
export interface LogStatus {
  /** Identity of the replica, generated when its data folder was created. */
  readonly replica: string;
  readonly role: "leader" | "follower" | "candidate" | "learner";
  readonly term: number;
  /** VM name of the leader; null while none is known. */
  readonly leader: string | null;
  readonly committedIndex: number;
  readonly appliedIndex: number;
  /**
   * Whether this replica leads with a valid lease or has received a leader's message recently. False for
   * a replica that was removed from the voters, since no leader sends to it.
   */
  readonly hearsLeader: boolean;
  /** VM names of the voters. */
  readonly voters: readonly string[];
  /** Whether this replica is a voter and has caught up since its start. */
  readonly ready: boolean;
}

/**
 * Replica of the log. `propose` and `query` succeed on the leader only; other replicas return `not_leader`
 * with the leader's VM name, if known, as `detail`.
 */
export abstract class ReplicatedLog extends ControlPort {
  /** Opens the data folder, recovers the state and joins the group. */
  abstract start(): Promise<void>;
  /** Transfers leadership if this replica leads, finishes the write in progress and closes the folder. */
  abstract stop(): Promise<void>;
  /** Returns the status of this replica. */
  abstract status(): LogStatus;
  /**
   * Returns the time on the monotonic clock until which this replica may act as leader; 0 if it may not.
   * Work that must not overlap with another leader's, such as orders, must check this right before it acts.
   */
  abstract leaseUntilMs(): number;
  /** Calls `listener` after each applied entry or restored snapshot; returns a function to unsubscribe. */
  abstract onApplied(listener: (index: number) => void): () => void;
}
