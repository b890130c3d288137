import assert from "node:assert/strict";
import { test } from "node:test";
import { UnsentBudget } from "./unsent_budget.ts";

const MAXIMUM_BYTES = 800_000;
const FRAME_BYTES = 100_000;

function createBudget(): {
  readonly budget: UnsentBudget<string>;
  readonly closed: string[];
} {
  const closed: string[] = [];
  const budget = new UnsentBudget<string>({
    maximumBytes: MAXIMUM_BYTES,
    close: (connection) => closed.push(connection),
  });
  return { budget, closed };
}

test("without room for a frame, the connection with the most unsent bytes is closed and the frame is written", () => {
  const { budget, closed } = createBudget();
  budget.update("fast", 200_000);
  budget.update("stuck", 450_000);
  assert.equal(budget.admits("other", FRAME_BYTES), true);
  assert.deepEqual(closed, ["stuck"]);
  assert.equal(budget.totalBytes, 200_000);
});

test("without a connection that has more than its share, a frame is rejected and no connection closed", () => {
  const { budget, closed } = createBudget();
  for (const each of ["a", "b", "c", "d", "e", "f", "g"]) {
    budget.update(each, FRAME_BYTES);
  }
  assert.equal(budget.admits("h", FRAME_BYTES), false);
  assert.equal(budget.admits("h", 1_000), true);
  assert.deepEqual(closed, []);
  budget.update("a", 0);
  assert.equal(budget.admits("h", FRAME_BYTES), true);
});

test("a frame for the connection that is closed is not written", () => {
  const { budget, closed } = createBudget();
  budget.update("stuck", 700_000);
  assert.equal(budget.admits("stuck", FRAME_BYTES), false);
  assert.deepEqual(closed, ["stuck"]);
});
