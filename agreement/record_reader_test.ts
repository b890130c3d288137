import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import { test } from "node:test";
import { type Bytes, MEBIBYTE, SeededRandom, VirtualClock } from "#core";
import { MemoryDisk, type MemoryFolder } from "./memory_folder.ts";
import { encodeRecord, hashHex, MAGIC, RECORD_HEADER_BYTES } from "./record.ts";
import { hashFile, type RecordFault, RecordReader } from "./record_reader.ts";

const NAME = "records";
/** Sizes of payloads that cross the ends of the windows of 1 MiB, and that exceed one. */
const SIZES: readonly Bytes[] = [
  0,
  MEBIBYTE - 40,
  1,
  700_000,
  700_000,
  3 * MEBIBYTE,
  5,
];

function folderWith(bytes: Uint8Array): MemoryFolder {
  const disk = new MemoryDisk({
    clock: new VirtualClock(0),
    random: new SeededRandom(1),
    nextSyncMs: () => 0,
  });
  disk.files.set(NAME, Buffer.from(bytes));
  return disk.open();
}

function payloads(): Uint8Array[] {
  return SIZES.map((size, index) => Buffer.alloc(size, index + 1));
}

async function readAll(
  bytes: Uint8Array,
): Promise<{ sizes: Bytes[]; validBytes: Bytes; fault: RecordFault }> {
  const reader = await RecordReader.open({
    folder: folderWith(bytes),
    name: NAME,
  });
  const sizes: Bytes[] = [];
  for (
    let payload = await reader.next();
    payload !== undefined;
    payload = await reader.next()
  ) {
    assert.ok(payload.every((byte) => byte === sizes.length + 1));
    sizes.push(payload.length);
  }
  const fault = await reader.fault();
  return { sizes, validBytes: reader.validBytes, fault };
}

test("records of any size are read, whichever window they start and end in", async () => {
  const bytes = Buffer.concat(payloads().map(encodeRecord));
  assert.deepEqual(await readAll(bytes), {
    sizes: [...SIZES],
    validBytes: bytes.length,
    fault: "none",
  });
});

test("a file that ends within a record is torn at the end of the one before", async () => {
  const records = payloads().map(encodeRecord);
  const whole = Buffer.concat(records);
  const lastStart = whole.length - 5 - RECORD_HEADER_BYTES;
  for (const length of [lastStart + 1, lastStart + 17, whole.length - 1]) {
    const result = await readAll(whole.subarray(0, length));
    assert.equal(result.fault, "torn");
    assert.equal(result.validBytes, lastStart);
  }
});

test("an invalid record is corruption if a valid one follows, however far and across any window", async () => {
  const last = encodeRecord(Uint8Array.of(1));
  for (let offset = 0; offset < RECORD_HEADER_BYTES + 2; offset += 1) {
    const gap = 2 * MEBIBYTE - offset;
    const damaged = Buffer.alloc(gap, 7);
    const result = await readAll(Buffer.concat([damaged, last]));
    assert.equal(result.fault, "corrupt", `gap of ${gap} bytes`);
    assert.equal(result.validBytes, 0);
  }
});

test("damaged bytes that only look like the start of a record are a torn write", async () => {
  const looksLikeRecord = Buffer.concat([MAGIC, Buffer.alloc(40, 0)]);
  const first = encodeRecord(Buffer.alloc(9, 1));
  const bytes = Buffer.concat([first, looksLikeRecord, looksLikeRecord]);
  const result = await readAll(bytes);
  assert.equal(result.fault, "torn");
  assert.equal(result.validBytes, first.length);
});

test("the hash of a file equals that of its bytes", async () => {
  const bytes = Buffer.concat(payloads());
  const file = { folder: folderWith(bytes), name: NAME };
  assert.equal(await hashFile(file), hashHex(bytes));
});
