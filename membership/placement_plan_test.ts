import assert from "node:assert/strict";
import { test } from "node:test";
import type { FleetNode, Placement } from "#core";
import { type HeardNode, isEmptied, nextPlacement } from "./placement_plan.ts";

const CONTROLS = ["c1", "c2", "c3"];

function node(
  vm: string,
  zone: string,
  change: Partial<FleetNode> & { readonly ageMs?: number } = {},
): HeardNode {
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

const CONTROL_NODES = CONTROLS.map((vm, at) => node(vm, `z${at}`));

function plan(
  placement: Partial<Placement>,
  nodes: readonly HeardNode[],
): Placement | undefined {
  return nextPlacement({
    placement: { controls: CONTROLS, stores: [], retiring: [], ...placement },
    nodes: [...CONTROL_NODES, ...nodes],
    controlVoters: CONTROLS,
    replicas: 3,
    lostMs: 2_500,
  });
}

test("the batch log is formed once enough store VMs of the first start are there, one in each zone", () => {
  const two = [node("s1", "z1"), node("s2", "z2")];
  assert.equal(plan({}, two), undefined);
  const late = node("s3", "z3", { firstStart: false });
  assert.equal(plan({}, [...two, late]), undefined);
  const all = [...two, node("s1b", "z1"), node("s3", "z3")];
  assert.deepEqual(plan({}, all)?.stores, ["s1", "s2", "s3"]);
});

test("a lost replica is replaced by a VM that lives, and only then", () => {
  const stores = ["s1", "s2", "s3"];
  const nodes = [
    node("s1", "z1"),
    node("s2", "z2"),
    node("s3", "z3", { ageMs: 3_000 }),
  ];
  assert.equal(plan({ stores }, nodes), undefined);
  const spare = node("s4", "z3", { firstStart: false });
  assert.deepEqual(plan({ stores }, [...nodes, spare])?.stores, [
    "s1",
    "s2",
    "s4",
  ]);
});

test("a VM that is to be emptied is replaced, and is empty once the group has settled without it", () => {
  const before: Placement = {
    controls: CONTROLS,
    stores: ["s1", "s2", "s3"],
    retiring: ["s2"],
  };
  const nodes = ["s1", "s2", "s3", "s4"].map((vm, at) => node(vm, `z${at}`));
  const after = plan(before, nodes);
  assert.deepEqual(after?.stores, ["s1", "s3", "s4"]);
  const placement = { ...before, stores: after?.stores ?? [] };
  const leader = (voters: readonly string[]) => [
    ...nodes,
    node("s1", "z0", { leads: true, term: 2, voters }),
  ];
  const during = leader(["s1", "s2", "s3", "s4"]);
  assert.equal(isEmptied("s2", { placement, nodes: during }), false);
  const settled = leader(["s1", "s3", "s4"]);
  assert.equal(isEmptied("s2", { placement, nodes: settled }), true);
  assert.equal(isEmptied("s2", { placement: before, nodes: settled }), false);
});

test("a control VM at a new address takes the seat of one that is lost", () => {
  const nodes = [
    node("c1", "z0", { ageMs: 9_000 }),
    node("c2", "z1"),
    node("c3", "z2"),
    node("c4", "z0", { firstStart: false }),
  ];
  const next = nextPlacement({
    placement: { controls: CONTROLS, stores: [], retiring: [] },
    nodes,
    controlVoters: CONTROLS,
    replicas: 3,
    lostMs: 2_500,
  });
  assert.deepEqual(next?.controls, ["c2", "c3", "c4"]);
});
