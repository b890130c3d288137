import assert from "node:assert/strict";
import { test } from "node:test";
import { fitLine, median, quantile, roundToDigits } from "./statistics.ts";

test("the median of an even count is the lower of the middle two", () => {
  assert.equal(median([4, 1, 3, 2]), 2);
});

test("the highest quantile is the highest value", () => {
  assert.equal(quantile([5, 9, 1], 1), 9);
});

test("the least-squares line through points on a line is that line", () => {
  const points = [1, 2, 5].map((x) => ({ x, y: 3 * x + 2 }));
  const line = fitLine(points);
  assert.equal(roundToDigits(line.slope, 9), 3);
  assert.equal(roundToDigits(line.intercept, 9), 2);
});
