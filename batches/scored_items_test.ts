import assert from "node:assert/strict";
import { test } from "node:test";
import { decodeValue, encodeValue } from "#wire";
import { testBatch, testItem } from "./batch_test_support.ts";
import type { Batch, ItemUpdate } from "./batch_types.ts";
import { BatchesMachine } from "./batches_machine.ts";

const KEEP_MS = 60_000;

function batchOf(id: string, scoringId = "s1", minimumVersion = 1): Batch {
  const body = new Uint8Array(5);
  const scoring = { id: scoringId, host: "h2", target: "/s/1", body };
  const item = testItem("x", { body: new Uint8Array(2), scoring });
  return testBatch(id, [item], { minimumVersion });
}

function updateOf(batch: string, change: Partial<ItemUpdate>): ItemUpdate {
  return {
    id: "u",
    batch,
    item: "x",
    fromEvents: 0,
    events: 0,
    lastEvent: null,
    text: "",
    versions: [],
    failures: 0,
    restart: false,
    outcome: null,
    ...change,
  };
}

const WHOLE_TEXT = {
  events: 2,
  lastEvent: 1,
  text: "a\nb",
  versions: [1],
  textComplete: true,
};

class Log {
  readonly machine = new BatchesMachine();
  #index = 0;

  accept(batch: Batch): void {
    this.#apply({ kind: "accept", batch, keepMs: KEEP_MS });
  }

  update(batch: string, change: Partial<ItemUpdate>): void {
    this.#apply({ kind: "update", updates: [updateOf(batch, change)] });
  }

  end(id: string): void {
    this.#apply({ kind: "end", id });
  }

  #apply(command: unknown): void {
    this.#index += 1;
    const entry = { index: this.#index, atMs: 0, command: command as never };
    this.machine.apply(entry);
  }
}

function scores(machine: BatchesMachine, batch: string): readonly unknown[] {
  const results = machine.find(batch)?.results ?? [];
  return results.map((each) => [each.outcome, each.score]);
}

test("an item with a complete text is listed only with its score", () => {
  const log = new Log();
  log.accept(batchOf("b"));
  log.update("b", WHOLE_TEXT);
  assert.deepEqual(scores(log.machine, "b"), []);
  log.update("b", { fromEvents: 2, outcome: "completed" });
  assert.deepEqual(scores(log.machine, "b"), []);
  log.update("b", { fromEvents: 2, score: "s", outcome: "completed" });
  assert.deepEqual(scores(log.machine, "b"), [["completed", "s"]]);
});

test("a score that arrives before its text was stored is listed with it", () => {
  const log = new Log();
  log.accept(batchOf("b"));
  log.update("b", { ...WHOLE_TEXT, score: "s", outcome: "completed" });
  assert.deepEqual(scores(log.machine, "b"), [["completed", "s"]]);
});

test("the score of a text that the log does not have changes nothing", () => {
  const log = new Log();
  log.accept(batchOf("b"));
  log.update("b", { events: 1, lastEvent: 0, text: "a", versions: [1] });
  // A run of an earlier leader that had no event yet when it was stored last.
  log.update("b", { ...WHOLE_TEXT, score: "old", outcome: "completed" });
  assert.deepEqual(scores(log.machine, "b"), []);
  assert.equal(log.machine.find("b")?.items.get("x")?.score, null);
});

test("no event follows a complete text that waits for its score", () => {
  const log = new Log();
  log.accept(batchOf("b"));
  log.update("b", WHOLE_TEXT);
  log.update("b", { fromEvents: 2, events: 1, lastEvent: 2, text: "c" });
  log.update("b", { fromEvents: 2, restart: true });
  assert.equal(log.machine.find("b")?.items.get("x")?.progress.events, 2);
});

test("an item whose scoring call keeps failing is given up with its text", () => {
  const log = new Log();
  log.accept(batchOf("b"));
  log.update("b", WHOLE_TEXT);
  log.update("b", { fromEvents: 2, scoringFailures: 2 });
  assert.equal(log.machine.find("b")?.items.get("x")?.scoringFailures, 2);
  log.update("b", {
    fromEvents: 2,
    scoringFailures: 1,
    outcome: "given_up",
  });
  assert.deepEqual(scores(log.machine, "b"), [["given_up", null]]);
});

test("an item that comes again with its complete text needs only the scoring call", () => {
  const log = new Log();
  log.accept(batchOf("b1"));
  log.update("b1", WHOLE_TEXT);
  log.end("b1");
  log.accept(batchOf("b2"));
  const state = log.machine.find("b2")?.items.get("x");
  assert.equal(state?.whole, true);
  assert.equal(state?.item.scoring?.target, "/s/1");
  assert.deepEqual(scores(log.machine, "b2"), []);
});

test("an item that comes again is listed at once with the score of the same scoring call only", () => {
  for (const [scoringId, listed] of [["s1", 1], ["s2", 0]] as const) {
    const log = new Log();
    log.accept(batchOf("b1"));
    log.update("b1", { ...WHOLE_TEXT, score: "s", outcome: "completed" });
    log.end("b1");
    log.accept(batchOf("b2", scoringId));
    assert.equal(scores(log.machine, "b2").length, listed);
  }
});

test("an item that comes again with a newer minimum version loses text and score", () => {
  const log = new Log();
  log.accept(batchOf("b1"));
  log.update("b1", { ...WHOLE_TEXT, score: "s", outcome: "completed" });
  log.end("b1");
  log.accept(batchOf("b2", "s1", 2));
  const state = log.machine.find("b2")?.items.get("x");
  assert.equal(state?.whole, false);
  assert.equal(state?.score, null);
});

test("a replica that is restored from a snapshot has the same scores and scoring calls", () => {
  for (const score of ["s", null]) {
    const log = new Log();
    log.accept(batchOf("b"));
    log.update("b", {
      ...WHOLE_TEXT,
      score,
      outcome: score === null ? null : "completed",
    });
    const restored = new BatchesMachine();
    const restoration = restored.startRestoration();
    for (const part of log.machine.snapshotParts()) {
      restoration.add(decodeValue(encodeValue(part)));
    }
    restoration.finish();
    assert.deepEqual(scores(restored, "b"), scores(log.machine, "b"));
    assert.equal(restored.stateBytes(), log.machine.stateBytes());
    const scoring = restored.find("b")?.items.get("x")?.item.scoring;
    assert.equal(scoring?.body.length, score === null ? 5 : 0);
  }
});
