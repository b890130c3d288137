import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "#core";
import { encodeVoterChange, type Voter } from "./entries.ts";
import { LeaderRole } from "./leader_role.ts";
import { ReplicaState } from "./replica_state.ts";
import { DEFAULT_TIMING } from "./timing.ts";
import { VoterManager } from "./voter_manager.ts";

const INSTANT = { nowMs: 10_000, wallMs: 0 };

function votersOn(...vms: readonly string[]): readonly Voter[] {
  return vms.map((vm) => ({ replica: `replica-${vm}`, vm }));
}

/** Returns what the leader on VM a does once a voter change is committed. */
function tickLeader(after: readonly Voter[]): "handover" | "none" {
  const body = encodeVoterChange({ before: [], after });
  const state = new ReplicaState({
    vm: "a",
    recovered: {
      identity: "replica-a",
      isNew: false,
      hard: { term: 1, votedFor: null, group: "g", committedSeatsIndex: 1 },
      base: { index: 0, term: 0 },
      entries: [{ index: 1, term: 1, atMs: 0, kind: "seats", body }],
      snapshot: null,
    },
    timing: DEFAULT_TIMING,
    random: new SeededRandom(1),
    nowMs: INSTANT.nowMs,
  });
  const leaderRole = new LeaderRole(state, {
    instant: INSTANT,
    lastEntryAtMs: 0,
    onUnreadable: () => {},
  });
  const manager = new VoterManager(state, {
    leaderRole,
    peers: () => ["a", "b", "c"],
    report: () => {},
  });
  state.commit(leaderRole.barrierIndex);
  return manager.tick(INSTANT);
}

test("a leader that is no voter steps down, so that the next leader can make it one", () => {
  assert.equal(tickLeader(votersOn("b", "c", "d")), "handover");
});

test("a leader that is one of the voters of the listed VMs continues", () => {
  assert.equal(tickLeader(votersOn("a", "b", "c")), "none");
});
