/**
 * A leader with a snapshot and the replies of a follower, for tests of transfers.
 *
 * @module
 */
import { type Bytes, KIBIBYTE, SeededRandom } from "#core";
import type { Voter } from "./entries.ts";
import { LeaderRole } from "./leader_role.ts";
import type { MessageOf } from "./messages.ts";
import { ReplicaState } from "./replica_state.ts";
import { PARTS_FORMAT, type SnapshotDescriptor } from "./stored_state.ts";
import { DEFAULT_TIMING } from "./timing.ts";

/** Name of the group. */
export const GROUP = "group";
/** Time at which the leader starts. */
export const NOW_MS = 10_000;
/** Three voters. */
export const VOTERS: readonly Voter[] = ["a", "b", "c"].map((vm) => ({
  replica: `replica-${vm}`,
  vm,
}));
/** The replica that gets the snapshot. */
export const FOLLOWER = VOTERS[1] as Voter;

/** The snapshot of the leader. */
export const SNAPSHOT: SnapshotDescriptor = {
  meta: {
    index: 5,
    term: 1,
    atMs: 0,
    seats: { index: 1, change: { before: [], after: VOTERS } },
  },
  bytes: 600 * KIBIBYTE,
  hash: "hash",
  format: PARTS_FORMAT,
};

/** Returns a replica whose log starts after its snapshot. */
export function createState(maximumLogBytes: Bytes = Infinity): ReplicaState {
  return new ReplicaState({
    vm: "a",
    recovered: {
      identity: "replica-a",
      isNew: false,
      hard: { term: 1, votedFor: null, group: GROUP, committedSeatsIndex: 1 },
      base: { index: 5, term: 1 },
      entries: [],
      snapshot: SNAPSHOT,
    },
    timing: DEFAULT_TIMING,
    random: new SeededRandom(1),
    nowMs: NOW_MS,
    maximumLogBytes,
  });
}

/** Returns the reply of a follower whose log is empty. */
export function emptyReply(snapshotFormat?: number): MessageOf<"appendReply"> {
  const reply = {
    kind: "appendReply",
    group: GROUP,
    from: FOLLOWER.replica,
    to: "replica-a",
    term: 1,
    matched: false,
    index: 0,
    committedIndex: 0,
    sentMs: NOW_MS,
  } as const;
  return snapshotFormat === undefined ? reply : { ...reply, snapshotFormat };
}

/** Returns a leader, and the replicas that it reports as unable to read its snapshot. */
export function createLeader(): { leader: LeaderRole; unreadable: Voter[] } {
  const unreadable: Voter[] = [];
  const leader = new LeaderRole(createState(), {
    instant: { nowMs: NOW_MS, wallMs: 0 },
    lastEntryAtMs: 0,
    onUnreadable: (member) => unreadable.push(member),
  });
  leader.tick(NOW_MS);
  return { leader, unreadable };
}
