import assert from "node:assert/strict";
import { test } from "node:test";
import { OriginWorld } from "./origin_world.ts";

/** Sites as large as those that are served. */
const SIZES = [
  { entries: 6, controls: 3, streamsPerSecond: 100 },
  { entries: 58, controls: 5, streamsPerSecond: 300 },
  { entries: 165, controls: 5, streamsPerSecond: 500 },
];
const SEEDS = 2;
const SECONDS = 5;
/** Share of take-ups that must go on if new streams begin. */
const LEAST_KNOWN_SHARE = 0.5;

for (const size of SIZES) {
  const site = `${size.entries} entry VMs and ${size.controls} control VMs`;

  test(`${site} know where each stream began, also after all entry VMs were killed at once`, async () => {
    const world = new OriginWorld({ ...size, hasFaults: false, seed: 1 });
    await world.run(2);
    world.killEntries();
    await world.run(2);
    const { takenUp, known, joined } = world.counts;
    assert.ok(takenUp > 0);
    assert.equal(known, takenUp);
    assert.equal(joined, 0);
  });

  test(`${site} let no stream go on at another version, whatever is killed, cut, lost, late or doubled`, async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const world = new OriginWorld({ ...size, hasFaults: true, seed });
      await world.run(SECONDS);
      const { takenUp, known, joined } = world.counts;
      const seen = `seed ${seed}: ${JSON.stringify(world.counts)}`;
      assert.equal(joined, 0, seen);
      assert.ok(known >= LEAST_KNOWN_SHARE * takenUp, seen);
    }
  });
}
