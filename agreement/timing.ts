/**
 * Time limits of the replicated log.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Time limits; `leaseMs` must be shorter than `electionMinimumMs` by more than clocks drift apart. */
export interface LogTiming {
  /** How often the leader renews its lease. */
  readonly heartbeatMs: Milliseconds;
  /** How long after a renewal was sent the leader may act on it. */
  readonly leaseMs: Milliseconds;
  /** How long a voter that heard the leader refuses to elect another. */
  readonly electionMinimumMs: Milliseconds;
  /** Random addition to the time after which a voter tries to lead. */
  readonly electionSpreadMs: Milliseconds;
  /** How long a proposal waits for its outcome. */
  readonly proposalTimeoutMs: Milliseconds;
}

/** Time limits of the programs. */
export const DEFAULT_TIMING: LogTiming = {
  heartbeatMs: 250,
  leaseMs: 900,
  electionMinimumMs: 1_000,
  electionSpreadMs: 1_000,
  proposalTimeoutMs: 5_000,
};

/** Time limits where VMs are close to each other and a log without a leader is felt at once. */
export const SHORT_TIMING: LogTiming = {
  heartbeatMs: 100,
  leaseMs: 300,
  electionMinimumMs: 370,
  electionSpreadMs: 230,
  proposalTimeoutMs: 3_000,
};
