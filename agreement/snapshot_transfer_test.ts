import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type Bytes,
  KIBIBYTE,
  MEBIBYTE,
  SeededRandom,
  VirtualClock,
} from "#core";
import type { LogEntry } from "./entries.ts";
import { FollowerRole } from "./follower_role.ts";
import { MeasuredFolder } from "./large_state_group.ts";
import { LeaderRole } from "./leader_role.ts";
import { LogStorage } from "./log_storage.ts";
import { MemoryDisk } from "./memory_folder.ts";
import type { MessageOf } from "./messages.ts";
import { newProgress } from "./replica_progress.ts";
import { ReplicaState } from "./replica_state.ts";
import {
  createLeader,
  createState,
  emptyReply,
  FOLLOWER,
  GROUP,
  NOW_MS,
  SNAPSHOT,
} from "./snapshot_transfer_support.ts";
import {
  MAXIMUM_CHUNK_BYTES,
  SnapshotTransfers,
} from "./snapshot_transfers.ts";
import {
  PARTS_FORMAT,
  SINGLE_VALUE_FORMAT,
  type SnapshotDescriptor,
} from "./stored_state.ts";
import { SHORT_TIMING } from "./timing.ts";

const RETRY_MS = 250;
const MAXIMUM_TRANSFER_BYTES: Bytes = 3 * MEBIBYTE;
const PARTS = 20;

test("a snapshot in parts is sent only to a replica that can read it, and others are reported once", () => {
  const old = createLeader();
  for (let count = 0; count < 3; count += 1) {
    old.leader.handleAppendReply(emptyReply(), NOW_MS);
    assert.deepEqual(old.leader.snapshotTransfers.drainRequests(), []);
  }
  assert.deepEqual(old.unreadable, [FOLLOWER]);
  const current = createLeader();
  current.leader.handleAppendReply(emptyReply(PARTS_FORMAT), NOW_MS);
  assert.equal(current.leader.snapshotTransfers.drainRequests().length, 1);
  assert.deepEqual(current.unreadable, []);
  const unknown = createLeader();
  unknown.leader.handleAppendReply(
    emptyReply(SINGLE_VALUE_FORMAT),
    NOW_MS,
  );
  assert.deepEqual(unknown.leader.snapshotTransfers.drainRequests(), []);
});

test("a snapshot is not replaced until the replica that received it has the entries after it", () => {
  const transfers = new SnapshotTransfers(RETRY_MS);
  const progress = newProgress(FOLLOWER, 1);
  transfers.ensureTransfer(progress, { snapshot: SNAPSHOT, nowMs: NOW_MS });
  const reply: MessageOf<"chunkReply"> = {
    kind: "chunkReply",
    group: GROUP,
    from: FOLLOWER.replica,
    to: "replica-a",
    term: 1,
    index: SNAPSHOT.meta.index,
    hash: SNAPSHOT.hash,
    offset: SNAPSHOT.bytes,
    sentMs: NOW_MS,
  };
  transfers.handleChunkReply(progress, reply, { nowMs: NOW_MS, lastIndex: 9 });
  assert.equal(progress.nextIndex, SNAPSHOT.meta.index + 1);
  assert.equal(transfers.isActive(NOW_MS + 1_500), true);
  progress.matchIndex = 8;
  progress.lastAdvanceMs = NOW_MS + 1_500;
  assert.equal(transfers.isActive(NOW_MS + 3_000), true);
  assert.equal(transfers.isActive(NOW_MS + 4_000), false);
  transfers.handleChunkReply(progress, reply, { nowMs: NOW_MS, lastIndex: 9 });
  progress.matchIndex = 9;
  assert.equal(transfers.isActive(NOW_MS + 1_600), false);
});

test("a follower holds at most one chunk that is not on the disk", () => {
  const follower = new FollowerRole(createState());
  const chunk: MessageOf<"chunk"> = {
    kind: "chunk",
    group: GROUP,
    from: FOLLOWER.replica,
    to: "replica-a",
    term: 1,
    index: 9,
    hash: "hash",
    offset: 0,
    total: 100,
    sentMs: 0,
    bytes: new Uint8Array(10),
  };
  for (let offset = 0; offset < 100; offset += 10) {
    follower.handleChunk("b", { ...chunk, offset }, NOW_MS);
  }
  assert.equal(follower.nextChunk()?.chunk.offset, 90);
  assert.equal(follower.nextChunk(), undefined);
});

test("a follower that can't write snapshots accepts no entries beyond the limit of its committed log", () => {
  const state = createState(25);
  const follower = new FollowerRole(state);
  for (let index = 6; index < 20; index += 1) {
    const body = new Uint8Array(10);
    const previousIndex = state.log.lastIndex;
    follower.handleAppend("b", {
      kind: "append",
      group: GROUP,
      from: FOLLOWER.replica,
      to: "replica-a",
      term: 1,
      previousIndex,
      previousTerm: 1,
      committedIndex: previousIndex,
      sentMs: 0,
      entries: [[previousIndex + 1, 1, 0, "command", body]],
    }, NOW_MS);
  }
  assert.equal(state.log.lastIndex, 9);
  assert.equal(state.committedIndex, 9);
});

function entry(index: number): LogEntry {
  const body = new Uint8Array(10);
  return { index, term: 1, atMs: 0, kind: "command", body };
}

test("one write to the log holds a limited number of bytes, however many entries wait", () => {
  const state = createState();
  const body = new Uint8Array(300 * KIBIBYTE);
  const entries = [6, 7, 8, 9, 10].map((index) => ({ ...entry(index), body }));
  state.append(entries);
  const written: number[] = [];
  while (state.hasUnsynced()) {
    const batch = state.nextSyncBatch();
    state.markSynced(batch);
    written.push(batch.batch.entries.length);
    assert.equal(state.durableIndex, batch.last.index);
  }
  assert.deepEqual(written, [3, 2]);
});

interface Store {
  readonly folder: MeasuredFolder;
  readonly storage: LogStorage;
}

function createStore(clock: VirtualClock): Store {
  const random = new SeededRandom(1);
  const disk = new MemoryDisk({ clock, random, nextSyncMs: () => 0 });
  disk.open();
  const folder = new MeasuredFolder(disk, clock);
  return { folder, storage: new LogStorage(folder) };
}

async function transferLargeSnapshot(
  from: LogStorage,
  to: LogStorage,
): Promise<number> {
  const { hard } = await from.open(() => "leader");
  await to.open(() => "follower");
  const writer = from.startSnapshot({
    meta: SNAPSHOT.meta,
    machines: ["bundles"],
  });
  for (let part = 0; part < PARTS; part += 1) {
    await writer.add({ machine: "bundles", part: new Uint8Array(MEBIBYTE) });
  }
  const snapshot = await from.storeSnapshot(writer);
  const log = { hard, base: { index: 5, term: 1 }, entries: [] };
  from.startLog(snapshot, log);
  while (await from.writeLog());
  await from.finishLog();
  const { hash, bytes: total } = snapshot;
  for (let offset = 0; offset < total; offset += MAXIMUM_CHUNK_BYTES) {
    const length = Math.min(MAXIMUM_CHUNK_BYTES, total - offset);
    const bytes = await from.readSnapshot(snapshot, { offset, length });
    const chunk = { hash, offset, total, bytes };
    const { complete } = await to.receiveChunk(chunk);
    if (complete === null) continue;
    await to.storeReceived(complete);
    return countParts(to, complete.descriptor);
  }
  return assert.fail("the transfer did not complete");
}

async function countParts(
  storage: LogStorage,
  snapshot: SnapshotDescriptor,
): Promise<number> {
  let count = 0;
  await storage.readContents(snapshot, {
    begin: () => {},
    add: () => {
      count += 1;
    },
    addStates: () => {},
  });
  return count;
}

test("no read or write of a transfer grows with the snapshot, neither at the sender nor at the receiver", async () => {
  const clock = new VirtualClock(0);
  const from = createStore(clock);
  const to = createStore(clock);
  const transferred = transferLargeSnapshot(from.storage, to.storage);
  let count: number | undefined;
  transferred.then((value) => count = value).catch(() => count = -1);
  while (count === undefined) await clock.advanceAsync(1_000);
  assert.equal(await transferred, PARTS);
  assert.ok(from.folder.largestBytes <= MAXIMUM_TRANSFER_BYTES);
  assert.ok(to.folder.largestBytes <= MAXIMUM_TRANSFER_BYTES);
});

/** Returns the leader of a group with 15 entries after its snapshot, after its first heartbeat. */
function createLeaderWithEntries(): LeaderRole {
  const entries: LogEntry[] = [];
  for (let index = 6; index <= 20; index += 1) entries.push(entry(index));
  const state = new ReplicaState({
    vm: "a",
    recovered: {
      identity: "replica-a",
      isNew: false,
      hard: { term: 1, votedFor: null, group: GROUP, committedSeatsIndex: 1 },
      base: { index: 5, term: 1 },
      entries,
      snapshot: SNAPSHOT,
    },
    timing: SHORT_TIMING,
    random: new SeededRandom(1),
    nowMs: NOW_MS,
  });
  const leader = new LeaderRole(state, {
    instant: { nowMs: NOW_MS, wallMs: 0 },
    lastEntryAtMs: 0,
    onUnreadable: () => {},
  });
  leader.tick(NOW_MS);
  return leader;
}

/** Lets the leader run while only the third voter answers; returns the number of requested chunks. */
function runWithSilentFollower(leader: LeaderRole, untilMs: number): number {
  let chunks = 0;
  for (let nowMs = NOW_MS + 100; nowMs <= untilMs; nowMs += 100) {
    const reply = {
      ...emptyReply(PARTS_FORMAT),
      from: "replica-c",
      matched: true,
      index: 21,
      sentMs: nowMs - 1,
    };
    leader.handleAppendReply(reply, nowMs);
    assert.equal(leader.tick(nowMs), true);
    chunks += leader.snapshotTransfers.drainRequests().length;
  }
  return chunks;
}

test("a replica that answered once and is then silent does not hold back the next snapshot for ever", () => {
  const leader = createLeaderWithEntries();
  leader.handleAppendReply(emptyReply(PARTS_FORMAT), NOW_MS + 1);
  const untilMs = NOW_MS + 600_000;
  assert.ok(runWithSilentFollower(leader, untilMs) > 1);
  assert.equal(leader.snapshotTransfers.isActive(untilMs), false);
});

test("a replica that falls silent after it installed the snapshot does not hold back the next one for ever", () => {
  const leader = createLeaderWithEntries();
  leader.handleAppendReply(emptyReply(PARTS_FORMAT), NOW_MS + 1);
  leader.handleChunkReply(chunkReply(SNAPSHOT.bytes, NOW_MS), NOW_MS + 2);
  assert.equal(leader.snapshotTransfers.isActive(NOW_MS + 3), true);
  const untilMs = NOW_MS + 600_000;
  runWithSilentFollower(leader, untilMs);
  assert.equal(leader.snapshotTransfers.isActive(untilMs), false);
});

test("a slow transfer holds back the next snapshot as long as its receiver advances", () => {
  const transfers = new SnapshotTransfers(RETRY_MS);
  const progress = newProgress(FOLLOWER, 1);
  const stepMs = 10 * RETRY_MS;
  let nowMs = NOW_MS;
  transfers.ensureTransfer(progress, { snapshot: SNAPSHOT, nowMs });
  for (let offset = 1_000; offset < 20_000; offset += 1_000) {
    nowMs += stepMs;
    transfers.ensureTransfer(progress, { snapshot: SNAPSHOT, nowMs });
    assert.equal(transfers.isActive(nowMs), true);
    const reply = chunkReply(offset, nowMs);
    transfers.handleChunkReply(progress, reply, { nowMs, lastIndex: 9 });
  }
  assert.equal(transfers.isActive(nowMs + stepMs), true);
});

function chunkReply(offset: Bytes, sentMs: number): MessageOf<"chunkReply"> {
  return {
    kind: "chunkReply",
    group: GROUP,
    from: FOLLOWER.replica,
    to: "replica-a",
    term: 1,
    index: SNAPSHOT.meta.index,
    hash: SNAPSHOT.hash,
    offset,
    sentMs,
  };
}

test("a replica whose next entries are in the log but not acknowledged within 1 s gets no snapshot", () => {
  const leader = createLeaderWithEntries();
  const reply = { ...emptyReply(PARTS_FORMAT), index: 10 };
  leader.handleAppendReply(reply, NOW_MS + 1);
  assert.equal(leader.progressOf(FOLLOWER.replica)?.nextIndex, 22);
  assert.equal(runWithSilentFollower(leader, NOW_MS + 1_500), 0);
});
