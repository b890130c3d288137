import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicatedLog } from "#agreement";
import {
  Err,
  fail,
  type MachineCommand,
  MEBIBYTE,
  MemoryEventLog,
  SeededRandom,
  VirtualClock,
} from "#core";
import { encodeValue } from "#wire";
import { numberedItems, testBatch } from "./batch_test_support.ts";
import type { Batch } from "./batch_types.ts";
import { type BatchesCommand, BatchesMachine } from "./batches_machine.ts";
import { ItemTask } from "./item_task.ts";
import { ProgressWriter } from "./progress_writer.ts";

const ITEMS = 170;
const EVENT = "x".repeat(400);

function batchOf(id: string): Batch {
  const fields = { body: new Uint8Array(600), expectedTokens: 1_400 };
  return testBatch(id, numberedItems(id, ITEMS, fields));
}

test("progress that could not be logged for some seconds is logged once the log accepts commands again", async () => {
  const machine = new BatchesMachine();
  const clock = new VirtualClock(0);
  let full = true;
  let index = 0;
  let tooLarge = 0;
  // Answers as QuorumLog.propose does: not_ready while the log is full, body_too_large above 4 MiB.
  const log = {
    propose: ({ command }: MachineCommand) => {
      if (full) {
        return Promise.resolve(Err(fail("not_ready", "the log is full")));
      }
      const body = encodeValue({ machine: "batches", command });
      if (body.length > 4 * MEBIBYTE) {
        tooLarge += 1;
        return Promise.resolve(
          Err(fail("body_too_large", "the command exceeds the size limit")),
        );
      }
      return Promise.resolve(
        machine.apply({
          index: ++index,
          atMs: 0,
          command: command as BatchesCommand,
        }),
      );
    },
  } as unknown as ReplicatedLog;
  const tasks = new Map<string, ItemTask>();
  for (const id of ["a", "b", "c", "d"]) {
    const batch = batchOf(id);
    machine.apply({
      index: ++index,
      atMs: 0,
      command: { kind: "accept", batch, keepMs: 120_000 },
    });
    for (const item of machine.find(id)?.items.values() ?? []) {
      const task = new ItemTask(batch, {
        logged: item,
        dueMs: 7_000,
        nowMs: 0,
      });
      tasks.set(task.key, task);
    }
  }
  const writer = new ProgressWriter({
    log,
    machine,
    clock,
    random: new SeededRandom(1),
    events: new MemoryEventLog(),
    tasks: () => tasks.values(),
    engineSpeeds: () => [],
    onListed: (task) => tasks.delete(task.key),
  });
  // 680 items generate 18 events of 400 bytes each within 7 s, while the log is full.
  for (let event = 1; event <= 18; event += 1) {
    for (const task of tasks.values()) {
      task.addEvent(
        { id: event, data: EVENT, version: 1 } as Parameters<
          ItemTask["addEvent"]
        >[0],
      );
      if (event === 18) task.finish("completed");
    }
    await writer.flush();
    await clock.advanceAsync(400);
  }
  full = false;
  for (let second = 0; second < 600; second += 1) {
    await writer.flush();
    await clock.advanceAsync(1_000);
  }
  const listed = ["a", "b", "c", "d"].reduce(
    (sum, id) => sum + (machine.find(id)?.results.length ?? 0),
    0,
  );
  assert.equal(
    listed,
    4 * ITEMS,
    `${listed} listed after 10 minutes, ${tooLarge} commands were too large`,
  );
});
