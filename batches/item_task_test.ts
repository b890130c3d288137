import assert from "node:assert/strict";
import { test } from "node:test";
import { testBatch, testItem } from "./batch_test_support.ts";
import type { ItemState } from "./batch_state.ts";
import { BatchesMachine } from "./batches_machine.ts";
import { ItemTask } from "./item_task.ts";

const BATCH = testBatch("b", [testItem("x")], { minimumVersion: 1 });

function stateIn(machine: BatchesMachine): ItemState {
  const state = machine.find("b")?.items.get("x");
  assert.ok(state);
  return state;
}

test("a late update from an earlier leadership is not mistaken for the task's own update, even at equal length", () => {
  const machine = new BatchesMachine();
  const command = { kind: "accept", batch: BATCH, keepMs: 1 } as const;
  machine.apply({ index: 1, atMs: 0, command });
  const before = new ItemTask(BATCH, {
    logged: stateIn(machine),
    dueMs: 0,
    nowMs: 0,
  });
  before.addEvent({ id: 0, data: "a", version: 1 });
  const late = before.prepareUpdate("late");
  const after = new ItemTask(BATCH, {
    logged: stateIn(machine),
    dueMs: 0,
    nowMs: 0,
  });
  after.addEvent({ id: 0, data: "a", version: 1 });
  const own = after.prepareUpdate("own");
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
  assert.equal(after.confirmUpdate(stateIn(machine)), false);
  assert.equal(after.isBasedOn(stateIn(machine)), false);
});

test("a task is based on the logged state after its own update is applied", () => {
  const machine = new BatchesMachine();
  const command = { kind: "accept", batch: BATCH, keepMs: 1 } as const;
  machine.apply({ index: 1, atMs: 0, command });
  const task = new ItemTask(BATCH, {
    logged: stateIn(machine),
    dueMs: 0,
    nowMs: 0,
  });
  task.addEvent({ id: 0, data: "a", version: 1 });
  const update = task.prepareUpdate("own");
  machine.apply({
    index: 2,
    atMs: 0,
    command: { kind: "update", updates: [update] },
  });
  assert.equal(task.confirmUpdate(stateIn(machine)), true);
  assert.equal(task.isBasedOn(stateIn(machine)), true);
  assert.equal(task.lastEvent, 0);
});

test("a text that restarts while an update is in flight loses none of its new events", () => {
  const machine = new BatchesMachine();
  const command = { kind: "accept", batch: BATCH, keepMs: 1 } as const;
  machine.apply({ index: 1, atMs: 0, command });
  const task = new ItemTask(BATCH, {
    logged: stateIn(machine),
    dueMs: 0,
    nowMs: 0,
  });
  task.addEvent({ id: 0, data: "old", version: 1 });
  const update = task.prepareUpdate("own");
  task.restart();
  task.addEvent({ id: 0, data: "a", version: 2 });
  machine.apply({
    index: 2,
    atMs: 0,
    command: { kind: "update", updates: [update] },
  });
  assert.equal(task.confirmUpdate(stateIn(machine)), true);
  task.addEvent({ id: 1, data: "b", version: 2 });
  const next = task.prepareUpdate("next");
  assert.equal(next.text, "a\nb");
  assert.equal(next.restart, true);
  assert.deepEqual(next.versions, [2]);
});

test("a text that restarts again while its restart is in flight is discarded again", () => {
  const machine = new BatchesMachine();
  const command = { kind: "accept", batch: BATCH, keepMs: 1 } as const;
  machine.apply({ index: 1, atMs: 0, command });
  const task = new ItemTask(BATCH, {
    logged: stateIn(machine),
    dueMs: 0,
    nowMs: 0,
  });
  for (const id of ["first", "second"]) {
    task.addEvent({ id: 0, data: id, version: 1 });
    const updates = [task.prepareUpdate(id)];
    task.restart();
    machine.apply({
      index: 2,
      atMs: 0,
      command: { kind: "update", updates },
    });
    assert.equal(task.confirmUpdate(stateIn(machine)), true);
  }
  assert.equal(task.lastEvent, null);
  assert.equal(task.prepareUpdate("third").restart, true);
});
