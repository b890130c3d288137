import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { MemoryEventLog, SeededRandom, VirtualClock } from "#core";
import { MemoryNetwork } from "#wire";
import { ListMachine, LogOracle } from "./log_oracle.ts";
import { LogStorage } from "./log_storage.ts";
import { MemoryDisk } from "./memory_folder.ts";
import { packMessage, unpackMessage } from "./messages.ts";
import { QuorumLog } from "./quorum_log.ts";
import { RECORD_HEADER_BYTES } from "./record.ts";
import type { SnapshotReceiver } from "./snapshot_file.ts";
import { SINGLE_VALUE_FORMAT } from "./stored_state.ts";
import { SHORT_TIMING } from "./timing.ts";

/** Files that a build before snapshots in parts wrote: entries 1 to 3 in the snapshot, 3 to 5 in the log. */
const OLD_LOG_NAME = "log-000000000002";
const OLD_LOG = Buffer.from(
  "wcraAQAAAQphMgNPyqvVUtnf/4gZ4ACGZmZvcm1hdGhpZGVudGl0eWRoYXJkZGJhc2Vtc25hcHNob3RJbmRleGdlbnRyaWVzAWtvbGQtcmVwbGlj" +
    "Ydnf/4YZ4AGEZHRlcm1odm90ZWRGb3JlZ3JvdXBzY29tbWl0dGVkU2VhdHNJbmRleAFrb2xkLXJlcGxpY2Fpb2xkLWdyb3VwANnf/4QZ4AKCZWlu" +
    "ZGV4ZHRlcm0CAQOChQMBGGdnY29tbWFuZNhAWCLZ3/+EGeAAgmdtYWNoaW5lZ2NvbW1hbmRnYnVuZGxlcxgehQQBGGhnY29tbWFuZNhAWCLZ3/+E" +
    "GeAAgmdtYWNoaW5lZ2NvbW1hbmRnYnVuZGxlcxgowcraAQAAAEqNYKWcK8bRf9nf/4QZ4ACCZGhhcmRnZW50cmllc/aBhQUBGGlnY29tbWFuZNhA" +
    "WCLZ3/+EGeAAgmdtYWNoaW5lZ2NvbW1hbmRnYnVuZGxlcxgywcraAQAAAF5AJ3j9rHP7a9nf/4QZ4ACCZGhhcmRnZW50cmllc9nf/4YZ4AGEZHRl" +
    "cm1odm90ZWRGb3JlZ3JvdXBzY29tbWl0dGVkU2VhdHNJbmRleAJrb2xkLXJlcGxpY2Fpb2xkLWdyb3VwAIA=",
  "base64",
);
const OLD_SNAPSHOT_NAME = "snapshot-0000000000000003";
const OLD_SNAPSHOT = Buffer.from(
  "wcraAQAAALODjZNB3HOihtnf/4QZ4ACCZG1ldGFmc3RhdGVz2d//hhngAYRlaW5kZXhkdGVybWRhdE1zZXNlYXRzAwEYZ9nf/4QZ4AKCZWluZGV4" +
    "ZmNoYW5nZQHZ3/+EGeADgmZiZWZvcmVlYWZ0ZXKAgdnf/4QZ4ASCZ3JlcGxpY2Fidm1rb2xkLXJlcGxpY2FhYYiC2d//hRngBYNlaW5kZXhkYXRN" +
    "c2V2YWx1ZQIYZhTZ4AWDAxhnGB729vb29vb2",
  "base64",
);
const OLD_HASH = "ab5fe63bb33dc038";
const OLD_ITEMS = [
  { index: 2, atMs: 102, value: 20 },
  { index: 3, atMs: 103, value: 30 },
];
const SYNC_MS = 1;

class StateReceiver implements SnapshotReceiver {
  states: readonly unknown[] = [];

  begin(): void {
    assert.fail("the snapshot has no parts");
  }

  add(): void {
    assert.fail("the snapshot has no parts");
  }

  addStates(states: readonly unknown[]): void {
    this.states = states;
  }
}

function createDisk(clock: VirtualClock): MemoryDisk {
  return new MemoryDisk({
    clock,
    random: new SeededRandom(1),
    nextSyncMs: () => 0,
  });
}

function createOldDisk(clock: VirtualClock): MemoryDisk {
  const disk = createDisk(clock);
  disk.files.set(OLD_LOG_NAME, OLD_LOG);
  disk.files.set(OLD_SNAPSHOT_NAME, OLD_SNAPSHOT);
  return disk;
}

/** Runs an action while virtual time advances. */
async function withTime<Value>(
  clock: VirtualClock,
  action: Promise<Value>,
): Promise<Value> {
  let done = false;
  action.finally(() => done = true).catch(() => {});
  while (!done) await clock.advanceAsync(SYNC_MS);
  return action;
}

test("the log and the snapshot of an earlier build are read", async () => {
  const clock = new VirtualClock(0);
  const storage = new LogStorage(createOldDisk(clock).open());
  const recovered = await withTime(clock, storage.open(() => "new"));
  assert.equal(recovered.identity, "old-replica");
  assert.equal(recovered.hard.term, 2);
  assert.deepEqual(recovered.base, { index: 2, term: 1 });
  assert.deepEqual(recovered.entries.map((entry) => entry.index), [3, 4, 5]);
  const { snapshot } = recovered;
  assert.equal(snapshot?.meta.index, 3);
  assert.equal(snapshot.format, SINGLE_VALUE_FORMAT);
  assert.equal(snapshot.hash, OLD_HASH);
  const receiver = new StateReceiver();
  await storage.readContents(snapshot, receiver);
  assert.deepEqual(receiver.states[0], OLD_ITEMS);
  const range = { offset: 0, length: snapshot.bytes };
  assert.deepEqual(
    Buffer.from(await storage.readSnapshot(snapshot, range)),
    OLD_SNAPSHOT.subarray(RECORD_HEADER_BYTES),
  );
});

test("a replica continues from the files of an earlier build, and writes snapshots in parts", async () => {
  const clock = new VirtualClock(1_000);
  const random = new SeededRandom(1);
  const disk = createOldDisk(clock);
  const start = async () => {
    const machine = new ListMachine(new LogOracle());
    const log = new QuorumLog({
      vm: "a",
      network: new MemoryNetwork({ clock, random }).join("a"),
      folder: disk.open(),
      machines: [machine],
      clock,
      random,
      events: new MemoryEventLog(),
      peers: () => ["a"],
      timing: SHORT_TIMING,
      snapshots: {
        entries: 4,
        bytes: 1_000_000,
        retainedEntries: 1,
        retainedBytes: 1_000_000,
        settleMs: 0,
        maximumBytes: 1_000_000,
        writeBytes: 60,
      },
    });
    await withTime(clock, log.start());
    await clock.advanceAsync(2_000);
    return { machine, log };
  };
  const first = await start();
  assert.deepEqual(
    first.machine.items.map((item) => item.value),
    [20, 30, 40, 50],
  );
  for (let value = 60; value <= 90; value += 10) {
    const proposal = first.log.propose({ machine: "bundles", command: value });
    assert.ok((await withTime(clock, proposal)).ok);
  }
  await clock.advanceAsync(100);
  const names = [...disk.files.keys()];
  assert.ok(!names.includes(OLD_SNAPSHOT_NAME), names.join());
  assert.equal(names.filter((name) => name.startsWith("snapshot-")).length, 1);
  const second = await start();
  assert.deepEqual(second.machine.items, first.machine.items);
});

test("a snapshot sent by a leader of an earlier build is stored and read", async () => {
  const clock = new VirtualClock(0);
  const disk = createDisk(clock);
  const storage = new LogStorage(disk.open());
  const { hard } = await withTime(clock, storage.open(() => "new"));
  const payload = OLD_SNAPSHOT.subarray(RECORD_HEADER_BYTES);
  const chunk = { hash: OLD_HASH, total: payload.length };
  const half = { ...chunk, offset: 0, bytes: payload.subarray(0, 100) };
  const progress = await withTime(clock, storage.receiveChunk(half));
  assert.deepEqual(progress, { bytes: 100, complete: null });
  const rest = { ...chunk, offset: 100, bytes: payload.subarray(100) };
  const { complete } = await withTime(clock, storage.receiveChunk(rest));
  assert.ok(complete !== null);
  assert.equal(complete.descriptor.format, SINGLE_VALUE_FORMAT);
  assert.equal(complete.descriptor.hash, OLD_HASH);
  await withTime(clock, storage.storeReceived(complete));
  const log = { hard, base: { index: 3, term: 1 }, entries: [] };
  storage.startLog(complete.descriptor, log);
  while (await withTime(clock, storage.writeLog()));
  await withTime(clock, storage.finishLog());
  const restarted = new LogStorage(disk.open());
  const recovered = await withTime(clock, restarted.open(() => "other"));
  assert.deepEqual(recovered.snapshot, complete.descriptor);
  const receiver = new StateReceiver();
  await restarted.readContents(complete.descriptor, receiver);
  assert.deepEqual(receiver.states[0], OLD_ITEMS);
});

test("a reply of an earlier build, which names no snapshot format, is read", () => {
  const reply = unpackMessage(
    packMessage({
      kind: "appendReply",
      group: "g",
      from: "b",
      to: "a",
      term: 1,
      matched: true,
      index: 1,
      committedIndex: 1,
      sentMs: 1,
    }).slice(0, -1),
  );
  assert.equal(reply?.kind, "appendReply");
  assert.equal("snapshotFormat" in reply && reply.snapshotFormat, undefined);
});
