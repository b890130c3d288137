import assert from "node:assert/strict";
import { test } from "node:test";
import { type Bytes, MEBIBYTE, type Milliseconds } from "#core";
import { LargeStateReplica } from "./large_state_group.ts";

const MAXIMUM_TRANSFER_BYTES: Bytes = 3 * MEBIBYTE;
const MAXIMUM_LOG_BYTES: Bytes = 24 * MEBIBYTE;
const MAXIMUM_COMMIT_MS: Milliseconds = 700;
const STATE_BLOBS = 40;

test("the log on disk, and with it the log in memory, is bounded by bytes when entries are large", async () => {
  const replica = new LargeStateReplica();
  await replica.start();
  let largest = 0;
  for (let count = 0; count < 80; count += 1) {
    await replica.store(count % 2, MEBIBYTE);
    largest = Math.max(largest, replica.storedBytes("log-"));
  }
  assert.ok(largest <= MAXIMUM_LOG_BYTES, `${largest} bytes`);
});

test("no read or write of the folder grows with the state, also at a restart", async () => {
  const replica = new LargeStateReplica();
  await replica.start();
  await replica.fill(STATE_BLOBS);
  const written = replica.folder.largestBytes;
  assert.ok(written <= MAXIMUM_TRANSFER_BYTES, `wrote ${written} bytes`);
  await replica.restart();
  assert.equal(replica.machine.blobs.size, STATE_BLOBS);
  const read = replica.folder.largestBytes;
  assert.ok(read <= MAXIMUM_TRANSFER_BYTES, `read ${read} bytes`);
});

test("commits do not wait for a snapshot of a large state", async () => {
  const replica = new LargeStateReplica();
  await replica.start();
  await replica.fill(STATE_BLOBS);
  let slowest = 0;
  for (let count = 0; count < 600; count += 1) {
    const { failure, tookMs } = await replica.store(count % 8, 100_000);
    assert.equal(failure, undefined);
    slowest = Math.max(slowest, tookMs);
  }
  assert.ok(replica.storedBytes("snapshot-") > 0);
  assert.ok(slowest <= MAXIMUM_COMMIT_MS, `${slowest} ms`);
});
