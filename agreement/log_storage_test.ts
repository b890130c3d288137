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
import { LogStorage } from "./log_storage.ts";
import type {
  LogContents,
  RecoveredState,
  SnapshotDescriptor,
} from "./stored_state.ts";

function entry(index: number): LogEntry {
  const body = new TextEncoder().encode(`entry ${index}`);
  return { index, term: 1, atMs: index, kind: "command", body };
}

async function withTemporaryFolder(
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

async function openFailureKind(path: string): Promise<string> {
  try {
    await reopen(path);
  } catch (error) {
    assert.ok(error instanceof StorageError);
    return error.failure.kind;
  }
  return "none";
}

/** Stores a snapshot with one part per string, and a log that refers to it. */
async function storeSnapshot(
  storage: LogStorage,
  options: {
    readonly index: number;
    readonly parts: readonly string[];
    readonly log: LogContents;
  },
): Promise<SnapshotDescriptor> {
  const { index, parts, log } = options;
  const seats = { index: 0, change: { before: [], after: [] } };
  const meta = { index, term: 1, atMs: index, seats };
  const writer = storage.startSnapshot({ meta, machines: ["bundles"] });
  for (const part of parts) await writer.add({ machine: "bundles", part });
  const descriptor = await storage.storeSnapshot(writer);
  storage.startLog(descriptor, log);
  while (await storage.writeLog());
  await storage.finishLog();
  return descriptor;
}

/** Returns the parts of the stored snapshot. */
async function storedParts(path: string): Promise<unknown[]> {
  const storage = new LogStorage(new FileFolder(path));
  const { snapshot } = await storage.open(() => "other");
  const parts: unknown[] = [];
  if (snapshot !== null) {
    await storage.readContents(snapshot, {
      begin: (machines) => assert.deepEqual(machines, ["bundles"]),
      add: ({ part }) => parts.push(part),
      addStates: () => assert.fail("the snapshot is a single value"),
    });
  }
  await storage.close();
  return parts;
}

/** Returns what a transfer sends of a snapshot with these parts. */
async function transferOf(
  parts: readonly string[],
): Promise<{ payload: Uint8Array; descriptor: SnapshotDescriptor }> {
  const path = await mkdtemp(join(tmpdir(), "storage-"));
  try {
    const storage = new LogStorage(new FileFolder(path));
    const { hard } = await storage.open(() => "leader");
    const log = { hard, base: { index: 9, term: 1 }, entries: [] };
    const descriptor = await storeSnapshot(storage, { index: 9, parts, log });
    const range = { offset: 0, length: descriptor.bytes };
    const payload = await storage.readSnapshot(descriptor, range);
    await storage.close();
    return { payload, descriptor };
  } finally {
    await rm(path, { recursive: true });
  }
}

test("synced entries and the replica's identity survive a restart", () =>
  withTemporaryFolder(async (path) => {
    await writeBatches(path, 3);
    const recovered = await reopen(path);
    assert.equal(recovered.identity, "first");
    assert.deepEqual(recovered.entries, [1, 2, 3].map(entry));
  }));

test("an incomplete last record is truncated, wherever the write was interrupted", () =>
  withTemporaryFolder(async (path) => {
    const file = await writeBatches(path, 3);
    const intact = await readFile(file);
    const missingLengths = [1, 7, 20, 40];
    for (const missing of missingLengths) {
      await writeFile(file, intact.subarray(0, intact.length - missing));
      const recovered = await reopen(path);
      assert.deepEqual(recovered.entries, [1, 2].map(entry));
      await writeFile(file, intact);
    }
  }));

test("a corrupt byte before the last record prevents startup, whichever field it damages", () =>
  withTemporaryFolder(async (path) => {
    const file = await writeBatches(path, 3);
    const intact = await readFile(file);
    const start = intact.indexOf("entry 2") - 40;
    for (
      let offset = start;
      offset < intact.indexOf("entry 2") + 7;
      offset += 3
    ) {
      const damaged = Uint8Array.from(intact);
      damaged[offset] = (damaged[offset] as number) ^ 0x40;
      await writeFile(file, damaged);
      assert.equal(
        await openFailureKind(path),
        "storage_corrupt",
        `byte ${offset}`,
      );
    }
  }));

test("a missing or damaged snapshot prevents startup", () =>
  withTemporaryFolder(async (path) => {
    const storage = new LogStorage(new FileFolder(path));
    const { hard } = await storage.open(() => "first");
    const base = { index: 2, term: 1 };
    const log = { hard, base, entries: [entry(3)] };
    await storeSnapshot(storage, { index: 2, parts: ["state"], log });
    await storage.close();
    assert.deepEqual(await storedParts(path), ["state"]);
    assert.deepEqual((await reopen(path)).entries, [entry(3)]);
    const names = await readdir(path);
    const name = names.find((each) => each.startsWith("snapshot-")) as string;
    await writeFile(join(path, name), "damaged");
    assert.equal(await openFailureKind(path), "storage_corrupt");
    await rm(join(path, name));
    assert.equal(await openFailureKind(path), "storage_corrupt");
  }));

test("a second process cannot open a folder that is in use", () =>
  withTemporaryFolder(async (path) => {
    const storage = new LogStorage(new FileFolder(path));
    await storage.open(() => "first");
    assert.equal(await openFailureKind(path), "storage_failed");
    await storage.close();
    assert.equal(await openFailureKind(path), "none");
  }));

test("a snapshot transfer resumes after a restart, and starts over if the data is damaged", () =>
  withTemporaryFolder(async (path) => {
    const { payload, descriptor } = await transferOf(["x".repeat(99), "y"]);
    const { meta } = descriptor;
    const total = payload.length;
    const half = Math.floor(total / 2);
    const chunk = { hash: descriptor.hash, total };
    const storageBeforeRestart = new LogStorage(new FileFolder(path));
    await storageBeforeRestart.open(() => "first");
    const first = { ...chunk, offset: 0, bytes: payload.subarray(0, half) };
    await storageBeforeRestart.receiveChunk(first);
    await storageBeforeRestart.close();
    const storageAfterRestart = new LogStorage(new FileFolder(path));
    await storageAfterRestart.open(() => "first");
    const resumed = await storageAfterRestart.receiveChunk(first);
    assert.deepEqual(resumed, { bytes: half, complete: null });
    const corrupted = new Uint8Array(total - half);
    const rejected = await storageAfterRestart.receiveChunk({
      ...chunk,
      offset: half,
      bytes: corrupted,
    });
    assert.deepEqual(rejected, { bytes: 0, complete: null });
    await storageAfterRestart.receiveChunk(first);
    const rest = { ...chunk, offset: half, bytes: payload.subarray(half) };
    const received = await storageAfterRestart.receiveChunk(rest);
    assert.deepEqual(received.complete?.descriptor.meta, meta);
    await storageAfterRestart.close();
  }));

test("a snapshot that does not fit on the disk leaves the old one and no partial file", () =>
  withTemporaryFolder(async (path) => {
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
