import assert from "node:assert/strict";
import { test } from "node:test";
import { fail } from "#core";
import { failureResponse } from "./failure_response.ts";

test("a refusal says whether it ran, when to come back and which request it was", () => {
  const answer = failureResponse(
    fail("too_many_requests", "the queue is full", {
      retryAfterMs: 1_200,
      requestId: "r1",
    }),
  );
  assert.equal(answer.status, 429);
  assert.equal(answer.headers["Cicadafield-Ran"], "no");
  assert.equal(answer.headers["Retry-After"], "2");
  assert.equal(answer.headers["Cicadafield-Request"], "r1");
});
