/**
 * Checks whether a replica may accept proposals and queries.
 *
 * @module
 */
import { fail, type Failure, type Milliseconds } from "#core";
import { notLeader } from "./proposals.ts";
import type { Replica } from "./replica.ts";

const NO_QUORUM_RETRY_MS: Milliseconds = 1_000;
const NOT_READY_RETRY_MS: Milliseconds = 100;
const FULL_LOG_RETRY_MS: Milliseconds = 1_000;

/** Returns why a replica rejects a request, or undefined if it accepts it; a rejected request is never run. */
export function requestRejection(
  replica: Replica | undefined,
  nowMs: Milliseconds,
): Failure | undefined {
  if (replica === undefined) {
    return fail("not_ready", "the replica is not running");
  }
  if (replica.leaderRole === undefined) {
    return notLeader(replica.state.leader?.vm ?? null);
  }
  if (replica.leaseUntilMs(nowMs) > 0) return undefined;
  return fail("no_quorum", "the leader can't reach a majority of the voters", {
    retryAfterMs: NO_QUORUM_RETRY_MS,
  });
}

/** Returns why a replica rejects a command, or undefined if it accepts it; a rejected command is never run. */
export function proposalRejection(
  replica: Replica | undefined,
  nowMs: Milliseconds,
): Failure | undefined {
  const rejection = requestRejection(replica, nowMs);
  if (rejection !== undefined || replica?.state.isLogFull !== true) {
    return rejection;
  }
  const message = "the log is full, since its snapshot can't be written";
  return fail("not_ready", message, { retryAfterMs: FULL_LOG_RETRY_MS });
}

/** Returns why a replica's state may lack acknowledged commands, or undefined if it contains all of them. */
export function catchUpFailure(
  replica: Replica | undefined,
  appliedIndex: number,
): Failure | undefined {
  const leaderRole = replica?.leaderRole;
  if (leaderRole === undefined) return notLeader(null);
  const caughtUp = appliedIndex >= leaderRole.barrierIndex;
  if (leaderRole.hasCommittedInTerm && caughtUp) return undefined;
  return fail("not_ready", "the leader is still catching up", {
    retryAfterMs: NOT_READY_RETRY_MS,
  });
}
