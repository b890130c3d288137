import assert from "node:assert/strict";
import { test } from "node:test";
import { SeededRandom } from "#core";
import { SimulatedGroup } from "./simulated_group.ts";
import { SHORT_TIMING } from "./timing.ts";

const VMS = ["a", "b", "c"];
const SEEDS = 200;
const LATEST_LOSS_MS = 600;
const LONGEST_DOWN_MS = 1_500;
const SETTLE_MS = 8_000;

/** Starts a group for the first time, of which one VM is lost meanwhile; returns whether it serves in the end. */
async function servesAfterLoss(
  seed: number,
  { at, losesDisk }: { readonly at: number; readonly losesDisk: boolean },
): Promise<boolean> {
  const random = new SeededRandom(seed);
  const group = new SimulatedGroup({ seed, vms: VMS, timing: SHORT_TIMING });
  group.network.links = {
    minimumDelayMs: 0.5,
    maximumDelayMs: 1 + 200 * random.fraction(),
    dropChance: 0.1 * random.fraction(),
    duplicateChance: 0.1 * random.fraction(),
  };
  for (const vm of group.vms) group.start(vm, true);
  const lost = group.vm(at);
  const steps = 1 + random.below(20);
  for (let step = 0; step < steps; step += 1) {
    await group.run(random.fraction() * LATEST_LOSS_MS / steps);
    // What is acknowledged before the loss has to be there afterwards.
    group.propose(group.vm(random.below(VMS.length)));
  }
  if (losesDisk) group.loseDisk(lost);
  else group.crash(lost);
  await group.run(random.fraction() * LONGEST_DOWN_MS);
  group.start(lost);
  for (let step = 0; step < 20; step += 1) {
    await group.run(random.fraction() * 200);
    group.propose(group.vm(random.below(VMS.length)));
    group.query(group.vm(random.below(VMS.length)));
  }
  group.clearFaults();
  await group.run(SETTLE_MS);
  for (const vm of group.vms) group.query(vm);
  await group.run(1_000);
  return group.leader() !== undefined;
}

for (const losesDisk of [true, false]) {
  const how = losesDisk ? "loses its disk" : "is killed";
  for (const [at, vm] of VMS.entries()) {
    // Guards against a system that never starts to serve, as one VM was started again during its first start.
    test(`a group is formed though its VM ${vm} ${how} during the first start, and keeps what it acknowledged (fuzz, fixed seeds)`, async () => {
      for (let seed = 1; seed <= SEEDS; seed += 1) {
        const serves = await servesAfterLoss(seed, { at, losesDisk });
        assert.equal(serves, true, `seed ${seed}`);
      }
    });
  }
}
