import assert from "node:assert/strict";
import { test } from "node:test";
import { estimatedSize } from "./estimated_size.ts";

test("the estimated size counts strings, keys and byte arrays by length and other values as 8 bytes", () => {
  assert.equal(estimatedSize("four"), 4);
  assert.equal(estimatedSize(new Uint8Array(100)), 100);
  assert.equal(estimatedSize([1, null, true]), 24);
  assert.equal(estimatedSize({ key: ["ab", { k: 1 }] }), 3 + 2 + 1 + 8);
});

test("the estimated size of a deeply nested value does not exhaust the stack", () => {
  let value: unknown = "x";
  for (let depth = 0; depth < 100_000; depth += 1) value = [value];
  assert.equal(estimatedSize(value), 1);
});
