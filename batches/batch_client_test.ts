import assert from "node:assert/strict";
import { test } from "node:test";
import type { FleetNode } from "#core";
import { leaderCandidates } from "./batch_client.ts";

const REPLICAS = ["s1", "s2", "s3", "s4", "s5"];

function storeVm(vm: string, change: Partial<FleetNode> = {}): FleetNode {
  return {
    vm,
    name: vm,
    role: "store",
    zone: "z",
    startedMs: 0,
    firstStart: true,
    leads: false,
    term: 0,
    voters: [],
    asked: [],
    ...change,
  };
}

test("of thirty store VMs only the replicas of the batch log are asked for its leader, the leader of the highest term first", () => {
  const nodes = Array.from({ length: 30 }, (_, at) => storeVm(`s${at + 1}`));
  nodes.push(storeVm("s3", { leads: true, term: 4 }));
  nodes.push(storeVm("s5", { leads: true, term: 7 }));
  assert.deepEqual(leaderCandidates(nodes, REPLICAS), [
    "s5",
    "s1",
    "s2",
    "s3",
    "s4",
  ]);
});

test("without a placement all store VMs are asked", () => {
  const nodes = [storeVm("s1"), storeVm("s2")];
  assert.deepEqual(leaderCandidates(nodes, []), ["s1", "s2"]);
});
