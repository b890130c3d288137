import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedGroup } from "./simulated_group.ts";

test("a removed replica that the next leader does not know reports no contact with a leader", async () => {
  const group = new SimulatedGroup({
    seed: 7,
    vms: ["a", "b", "c"],
    spares: ["d"],
  });
  await group.startAll();
  for (const vm of group.vms.slice(0, 3)) {
    assert.equal(vm.process?.log.status().hearsLeader, true, vm.name);
  }
  group.peers = ["a", "b", "d"];
  const spare = group.vms[3];
  assert.ok(spare);
  group.start(spare, false);
  await group.run(20_000);
  const status = (vmIndex: number) => group.vms[vmIndex]?.process?.log.status();
  assert.deepEqual([...status(0)?.voters ?? []].sort(), ["a", "b", "d"]);
  const leaderIndex =
    [0, 1, 3].find((vmIndex) => status(vmIndex)?.role === "leader") ?? 0;
  group.crash(group.vm(leaderIndex));
  await group.run(10_000);
  assert.equal(status(2)?.hearsLeader, false);
  for (const vmIndex of [0, 1, 3].filter((each) => each !== leaderIndex)) {
    assert.equal(status(vmIndex)?.hearsLeader, true, `vm ${vmIndex}`);
  }
});
