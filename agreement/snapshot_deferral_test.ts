import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryEventLog, SeededRandom, VirtualClock } from "#core";
import { MemoryNetwork } from "#wire";
import { AGREEMENT_EVENTS } from "./events.ts";
import { ListMachine, LogOracle } from "./log_oracle.ts";
import { MemoryDisk } from "./memory_folder.ts";
import { QuorumLog } from "./quorum_log.ts";
import {
  DEFAULT_SNAPSHOT_POLICY,
  type SnapshotPolicy,
} from "./snapshot_policy.ts";
import { SHORT_TIMING } from "./timing.ts";

const SYNC_MS = 1;
const COMMANDS = 100;
const POLICY: SnapshotPolicy = {
  ...DEFAULT_SNAPSHOT_POLICY,
  entries: 8,
  bytes: 1_000_000,
  retainedEntries: 1,
};

test(
  "a writer that proposes each command right after the last does not defer the snapshot",
  async () => {
    const clock = new VirtualClock(1_000);
    const random = new SeededRandom(1);
    const events = new MemoryEventLog();
    const disk = new MemoryDisk({ clock, random, nextSyncMs: () => SYNC_MS });
    const log = new QuorumLog({
      vm: "a",
      network: new MemoryNetwork({ clock, random }).join("a"),
      folder: disk.open(),
      machines: [new ListMachine(new LogOracle())],
      clock,
      random,
      events,
      peers: () => ["a"],
      firstStart: { voters: ["a"] },
      timing: SHORT_TIMING,
      snapshots: POLICY,
    });
    const started = log.start();
    await clock.advanceAsync(2_000);
    await started;
    let longest = 0;
    const writeAll = async (): Promise<void> => {
      for (let command = 0; command < COMMANDS; command += 1) {
        const result = await log.propose({ machine: "bundles", command });
        assert.ok(result.ok);
        longest = Math.max(longest, log.sizes().entries);
      }
    };
    const written = writeAll();
    await clock.advanceAsync(COMMANDS * 10 * SYNC_MS);
    await written;
    const snapshots = events.records().filter((each) =>
      each.event === AGREEMENT_EVENTS.snapshotSaved
    );
    assert.ok(snapshots.length > 0);
    assert.ok(longest <= 3 * POLICY.entries, `${longest} entries in memory`);
  },
);
