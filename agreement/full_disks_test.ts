import assert from "node:assert/strict";
import { test } from "node:test";
import type { Milliseconds } from "#core";
import { SimulatedGroup, type SimulatedVm } from "./simulated_group.ts";

const FULL_MS: Milliseconds = 3_000;
const PROPOSAL_INTERVAL_MS: Milliseconds = 50;
/** Time within which a change must be acknowledged in calm. */
const ACKNOWLEDGEMENT_MS: Milliseconds = 4_000;
const SEEDS = 5;
const GROUPS = [["a", "b", "c"], ["a", "b", "c", "d", "e"]];

/** What has no space on a full disk. */
const FULL_FOR = {
  "every change": () => false,
  "the log": (name: string) => !name.includes("log"),
  "snapshots": (name: string) => !name.includes("snapshot"),
} as const;

function leadingVm(group: SimulatedGroup): SimulatedVm | undefined {
  const leader = group.leader();
  return group.vms.find((vm) => vm.process === leader && leader !== undefined);
}

/** Proposes changes for a time; returns how many were acknowledged. */
async function propose(
  group: SimulatedGroup,
  spanMs: Milliseconds,
): Promise<number> {
  const before = group.oracle.acknowledgedCount;
  for (let passedMs = 0; passedMs < spanMs; passedMs += PROPOSAL_INTERVAL_MS) {
    const vm = leadingVm(group);
    if (vm !== undefined) group.propose(vm);
    await group.run(PROPOSAL_INTERVAL_MS);
  }
  return group.oracle.acknowledgedCount - before;
}

/** Fills the disk of the VM that leads, then of others, one after the other, each once. */
async function fillInTurn(
  group: SimulatedGroup,
  hasSpace: (name: string) => boolean,
): Promise<readonly number[]> {
  const left = new Set(group.vms);
  const acknowledged: number[] = [];
  while (left.size > 0) {
    const leading = leadingVm(group);
    const vm = leading !== undefined && left.has(leading)
      ? leading
      : [...left][0];
    if (vm === undefined) break;
    left.delete(vm);
    const { hasSpace: hadSpace } = vm.disk;
    vm.disk.hasSpace = hasSpace;
    acknowledged.push(await propose(group, FULL_MS));
    vm.disk.hasSpace = hadSpace;
    group.start(vm);
  }
  return acknowledged;
}

for (const [what, hasSpace] of Object.entries(FULL_FOR)) {
  for (const vms of GROUPS) {
    test(`changes are acknowledged while and after the disks of ${vms.length} replicas have no space for ${what}, one after the other`, async () => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const group = new SimulatedGroup({ seed, vms });
        await group.startAll();
        const acknowledged = await fillInTurn(group, hasSpace);
        const seen = `seed ${seed}: ${acknowledged.join(", ")}`;
        assert.ok(acknowledged.every((count) => count > 0), seen);
        await group.run(ACKNOWLEDGEMENT_MS);
        const before = group.oracle.acknowledgedCount;
        await propose(group, ACKNOWLEDGEMENT_MS);
        await group.run(ACKNOWLEDGEMENT_MS);
        const after = group.oracle.acknowledgedCount - before;
        const proposals = ACKNOWLEDGEMENT_MS / PROPOSAL_INTERVAL_MS;
        assert.equal(after, proposals, `${seen}, then ${after}`);
      }
    });
  }
}
