import assert from "node:assert/strict";
import { test } from "node:test";
import { fail } from "#core";
import { failureResponse } from "./failure_response.ts";

test("the response to a failure states whether the request ran, when to retry and the request ID", () => {
  const response = failureResponse(
    fail("too_many_requests", "the queue is full", {
      retryAfterMs: 1_200,
      requestId: "r1",
    }),
  );
  assert.equal(response.status, 429);
  assert.equal(response.headers["Cicadafield-Ran"], "no");
  assert.equal(response.headers["Retry-After"], "2");
  assert.equal(response.headers["Cicadafield-Request"], "r1");
});
