import assert from "node:assert/strict";
import { test } from "node:test";
import { PermitWorld } from "./permit_world.ts";

/** Sites as large as those that are served: number of senders. */
const SENDERS = [6, 58, 165];
const SEEDS = 4;
const SECONDS = 20;

for (const senders of SENDERS) {
  test(`no upstream gets more than its limit from ${senders} senders, whatever is lost, late, restarted or changed`, async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const world = new PermitWorld({ senders, seed });
      await world.run(SECONDS);
      const excess = world.worstExcess();
      assert.ok(excess === undefined, `seed ${seed}: ${excess}`);
    }
  });
}

test("what upstreams with limits can serve is used when more is asked for", async () => {
  for (const senders of SENDERS) {
    const world = new PermitWorld({ senders, seed: 7, faults: false });
    await world.run(SECONDS);
    const used = world.usedShare();
    assert.ok(used > 0.85, `${senders} senders use ${used} of the limits`);
  }
});
