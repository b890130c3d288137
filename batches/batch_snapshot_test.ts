import assert from "node:assert/strict";
import { test } from "node:test";
import { MEBIBYTE } from "#core";
import { decodeValue, encodeValue } from "#wire";
import { numberedItems, testBatch } from "./batch_test_support.ts";
import { type Batch, type ItemUpdate, readResult } from "./batch_types.ts";
import { type BatchesCommand, BatchesMachine } from "./batches_machine.ts";

const ITEMS = 200;
const TEXT = "0123456789".repeat(1_000);
const BODY_BYTES = 2_000;

let index = 0;

function batchOf(id: string): Batch {
  const headers = ["Model", "m"];
  const body = new Uint8Array(BODY_BYTES);
  return testBatch(id, numberedItems(id, ITEMS, { headers, body }));
}

function updateOf(batch: string, item: string): ItemUpdate {
  return {
    id: `update-${item}`,
    batch,
    item,
    fromEvents: 0,
    events: 1,
    lastEvent: 0,
    text: TEXT,
    versions: [1],
    failures: 0,
    restart: false,
    outcome: "completed",
  };
}

function apply(machine: BatchesMachine, command: BatchesCommand): void {
  machine.apply({ index: ++index, atMs: 0, command });
}

/** Returns a state with one batch whose first `listed` items are listed. */
function machineWith(listed: number): BatchesMachine {
  const machine = new BatchesMachine();
  apply(machine, { kind: "accept", batch: batchOf("b"), keepMs: 1_000 });
  listItems(machine, { from: 0, to: listed });
  return machine;
}

function listItems(
  machine: BatchesMachine,
  range: { readonly from: number; readonly to: number },
): void {
  for (let at = range.from; at < range.to; at += 1) {
    const updates = [updateOf("b", `b-${at}`)];
    apply(machine, { kind: "update", updates });
  }
}

function encodeParts(machine: BatchesMachine): readonly Uint8Array[] {
  return [...machine.snapshotParts()].map(encodeValue);
}

function restoreFrom(parts: readonly Uint8Array[]): BatchesMachine {
  const machine = new BatchesMachine();
  const restoration = machine.startRestoration();
  for (const part of parts) restoration.add(decodeValue(part));
  restoration.finish();
  return machine;
}

function totalLength(parts: readonly Uint8Array[]): number {
  return parts.reduce((sum, part) => sum + part.length, 0);
}

test("a snapshot holds the text of a listed item once, also after a restore", () => {
  const restored = restoreFrom(encodeParts(machineWith(ITEMS)));
  const bytes = totalLength(encodeParts(restored));
  assert.ok(bytes < 1.1 * ITEMS * TEXT.length, `${bytes} bytes`);
});

test("a snapshot holds no body of a listed item", () => {
  const empty = totalLength(encodeParts(machineWith(0)));
  const listed = totalLength(encodeParts(machineWith(ITEMS)));
  assert.ok(empty > ITEMS * BODY_BYTES);
  assert.ok(listed < ITEMS * (TEXT.length + BODY_BYTES / 2), `${listed} bytes`);
});

test("a batch larger than a part is divided into parts of at most 1 MiB", () => {
  const parts = encodeParts(machineWith(ITEMS));
  assert.ok(parts.length > 1);
  for (const part of parts) assert.ok(part.length <= MEBIBYTE);
});

test("the parts of a snapshot show the state at the time of the call, whatever is applied while they are read", () => {
  const machine = machineWith(ITEMS / 2);
  const expected = encodeParts(machine);
  const parts: Uint8Array[] = [];
  let from = ITEMS / 2;
  for (const part of machine.snapshotParts()) {
    parts.push(encodeValue(part));
    listItems(machine, { from, to: from + 30 });
    from += 30;
    apply(machine, { kind: "end", id: "b" });
  }
  assert.deepEqual(parts.map(decodeValue), expected.map(decodeValue));
});

/** The state as builds without parts store it: a listed item and one in progress. */
function wholeValue(): unknown {
  const { items, ...header } = batchOf("b");
  const state = { failures: 0, whole: false, again: false, lastUpdate: "u" };
  const listedText = { events: 1, lastEvent: 0, text: "né", versions: [2] };
  const openText = { events: 1, lastEvent: 5, text: "ab", versions: [1] };
  return [{
    batch: { ...header, items: items.slice(0, 2) },
    acceptedMs: 5,
    keepMs: 1_000,
    ended: false,
    items: [
      { ...state, progress: listedText, listed: true, whole: true },
      { ...state, progress: openText, listed: false },
    ],
    results: [
      {
        id: "b-0",
        outcome: "completed",
        text: "né",
        versions: [2],
        score: null,
      },
    ],
  }];
}

test("the single value of a build without parts is restored", () => {
  const machine = restoreFrom([encodeValue(wholeValue())]);
  const state = machine.find("b");
  assert.deepEqual(state?.results.map(readResult), [
    {
      id: "b-0",
      outcome: "completed",
      text: "né",
      versions: [2],
      score: null,
    },
  ]);
  const open = state?.items.get("b-1");
  assert.equal(open?.progress.text, "ab");
  assert.equal(open?.progress.textBytes, 2);
  assert.equal(open?.item.body.length, BODY_BYTES);
  assert.equal(state?.acceptedMs, 5);
  assert.equal(state?.batch.model, "m");
});

test("a build without parts can read the single value: it has every text as a string, in items and results", () => {
  const machine = restoreFrom([encodeValue(wholeValue())]);
  const value = decodeValue(encodeValue(machine.snapshot())) as {
    readonly batch: Batch;
    readonly items: readonly {
      readonly listed: boolean;
      readonly progress: { readonly text: unknown };
    }[];
    readonly results: readonly unknown[];
  }[];
  assert.deepEqual(value[0]?.batch.items.map((item) => item.id), [
    "b-0",
    "b-1",
  ]);
  assert.deepEqual(value[0]?.items.map((item) => item.progress.text), [
    "né",
    "ab",
  ]);
  assert.deepEqual(value[0]?.items.map((item) => item.listed), [true, false]);
  assert.deepEqual(value[0]?.results, [
    {
      id: "b-0",
      outcome: "completed",
      text: "né",
      versions: [2],
      score: null,
    },
  ]);
});

test("the state retains neither the buffer of a part nor that of a command", () => {
  const command = decodeValue(
    encodeValue({ kind: "accept", batch: batchOf("b"), keepMs: 1_000 }),
  );
  const accepted = new BatchesMachine();
  apply(accepted, command as BatchesCommand);
  listItems(accepted, { from: 0, to: 1 });
  for (const machine of [accepted, restoreFrom(encodeParts(accepted))]) {
    const state = machine.find("b");
    assert.equal(
      state?.items.get("b-1")?.item.body.buffer.byteLength,
      BODY_BYTES,
    );
    assert.equal(state?.results[0]?.text.buffer.byteLength, TEXT.length);
    const listed = state?.items.get("b-0")?.progress.text;
    assert.equal(listed, state?.results[0]?.text, "one text, not two");
  }
});

test("a replica that replaces its state holds none of the old texts while the new ones arrive", () => {
  const machine = machineWith(2);
  const parts = encodeParts(machine);
  const restoration = machine.startRestoration();
  assert.equal(machine.stateBytes(), 0);
  assert.equal(machine.find("b"), undefined);
  for (const part of parts) restoration.add(decodeValue(part));
  restoration.finish();
  assert.deepEqual(
    encodeParts(machine).map(decodeValue),
    parts.map(decodeValue),
  );
});

test("the size of the state is the same after a restore, and that of an empty state is 0", () => {
  const machine = machineWith(ITEMS / 2);
  const restored = restoreFrom(encodeParts(machine));
  assert.ok(machine.bytesAt(0) > ITEMS / 2 * TEXT.length);
  assert.equal(restored.bytesAt(0), machine.bytesAt(0));
  assert.equal(new BatchesMachine().bytesAt(0), 0);
});
