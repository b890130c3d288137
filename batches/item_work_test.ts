import assert from "node:assert/strict";
import { test } from "node:test";
import type { Batch } from "./batch_types.ts";
import { BatchesMachine, type HeldItem } from "./batches_machine.ts";
import { ItemWork } from "./item_work.ts";

const BATCH: Batch = {
  id: "b",
  route: "r",
  host: "h",
  model: "m",
  minimumVersion: 1,
  singleVersion: false,
  maximumFailures: 3,
  maximumQueueMs: null,
  dueMs: 7_000,
  items: [{
    id: "x",
    target: "/a/b",
    headers: [],
    body: new Uint8Array(0),
    group: "g",
    promptTokens: 1,
    expectedTokens: 10,
  }],
};

function heldIn(machine: BatchesMachine): HeldItem {
  const held = machine.find("b")?.items.get("x");
  assert.ok(held);
  return held;
}

test("an update of an earlier lead that comes late is not taken for the own one, even of equal length", () => {
  const machine = new BatchesMachine();
  const command = { kind: "accept", batch: BATCH, keepMs: 1 } as const;
  machine.apply({ index: 1, atMs: 0, command });
  const before = new ItemWork(BATCH, { held: heldIn(machine), dueMs: 0 });
  before.add({ id: 0, data: "a", version: 1 });
  const late = before.takeUpdate("late");
  const after = new ItemWork(BATCH, { held: heldIn(machine), dueMs: 0 });
  after.add({ id: 0, data: "a", version: 1 });
  const own = after.takeUpdate("own");
  machine.apply({
    index: 2,
    atMs: 0,
    command: { kind: "update", updates: [late] },
  });
  machine.apply({
    index: 3,
    atMs: 0,
    command: { kind: "update", updates: [own] },
  });
  assert.equal(after.settle(heldIn(machine)), false);
  assert.equal(after.buildsOn(heldIn(machine)), false);
});

test("a work builds on what its own update has made", () => {
  const machine = new BatchesMachine();
  const command = { kind: "accept", batch: BATCH, keepMs: 1 } as const;
  machine.apply({ index: 1, atMs: 0, command });
  const work = new ItemWork(BATCH, { held: heldIn(machine), dueMs: 0 });
  work.add({ id: 0, data: "a", version: 1 });
  const update = work.takeUpdate("own");
  machine.apply({
    index: 2,
    atMs: 0,
    command: { kind: "update", updates: [update] },
  });
  assert.equal(work.settle(heldIn(machine)), true);
  assert.equal(work.buildsOn(heldIn(machine)), true);
  assert.equal(work.lastEvent, 0);
});
