import assert from "node:assert/strict";
import { test } from "node:test";
import type { Bytes } from "#core";
import type { LogEntry } from "./entries.ts";
import { EntryLog } from "./entry_log.ts";

function entry(index: number, bytes: Bytes, term = 1): LogEntry {
  const body = new Uint8Array(bytes);
  return { index, term, atMs: 0, kind: "command", body };
}

function logOf(...sizes: readonly Bytes[]): EntryLog {
  const entries = sizes.map((bytes, position) => entry(position + 1, bytes));
  return new EntryLog({ index: 0, term: 0 }, entries);
}

test("the size of a log follows appended, replaced and discarded entries", () => {
  const log = logOf(10, 20, 30);
  assert.equal(log.bytes, 60);
  assert.equal(log.bytesThrough(2), 30);
  log.append([entry(3, 5, 2), entry(4, 6, 2)]);
  assert.equal(log.bytes, 41);
  log.compact(2);
  assert.equal(log.bytes, 11);
  assert.equal(log.bytesThrough(2), 0);
  assert.equal(log.bytesThrough(3), 5);
  log.append([entry(4, 1, 3)]);
  assert.equal(log.bytes, 6);
  log.reset({ index: 9, term: 3 });
  assert.equal(log.bytes, 0);
});

test("entries are retained within the limits of both their number and their size", () => {
  const log = logOf(10, 20, 30, 40);
  assert.equal(log.retentionStart(4, { entries: 2, bytes: 1_000 }), 2);
  assert.equal(log.retentionStart(4, { entries: 9, bytes: 70 }), 2);
  assert.equal(log.retentionStart(4, { entries: 9, bytes: 69 }), 3);
  assert.equal(log.retentionStart(4, { entries: 9, bytes: 39 }), 4);
  assert.equal(log.retentionStart(3, { entries: 9, bytes: 1_000 }), 0);
});
