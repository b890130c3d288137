import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashWorld } from "./crash_world.ts";

/** Sites as large as those that are served. */
const SIZES = [
  { senders: 6, upstreams: 3 },
  { senders: 58, upstreams: 8 },
  { senders: 165, upstreams: 35 },
];
const CRASHING_CALLS = 3;
const MAXIMUM_FURTHER_RUNS = 3;
const LEAST_SERVED_SHARE = 0.9;
const SEEDS = 4;
const SECONDS = 30;

for (const size of SIZES) {
  const site = `${size.senders} VMs and ${size.upstreams} upstreams`;

  test(`no call that crashes upstreams is sent on for good by ${site}, and no other call is blocked, whatever is lost, late, reset or restarted`, async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const options = { ...size, crashingCalls: CRASHING_CALLS, seed };
      const world = new CrashWorld({ ...options, faults: true });
      await world.run(SECONDS);
      for (const { furtherRuns } of world.crashingCalls()) {
        const message = `seed ${seed}: ${furtherRuns} further runs`;
        assert.ok(furtherRuns <= MAXIMUM_FURTHER_RUNS, message);
      }
      assert.equal(world.bystanders.blocked, 0, `seed ${seed}`);
    }
  });

  test(`calls beside those that crash upstreams are served by ${site}`, async () => {
    let served = 0;
    let all = 0;
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const options = { ...size, crashingCalls: CRASHING_CALLS, seed };
      const world = new CrashWorld({ ...options, faults: false });
      await world.run(SECONDS);
      const { bystanders } = world;
      served += bystanders.served;
      all += bystanders.served + bystanders.blocked + bystanders.failed;
    }
    const share = served / all;
    assert.ok(share >= LEAST_SERVED_SHARE, `${share} of ${all} are served`);
  });
}
