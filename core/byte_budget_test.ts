import assert from "node:assert/strict";
import { test } from "node:test";
import { ByteBudget } from "./byte_budget.ts";

test("the largest body is accepted while no other is held, even if the budget is smaller", () => {
  const budget = new ByteBudget({ maximumBytes: 10, maximumBodyBytes: 1_000 });
  const reservation = budget.open();
  assert.equal(reservation.extendTo(1_000), true);
  assert.equal(budget.open().extendTo(1), false);
  reservation.release();
  reservation.release();
  assert.equal(budget.reservedBytes, 0);
  assert.equal(budget.open().extendTo(1), true);
});
