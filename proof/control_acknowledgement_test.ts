import assert from "node:assert/strict";
import { test } from "node:test";
import type { Milliseconds } from "#core";
import { type ControlVm, ControlWorld } from "./control_world.ts";

/** Within which a change must be acknowledged. */
const ACKNOWLEDGEMENT_MS: Milliseconds = 5_000;

/** What happens to the leader and, if `others` is not 0, to further voters at the same moment. */
interface Fault {
  readonly kind: "freeze" | "kill" | "cut";
  readonly others: number;
}

const FAULTS: readonly Fault[] = [
  { kind: "freeze", others: 0 },
  { kind: "freeze", others: 1 },
  { kind: "kill", others: 1 },
  { kind: "cut", others: 1 },
];
const SITES = [
  { vms: 10, zones: 4, losses: 2, seeds: [1, 2, 3, 4, 5, 6] },
  { vms: 30, zones: 5, losses: 2, seeds: [1] },
];

function begin(
  world: ControlWorld,
  vms: readonly ControlVm[],
  fault: Fault,
): void {
  for (const vm of vms) {
    if (fault.kind === "freeze") world.freeze(vm);
    if (fault.kind === "kill") world.kill(vm);
    if (fault.kind === "cut") world.cutOff(vm);
  }
}

for (const { seeds, ...site } of SITES) {
  for (const fault of FAULTS) {
    const name =
      `a change sent to ${site.vms} control VMs right after the loss of the leader (${fault.kind}) and ${fault.others} other voters is acknowledged in time`;
    test(name, async () => {
      for (const seed of seeds) {
        const world = new ControlWorld({ ...site, seed });
        await world.start();
        void world.change(1);
        await world.run(ACKNOWLEDGEMENT_MS);
        // Every VM has asked the leader before.
        for (const vm of world.vms) void world.read(vm);
        await world.run(1_000);
        const leader = world.leader();
        assert.ok(leader !== undefined, "no leader");
        const others = world.voters().filter((each) => each !== leader);
        const lost = [leader, ...others.slice(0, fault.others)];
        begin(world, lost, fault);
        let tookMs: Milliseconds | undefined;
        void world.change(2).then((ms) => tookMs = ms);
        await world.run(ACKNOWLEDGEMENT_MS);
        assert.ok(tookMs !== undefined, `seed ${seed}: not acknowledged`);
      }
    });
  }
}
