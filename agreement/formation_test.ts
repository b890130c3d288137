import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryEventLog, SeededRandom, VirtualClock } from "#core";
import { MemoryNetwork } from "#wire";
import type { InitialGroup } from "./formation.ts";
import { ListMachine, LogOracle } from "./log_oracle.ts";
import { MemoryDisk } from "./memory_folder.ts";
import { QuorumLog } from "./quorum_log.ts";
import { SHORT_TIMING } from "./timing.ts";

const VOTERS = ["a", "b", "c"];
const SYNC_MS = 1;
const SETTLE_MS = 2_000;

/** Forms a group and returns its first leader. */
async function firstLeaderOf(group: InitialGroup): Promise<string | undefined> {
  const clock = new VirtualClock(1_000);
  const random = new SeededRandom(1);
  const network = new MemoryNetwork({ clock, random });
  const logs = new Map<string, QuorumLog>();
  for (const vm of VOTERS) {
    const disk = new MemoryDisk({ clock, random, nextSyncMs: () => SYNC_MS });
    const log = new QuorumLog({
      vm,
      network: network.join(vm),
      folder: disk.open(),
      machines: [new ListMachine(new LogOracle())],
      clock,
      random,
      events: new MemoryEventLog(),
      peers: () => VOTERS,
      firstStart: group,
      timing: SHORT_TIMING,
    });
    void log.start();
    logs.set(vm, log);
  }
  await clock.advanceAsync(SETTLE_MS);
  for (const [vm, log] of logs) {
    if (log.leaseUntilMs() > clock.nowMs()) return vm;
  }
  return undefined;
}

test("two groups on the same machines are not led by one of them from the start, so that its fault ends one leadership", async () => {
  assert.equal(await firstLeaderOf({ voters: VOTERS }), "a");
  const other = { voters: VOTERS, coordinator: "c" };
  assert.equal(await firstLeaderOf(other), "c");
});
