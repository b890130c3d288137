import assert from "node:assert/strict";
import { test } from "node:test";
import {
  combinatorialLayout,
  countSurvivingFraction,
  deviceCount,
  survives,
} from "./flat_layout.ts";
import { meanHoursToLoss } from "./loss_model.ts";

test("the layout of six stripes of rank three has 86 objects and survives any two failures", () => {
  const layout = combinatorialLayout(6, 3);
  assert.equal(deviceCount(layout), 86);
  assert.equal(countSurvivingFraction(layout, 2), 1);
});

test("three failures lose data only where a data object fails with both its parities", () => {
  const layout = combinatorialLayout(6, 3);
  const part = countSurvivingFraction(layout, 3);
  assert.equal(Math.round((1 - part) * 102_340), 60);
});

test("a data object is lost if it fails together with both its parities", () => {
  const layout = combinatorialLayout(3, 2);
  const first = layout.stripes;
  assert.equal(survives(layout, new Set([0, 3])), true);
  assert.equal(survives(layout, new Set([0, 3, first])), false);
});

test("the mean time to data loss of a single device is its mean time to failure", () => {
  const hours = meanHoursToLoss({
    devices: 1,
    failuresPerHour: 0.1,
    repairsPerHour: 1,
    survivingFractions: [1],
  });
  assert.equal(hours, 10);
});

test("the mean time to data loss of a mirrored pair matches the textbook formula", () => {
  const failuresPerHour = 0.001;
  const repairsPerHour = 0.5;
  const hours = meanHoursToLoss({
    devices: 2,
    failuresPerHour,
    repairsPerHour,
    survivingFractions: [1, 1],
  });
  const expected = (3 * failuresPerHour + repairsPerHour) /
    (2 * failuresPerHour ** 2);
  assert.ok(Math.abs(hours / expected - 1) < 1e-9);
});
