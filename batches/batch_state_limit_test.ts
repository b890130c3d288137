import assert from "node:assert/strict";
import { test } from "node:test";
import { batchStateLimit } from "./batch_state_limit.ts";

test("the state of the batches may occupy what the process leaves of its memory", () => {
  assert.equal(batchStateLimit(230_000_000), 72_000_000);
  assert.equal(batchStateLimit(400_000_000), 242_000_000);
});

test("the state has no limit if the memory is not known, and a small one in a small process", () => {
  assert.equal(batchStateLimit(null), Infinity);
  assert.equal(batchStateLimit(100_000_000), 16_000_000);
});
