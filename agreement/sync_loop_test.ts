import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryEventLog, SeededRandom, VirtualClock } from "#core";
import { MemoryNetwork } from "#wire";
import { ListMachine, LogOracle } from "./log_oracle.ts";
import { MemoryDisk } from "./memory_folder.ts";
import { QuorumLog } from "./quorum_log.ts";
import { SHORT_TIMING } from "./timing.ts";

const SYNC_MS = 1;
/** More turns than the sync loop needs to end after a write. */
const MAXIMUM_TURNS = 30;

async function startSingleReplica(clock: VirtualClock): Promise<QuorumLog> {
  const random = new SeededRandom(1);
  const disk = new MemoryDisk({ clock, random, nextSyncMs: () => SYNC_MS });
  const log = new QuorumLog({
    vm: "a",
    network: new MemoryNetwork({ clock, random }).join("a"),
    folder: disk.open(),
    machines: [new ListMachine(new LogOracle())],
    clock,
    random,
    events: new MemoryEventLog(),
    peers: () => ["a"],
    firstStart: { voters: ["a"] },
    timing: SHORT_TIMING,
  });
  const started = log.start();
  await clock.advanceAsync(2_000);
  await started;
  return log;
}

test("an entry proposed while the sync loop ends is written without waiting for a heartbeat", async () => {
  const clock = new VirtualClock(1_000);
  const log = await startSingleReplica(clock);
  for (let turns = 0; turns < MAXIMUM_TURNS; turns += 1) {
    const first = log.propose({ machine: "bundles", command: 2 * turns });
    const second = first.then(async () => {
      for (let turn = 0; turn < turns; turn += 1) await undefined;
      return log.propose({ machine: "bundles", command: 2 * turns + 1 });
    });
    let committed = false;
    second.then(() => committed = true);
    await clock.advanceAsync(10 * SYNC_MS);
    assert.ok(committed, `proposed ${turns} turns after a commit`);
  }
});
