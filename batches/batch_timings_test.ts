import assert from "node:assert/strict";
import { test } from "node:test";
import { freshItemState, withoutRequest } from "./batch_state.ts";
import { testBatch, testItem } from "./batch_test_support.ts";
import { BatchTimings } from "./batch_timings.ts";
import { ItemTask } from "./item_task.ts";

const BATCH = testBatch("b", []);

function taskOf(id: string, group: string): ItemTask {
  const logged = freshItemState(testItem(id, { group }));
  return new ItemTask(BATCH, { logged, dueMs: 0, nowMs: 0 });
}

test("a late step states for its slowest groups which item was last, and how long it ran", () => {
  const timings = new BatchTimings(1_000);
  const late = taskOf("late", "g0");
  late.addEvent({ id: 0, data: "a", version: 1 });
  Object.assign(late.runUsage, {
    count: 2,
    totalMs: 6_500,
    longestGapMs: 90,
    latestEngine: "e",
  });
  timings.record(taskOf("early", "g0"), 1_400);
  timings.record(late, 9_000);
  for (let group = 1; group < 6; group += 1) {
    timings.record(taskOf(`i${group}`, `g${group}`), 2_000 + group);
  }
  const slowest = timings.slowest();
  assert.deepEqual(slowest.map((each) => each.item), [
    "late",
    "i5",
    "i4",
    "i3",
  ]);
  assert.deepEqual(slowest[0], {
    item: "late",
    group: "g0",
    afterMs: 8_000,
    runMs: 6_500,
    longestGapMs: 90,
    runs: 2,
    events: 1,
    engine: "e",
    resubmitted: false,
  });
});

test("a listed item counts for its group although the log no longer holds the group", () => {
  const timings = new BatchTimings(0);
  for (const group of ["g0", "g1"]) {
    const logged = freshItemState(testItem(`${group}-x`, { group }));
    const task = new ItemTask(BATCH, { logged, dueMs: 0, nowMs: 0 });
    const { id } = task.prepareUpdate(`update-${group}`);
    task.confirmUpdate({
      ...withoutRequest(logged),
      listed: true,
      lastUpdate: id,
    });
    timings.record(task, 100);
  }
  const groups = timings.slowest().map((each) => each.group);
  assert.deepEqual(groups, ["g0", "g1"]);
});
