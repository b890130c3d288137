import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeValue, encodeValue } from "#wire";
import { numberedItems, testBatch } from "./batch_test_support.ts";
import type { Batch } from "./batch_types.ts";
import { BatchesMachine } from "./batches_machine.ts";

function batchOf(id: string, count: number, expectedTokens: number): Batch {
  const headers = ["Model", "m"];
  const body = new Uint8Array(600);
  const fields = { headers, body, expectedTokens };
  return testBatch(id, numberedItems(id, count, fields));
}

function complete(
  machine: BatchesMachine,
  batch: Batch,
  from: number,
  to: number,
): void {
  const updates = batch.items.slice(from, to).map((item) => ({
    id: `u-${item.id}`,
    batch: batch.id,
    item: item.id,
    fromEvents: 0,
    events: 1,
    lastEvent: 1,
    text: "x".repeat(5_000),
    versions: [1],
    failures: 0,
    restart: false,
    outcome: "completed" as const,
  }));
  machine.apply({ index: 1, atMs: 0, command: { kind: "update", updates } });
}

test("a replica restored from a snapshot accepts a batch exactly as one that applied every command", () => {
  const machine = new BatchesMachine();
  const shared = batchOf("shared", 1, 10).items;
  const accept = (target: BatchesMachine, id: string, atMs: number): void => {
    const batch = { ...batchOf(id, 0, 10), items: shared };
    target.apply({
      index: 1,
      atMs,
      command: { kind: "accept", batch, keepMs: 120_000 },
    });
  };
  accept(machine, "b1", 0);
  const [item] = shared;
  // The text of the first batch grows; the batch stays open.
  machine.apply({
    index: 2,
    atMs: 1,
    command: {
      kind: "update",
      updates: [{
        id: "u",
        batch: "b1",
        item: item?.id ?? "",
        fromEvents: 0,
        events: 1,
        lastEvent: 1,
        text: "one",
        versions: [1],
        failures: 0,
        restart: false,
        outcome: null,
      }],
    },
  });
  accept(machine, "b2", 5_000);
  machine.apply({ index: 4, atMs: 6_000, command: { kind: "end", id: "b2" } });
  // The second batch expires; the first is still open.
  machine.apply({
    index: 5,
    atMs: 130_000,
    command: { kind: "update", updates: [] },
  });
  const restored = new BatchesMachine();
  const restoration = restored.startRestoration();
  for (const part of machine.snapshotParts()) {
    restoration.add(decodeValue(encodeValue(part)));
  }
  restoration.finish();
  for (const each of [machine, restored]) accept(each, "b3", 140_000);
  const textOf = (each: BatchesMachine) =>
    each.find("b3")?.items.get(item?.id ?? "")?.progress.text;
  assert.deepEqual(textOf(restored), textOf(machine));
});

test("results listed in a later batch while the parts are read are not in the snapshot", () => {
  const machine = new BatchesMachine();
  const batches = [batchOf("a", 200, 10), batchOf("b", 200, 10)];
  for (const batch of batches) {
    machine.apply({
      index: 1,
      atMs: 0,
      command: { kind: "accept", batch, keepMs: 1 },
    });
  }
  const expected = [...machine.snapshotParts()].map((part) =>
    decodeValue(encodeValue(part))
  );
  const parts: unknown[] = [];
  const source = machine.snapshotParts();
  complete(machine, batches[1] as Batch, 0, 100);
  for (const part of source) parts.push(decodeValue(encodeValue(part)));
  assert.deepEqual(parts, expected);
});
