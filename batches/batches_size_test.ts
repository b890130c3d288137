import assert from "node:assert/strict";
import { test } from "node:test";
import { encodeValue } from "#wire";
import { numberedItems, testBatch } from "./batch_test_support.ts";
import type { Batch, BatchItem, ItemUpdate } from "./batch_types.ts";
import { BatchesMachine } from "./batches_machine.ts";

const KEEP_MS = 1_000;
const ITEMS = 100;
const TEXT = "x".repeat(5_000);
/** More than an item occupies besides its body and text, with the expected growth of a text that is not complete. */
const MAXIMUM_OVERHEAD_BYTES = 2_000;

function batchOf(id: string, count: number): Batch {
  const items = numberedItems(id, count, {
    headers: ["Model", "m"],
    body: new Uint8Array(600),
    promptTokens: 10,
    expectedTokens: 100,
  });
  return testBatch(id, items, { minimumVersion: 1 });
}

function completion(batch: Batch, item: BatchItem): ItemUpdate {
  return {
    id: `update-${item.id}`,
    batch: batch.id,
    item: item.id,
    fromEvents: 0,
    events: 1,
    lastEvent: 1,
    text: TEXT,
    versions: [1],
    failures: 0,
    restart: false,
    outcome: "completed",
  };
}

function acceptAt(machine: BatchesMachine, batch: Batch, atMs: number): void {
  const command = { kind: "accept", batch, keepMs: KEEP_MS } as const;
  assert.ok(machine.apply({ index: 1, atMs, command }).ok);
}

test("the size of the state follows the size of its snapshot as batches come, complete and expire", () => {
  const machine = new BatchesMachine();
  assert.equal(machine.stateBytes(), 0);
  const checkSize = (): void => {
    let snapshotBytes = 0;
    for (const part of machine.snapshotParts()) {
      snapshotBytes += encodeValue(part).length;
    }
    const overheadBytes = machine.stateBytes() - snapshotBytes;
    const sizes = `${machine.stateBytes()}, snapshot ${snapshotBytes}`;
    assert.ok(overheadBytes >= 0, sizes);
    assert.ok(overheadBytes < (ITEMS + 1) * MAXIMUM_OVERHEAD_BYTES, sizes);
  };
  const batch = batchOf("b", ITEMS);
  acceptAt(machine, batch, 0);
  checkSize();
  const updates = batch.items.map((item) => completion(batch, item));
  const update = { kind: "update", updates } as const;
  machine.apply({ index: 2, atMs: 0, command: update });
  checkSize();
  assert.ok(machine.stateBytes() >= ITEMS * TEXT.length);
  assert.ok(machine.stateBytes() < 2 * ITEMS * TEXT.length);
  const end = { kind: "end", id: "b" } as const;
  machine.apply({ index: 3, atMs: 0, command: end });
  acceptAt(machine, batchOf("small", 1), 2 * KEEP_MS);
  assert.ok(machine.stateBytes() < TEXT.length);
  checkSize();
});
