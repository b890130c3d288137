import assert from "node:assert/strict";
import { test } from "node:test";
import { attemptKey, type OriginRecord, OriginTable } from "./origin_table.ts";

function recordOf(key: string, softwareVersion = "v1"): OriginRecord {
  return { key, service: "s", softwareVersion, retentionMs: 1_000 };
}

test("a stream is known until it can't be taken up any more, and longer if it was taken up", () => {
  const table = new OriginTable();
  table.record(recordOf("a"), 0);
  table.record(recordOf("b"), 0);
  table.record(recordOf("b"), 600);
  assert.equal(table.find("a", 999)?.softwareVersion, "v1");
  assert.equal(table.find("a", 999)?.ageMs, 999);
  assert.equal(table.find("a", 1_000), undefined);
  assert.equal(table.find("b", 1_500)?.softwareVersion, "v1");
  table.expire(1_500);
  assert.deepEqual(table.records(1_500), [{
    ...recordOf("b"),
    retentionMs: 100,
  }]);
});

test("records of one attempt that differ make known that its version is not known", () => {
  const table = new OriginTable();
  table.record(recordOf("a"), 0);
  table.record(recordOf("a", "v2"), 1);
  table.record(recordOf("a"), 2);
  assert.equal(table.find("a", 3)?.isContradictory, true);
});

test("beyond the most streams that are kept the oldest are forgotten", () => {
  const table = new OriginTable({ maximumStreams: 2 });
  for (const key of ["a", "b", "c"]) table.record(recordOf(key), 0);
  assert.equal(table.size, 2);
  assert.equal(table.find("a", 1), undefined);
  assert.notEqual(table.find("b", 1), undefined);
});

test("the identifier of an attempt takes no more memory than its digest", () => {
  assert.equal(attemptKey("r1"), "r1");
  const long = "x".repeat(16_000);
  assert.ok(attemptKey(long).length < 64);
  assert.notEqual(attemptKey(long), attemptKey(`${long}y`));
});
