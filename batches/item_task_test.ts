import assert from "node:assert/strict";
import { test } from "node:test";
import { testBatch, testItem } from "./batch_test_support.ts";
import type { ItemState } from "./batch_state.ts";
import type { ItemUpdate } from "./batch_types.ts";
import { BatchesMachine } from "./batches_machine.ts";
import { ItemTask } from "./item_task.ts";

const BATCH = testBatch("b", [testItem("x")], { minimumVersion: 1 });

/** A machine that has accepted the batch. */
function acceptedBatch(): BatchesMachine {
  const machine = new BatchesMachine();
  const command = { kind: "accept", batch: BATCH, keepMs: 1 } as const;
  machine.apply({ index: 1, atMs: 0, command });
  return machine;
}

function taskIn(machine: BatchesMachine): ItemTask {
  const logged = stateIn(machine);
  return new ItemTask(BATCH, { logged, dueMs: 0, nowMs: 0 });
}

function applyUpdate(
  machine: BatchesMachine,
  index: number,
  update: ItemUpdate,
): void {
  const command = { kind: "update", updates: [update] } as const;
  machine.apply({ index, atMs: 0, command });
}

function stateIn(machine: BatchesMachine): ItemState {
  const state = machine.find("b")?.items.get("x");
  assert.ok(state);
  return state;
}

test("a late update from an earlier leadership is not mistaken for the task's own update, even at equal length", () => {
  const machine = acceptedBatch();
  const before = taskIn(machine);
  before.addEvent({ id: 0, data: "a", version: 1 });
  const late = before.prepareUpdate("late");
  const after = taskIn(machine);
  after.addEvent({ id: 0, data: "a", version: 1 });
  const own = after.prepareUpdate("own");
  applyUpdate(machine, 2, late);
  applyUpdate(machine, 3, own);
  assert.equal(after.confirmUpdate(stateIn(machine)), false);
  assert.equal(after.isBasedOn(stateIn(machine)), false);
});

test("a task is based on the logged state after its own update is applied", () => {
  const machine = acceptedBatch();
  const task = taskIn(machine);
  task.addEvent({ id: 0, data: "a", version: 1 });
  const update = task.prepareUpdate("own");
  applyUpdate(machine, 2, update);
  assert.equal(task.confirmUpdate(stateIn(machine)), true);
  assert.equal(task.isBasedOn(stateIn(machine)), true);
  assert.equal(task.lastEvent, 0);
});

test("a text that restarts while an update is in flight loses none of its new events", () => {
  const machine = acceptedBatch();
  const task = taskIn(machine);
  task.addEvent({ id: 0, data: "old", version: 1 });
  const update = task.prepareUpdate("own");
  task.restart();
  task.addEvent({ id: 0, data: "a", version: 2 });
  applyUpdate(machine, 2, update);
  assert.equal(task.confirmUpdate(stateIn(machine)), true);
  task.addEvent({ id: 1, data: "b", version: 2 });
  const next = task.prepareUpdate("next");
  assert.equal(next.text, "a\nb");
  assert.equal(next.restart, true);
  assert.deepEqual(next.versions, [2]);
});

test("a text that restarts again while its restart is in flight is discarded again", () => {
  const machine = acceptedBatch();
  const task = taskIn(machine);
  for (const id of ["first", "second"]) {
    task.addEvent({ id: 0, data: id, version: 1 });
    const update = task.prepareUpdate(id);
    task.restart();
    applyUpdate(machine, 2, update);
    assert.equal(task.confirmUpdate(stateIn(machine)), true);
  }
  assert.equal(task.lastEvent, null);
  assert.equal(task.prepareUpdate("third").restart, true);
});
