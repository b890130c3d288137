import assert from "node:assert/strict";
import { test } from "node:test";
import type { FleetNode, Placement } from "#core";
import {
  initialStoreGroup,
  isOnHostOfLeader,
  isRetirementComplete,
  nextPlacement,
  type ObservedNode,
} from "./placement_plan.ts";

const CONTROLS = ["c1:1", "c2:1", "c3:1"];

function createNode(
  vm: string,
  zone: string,
  change: Partial<FleetNode> & { readonly ageMs?: number } = {},
): ObservedNode {
  const { ageMs = 0, ...rest } = change;
  return {
    ageMs,
    node: {
      vm,
      name: `name-${vm}`,
      role: vm.startsWith("c") ? "control" : "store",
      zone,
      startedMs: 0,
      firstStart: true,
      leads: false,
      term: 0,
      voters: [],
      asked: [],
      ...rest,
    },
  };
}

const CONTROL_NODES = CONTROLS.map((vm, index) => createNode(vm, `z${index}`));

function planNext(
  placement: Partial<Placement>,
  nodes: readonly ObservedNode[],
): Placement | undefined {
  return nextPlacement({
    placement: { controls: CONTROLS, stores: [], retiring: [], ...placement },
    nodes: [...CONTROL_NODES, ...nodes],
    controlVoters: CONTROLS,
    replicas: 3,
    lostAfterMs: 2_500,
  });
}

test("the group of the batch log is formed once enough store VMs are in their first start, one in each zone", () => {
  const two = [createNode("s1:1", "z1"), createNode("s2:1", "z2")];
  assert.equal(planNext({}, two), undefined);
  const late = createNode("s3:1", "z3", { firstStart: false });
  assert.equal(planNext({}, [...two, late]), undefined);
  const all = [...two, createNode("s1b:1", "z1"), createNode("s3:1", "z3")];
  assert.deepEqual(planNext({}, all)?.stores, ["s1:1", "s2:1", "s3:1"]);
});

test("a lost replica is replaced only if there is a live spare VM", () => {
  const stores = ["s1:1", "s2:1", "s3:1"];
  const nodes = [
    createNode("s1:1", "z1"),
    createNode("s2:1", "z2"),
    createNode("s3:1", "z3", { ageMs: 3_000 }),
  ];
  assert.equal(planNext({ stores }, nodes), undefined);
  const spare = createNode("s4:1", "z3", { firstStart: false });
  assert.deepEqual(planNext({ stores }, [...nodes, spare])?.stores, [
    "s1:1",
    "s2:1",
    "s4:1",
  ]);
});

test("a retiring store VM is replaced, and its retirement completes once the group has settled without it", () => {
  const before: Placement = {
    controls: CONTROLS,
    stores: ["s1:1", "s2:1", "s3:1"],
    retiring: ["s2:1"],
  };
  const nodes = ["s1:1", "s2:1", "s3:1", "s4:1"].map((vm, index) =>
    createNode(vm, `z${index}`)
  );
  const after = planNext(before, nodes);
  assert.deepEqual(after?.stores, ["s1:1", "s3:1", "s4:1"]);
  const placement = { ...before, stores: after?.stores ?? [] };
  const leader = (voters: readonly string[]) => [
    ...nodes,
    createNode("s1:1", "z0", { leads: true, term: 2, voters }),
  ];
  const unsettled = leader(["s1:1", "s2:1", "s3:1", "s4:1"]);
  assert.equal(
    isRetirementComplete("s2:1", {
      placement,
      nodes: unsettled,
      controlVoters: CONTROLS,
    }),
    false,
  );
  const settled = leader(["s1:1", "s3:1", "s4:1"]);
  assert.equal(
    isRetirementComplete("s2:1", {
      placement,
      nodes: settled,
      controlVoters: CONTROLS,
    }),
    true,
  );
  assert.equal(
    isRetirementComplete("s2:1", {
      placement: before,
      nodes: settled,
      controlVoters: CONTROLS,
    }),
    false,
  );
});

test("a control VM at a new address replaces one that is lost", () => {
  const nodes = [
    createNode("c1:1", "z0", { ageMs: 9_000 }),
    createNode("c2:1", "z1"),
    createNode("c3:1", "z2"),
    createNode("c4:1", "z0", { firstStart: false }),
  ];
  const next = nextPlacement({
    placement: { controls: CONTROLS, stores: [], retiring: [] },
    nodes,
    controlVoters: CONTROLS,
    replicas: 3,
    lostAfterMs: 2_500,
  });
  assert.deepEqual(next?.controls, ["c2:1", "c3:1", "c4:1"]);
});

test("a retiring machine also loses its control replica, and its retirement does not complete before that", () => {
  const controls = ["m1:1", "m2:1", "m3:1"];
  const stores = ["m1:2", "m2:2", "m3:2"];
  const machines = ["m1", "m2", "m3", "m4"];
  const nodes = machines.flatMap((machine, index) => [
    createNode(`${machine}:1`, `z${index}`, { role: "control" }),
    createNode(`${machine}:2`, `z${index}`, { role: "store" }),
  ]);
  const input = {
    nodes,
    controlVoters: controls,
    replicas: 3,
    lostAfterMs: 2_500,
  };
  const retiring = ["m2:2"];
  const first = nextPlacement({
    ...input,
    placement: { controls, stores, retiring },
  });
  assert.deepEqual(first?.controls, ["m1:1", "m3:1", "m4:1"]);
  assert.ok(first);
  const second = nextPlacement({ ...input, placement: first });
  assert.deepEqual(second?.stores, ["m1:2", "m3:2", "m4:2"]);
  assert.ok(second);
  const observed = [
    ...nodes,
    createNode("m1:2", "z0", {
      role: "store",
      leads: true,
      term: 3,
      voters: second.stores,
    }),
  ];
  const isRetired = (controlVoters: readonly string[]): boolean =>
    isRetirementComplete("m2:2", {
      placement: second,
      nodes: observed,
      controlVoters,
    });
  assert.equal(isRetired(controls), false);
  assert.equal(isRetired(second.controls), true);
});

test("the batch log is first led by another machine than the control log, whose first VM leads", () => {
  const { voters, coordinator } = initialStoreGroup(["c:2", "a:2", "b:2"]);
  assert.deepEqual(voters, ["a:2", "b:2", "c:2"]);
  assert.equal(coordinator, "c:2");
});

test("a VM is on the host of the leader with the highest term only", () => {
  const nodes = [
    createNode("c1:1", "z0", { leads: true, term: 3 }).node,
    createNode("c2:1", "z1", { leads: true, term: 4 }).node,
  ];
  const control = { nodes, role: "control" } as const;
  assert.equal(isOnHostOfLeader("c2:2", control), true);
  assert.equal(isOnHostOfLeader("c1:2", control), false);
});
