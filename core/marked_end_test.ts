import assert from "node:assert/strict";
import { test } from "node:test";
import { hasMarkedEnd } from "./marked_end.ts";

// Guards against a response whose end is its connection's and that is taken for one with a length.
test("only a length, chunks as the last coding, or the lack of a body mark the end of a response", () => {
  const isMarked = (
    headers: Readonly<Record<string, string>>,
    { statusCode = 200, method = "GET" } = {},
  ): boolean => hasMarkedEnd({ statusCode, headers }, method);
  assert.equal(isMarked({ "content-length": "0" }), true);
  assert.equal(isMarked({ "transfer-encoding": "chunked" }), true);
  assert.equal(isMarked({ "transfer-encoding": "gzip, Chunked" }), true);
  assert.equal(isMarked({}, { statusCode: 204 }), true);
  assert.equal(isMarked({}, { statusCode: 304 }), true);
  assert.equal(isMarked({}, { method: "HEAD" }), true);
  assert.equal(isMarked({}), false);
  assert.equal(isMarked({ connection: "close" }), false);
  assert.equal(isMarked({ "transfer-encoding": "gzip" }), false);
  assert.equal(isMarked({ "transfer-encoding": "chunked, gzip" }), false);
});
