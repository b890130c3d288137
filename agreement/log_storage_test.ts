import assert from "node:assert/strict";
import {
  mkdtemp,
  readdir,
  readFile,
  rm,
  symlink,
  writeFile,
} from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { DiskFullError, StorageError } from "./data_folder.ts";
import type { LogEntry } from "./entries.ts";
import { FileFolder } from "./file_folder.ts";
import {
  LogStorage,
  type RecoveredState,
  serializeSnapshot,
} from "./log_storage.ts";

function entry(index: number): LogEntry {
  const body = new TextEncoder().encode(`entry ${index}`);
  return { index, term: 1, atMs: index, kind: "command", body };
}

async function inFolder(
  action: (path: string) => Promise<void>,
): Promise<void> {
  const path = await mkdtemp(join(tmpdir(), "storage-"));
  try {
    await action(path);
  } finally {
    await rm(path, { recursive: true });
  }
}

async function reopen(path: string): Promise<RecoveredState> {
  const storage = new LogStorage(new FileFolder(path));
  try {
    return await storage.open(() => "other");
  } finally {
    await storage.close();
  }
}

async function writeBatches(path: string, count: number): Promise<string> {
  const storage = new LogStorage(new FileFolder(path));
  await storage.open(() => "first");
  for (let index = 1; index <= count; index += 1) {
    await storage.append({ hard: null, entries: [entry(index)] });
  }
  await storage.close();
  const name = (await readdir(path)).find((each) => each.startsWith("log-"));
  return join(path, name as string);
}

async function refusal(path: string): Promise<string> {
  try {
    await reopen(path);
  } catch (error) {
    assert.ok(error instanceof StorageError);
    return error.failure.kind;
  }
  return "none";
}

test("what was synced is there after a restart, under the same identity", () =>
  inFolder(async (path) => {
    await writeBatches(path, 3);
    const recovered = await reopen(path);
    assert.equal(recovered.identity, "first");
    assert.deepEqual(recovered.entries, [1, 2, 3].map(entry));
  }));

test("a torn tail is cut wherever the write broke off", () =>
  inFolder(async (path) => {
    const file = await writeBatches(path, 3);
    const whole = await readFile(file);
    const lengths = [1, 7, 20, 40];
    for (const missing of lengths) {
      await writeFile(file, whole.subarray(0, whole.length - missing));
      const recovered = await reopen(path);
      assert.deepEqual(recovered.entries, [1, 2].map(entry));
      await writeFile(file, whole);
    }
  }));

test("a bad byte in the middle refuses to start, whichever field it hits", () =>
  inFolder(async (path) => {
    const file = await writeBatches(path, 3);
    const whole = await readFile(file);
    const start = whole.indexOf("entry 2") - 40;
    for (let at = start; at < whole.indexOf("entry 2") + 7; at += 3) {
      const damaged = Uint8Array.from(whole);
      damaged[at] = (damaged[at] as number) ^ 0x40;
      await writeFile(file, damaged);
      assert.equal(await refusal(path), "storage_corrupt", `byte ${at}`);
    }
  }));

test("a folder whose snapshot is missing or damaged refuses to start", () =>
  inFolder(async (path) => {
    const storage = new LogStorage(new FileFolder(path));
    const { hard } = await storage.open(() => "first");
    const seats = { index: 0, change: { before: [], after: [] } };
    const meta = { index: 2, term: 1, atMs: 2, seats };
    const packed = serializeSnapshot({ meta, states: ["state"] });
    const base = { index: 2, term: 1 };
    await storage.saveSnapshot(packed, { hard, base, entries: [entry(3)] });
    await storage.close();
    const recovered = await reopen(path);
    assert.deepEqual(recovered.snapshot?.states, ["state"]);
    assert.deepEqual(recovered.entries, [entry(3)]);
    const names = await readdir(path);
    const name = names.find((each) => each.startsWith("snapshot-")) as string;
    await writeFile(join(path, name), "damaged");
    assert.equal(await refusal(path), "storage_corrupt");
    await rm(join(path, name));
    assert.equal(await refusal(path), "storage_corrupt");
  }));

test("a second process can't open a folder that is in use", () =>
  inFolder(async (path) => {
    const storage = new LogStorage(new FileFolder(path));
    await storage.open(() => "first");
    assert.equal(await refusal(path), "storage_failed");
    await storage.close();
    assert.equal(await refusal(path), "none");
  }));

test("a snapshot on its way goes on after a restart, and a damaged one starts again", () =>
  inFolder(async (path) => {
    const seats = { index: 0, change: { before: [], after: [] } };
    const meta = { index: 9, term: 1, atMs: 9, seats };
    const { payload, descriptor: encoded } = serializeSnapshot({
      meta,
      states: ["x".repeat(99)],
    });
    const total = payload.length;
    const half = Math.floor(total / 2);
    const chunk = { hash: encoded.hash, total };
    const before = new LogStorage(new FileFolder(path));
    await before.open(() => "first");
    const first = { ...chunk, offset: 0, bytes: payload.subarray(0, half) };
    await before.receiveChunk(first);
    await before.close();
    const after = new LogStorage(new FileFolder(path));
    await after.open(() => "first");
    const again = await after.receiveChunk(first);
    assert.deepEqual(again, { bytes: half, complete: null });
    const bad = new Uint8Array(total - half);
    const spoilt = await after.receiveChunk({
      ...chunk,
      offset: half,
      bytes: bad,
    });
    assert.deepEqual(spoilt, { bytes: 0, complete: null });
    await after.receiveChunk(first);
    const rest = { ...chunk, offset: half, bytes: payload.subarray(half) };
    const whole = await after.receiveChunk(rest);
    assert.deepEqual(whole.complete?.snapshot.meta, meta);
    await after.close();
  }));

test("a snapshot that finds no room leaves the old one and nothing half written", () =>
  inFolder(async (path) => {
    const folder = new FileFolder(path);
    await folder.replace("snapshot", Uint8Array.of(1));
    await symlink("/dev/full", join(path, "snapshot.new"));
    await assert.rejects(
      folder.replace("snapshot", Uint8Array.of(2)),
      DiskFullError,
    );
    assert.deepEqual(await readdir(path), ["snapshot"]);
    assert.deepEqual([...await folder.read("snapshot")], [1]);
    await folder.replace("snapshot", Uint8Array.of(3));
    assert.deepEqual([...await folder.read("snapshot")], [3]);
  }));
