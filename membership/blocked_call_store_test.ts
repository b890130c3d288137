import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryDisk } from "#agreement";
import { MemoryEventLog, SeededRandom, SystemClock } from "#core";
import { BlockedCallStore } from "./blocked_call_store.ts";
import { CrashLedger } from "./crash_ledger.ts";

const CALL = { digest: "d", bodyBytes: 4 };
const OTHER = { digest: "other", bodyBytes: 4 };

test("a blocked call is still blocked after all VMs have lost power, and a damaged file only leaves a log line", async () => {
  const clock = new SystemClock();
  const random = new SeededRandom(1);
  const disk = new MemoryDisk({ clock, random, nextSyncMs: () => 0 });
  const folder = disk.open();
  const events = new MemoryEventLog();
  const ledger = new CrashLedger();
  const store = new BlockedCallStore({ folder, clock, events, ledger });
  await store.load();
  const nowMs = clock.nowMs();
  ledger.recordCrash(OTHER, "u1:1", nowMs);
  for (const id of ["u1:1", "u2:1", "u3:1"]) {
    ledger.recordCrash(CALL, id, nowMs);
  }
  await store.update();

  const restarted = new CrashLedger();
  const options = { folder, clock, events, ledger: restarted };
  await new BlockedCallStore(options).load();
  assert.ok(restarted.isBlocked("d"));
  assert.equal(restarted.isSuspect("other"), false);
  assert.deepEqual(events.records(), []);

  await folder.replace("blocked-calls.json", Buffer.from("{"));
  await new BlockedCallStore({ ...options, ledger: new CrashLedger() }).load();
  assert.equal(events.records()[0]?.event.code, 1424);
});
