/**
 * Time limits of the replicated log.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Time limits; `electionMinimumMs` must exceed `leaseMs` by more than the clock drift between VMs. */
export interface LogTiming {
  /** Interval of the heartbeats with which the leader renews its lease. */
  readonly heartbeatMs: Milliseconds;
  /** Duration of the lease, counted from when the renewing heartbeat was sent. */
  readonly leaseMs: Milliseconds;
  /** How long a voter rejects other candidates after it received a message of the leader. */
  readonly electionMinimumMs: Milliseconds;
  /** Maximum of the random addition to `electionMinimumMs` after which a voter starts an election. */
  readonly electionSpreadMs: Milliseconds;
  /** How long a proposal waits for its outcome. */
  readonly proposalTimeoutMs: Milliseconds;
}

/** Default time limits. */
export const DEFAULT_TIMING: LogTiming = {
  heartbeatMs: 250,
  leaseMs: 900,
  electionMinimumMs: 1_000,
  electionSpreadMs: 1_000,
  proposalTimeoutMs: 5_000,
};

/** Time limits for VMs with low latency between them, where a log without a leader affects requests at once. */
export const SHORT_TIMING: LogTiming = {
  heartbeatMs: 100,
  leaseMs: 300,
  electionMinimumMs: 370,
  electionSpreadMs: 230,
  proposalTimeoutMs: 3_000,
};
