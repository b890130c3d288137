import assert from "node:assert/strict";
import { test } from "node:test";
import { SuspensionClock } from "./suspension_clock.ts";

test("time that a suspended VM misses is counted", () => {
  const machine = { steady: 1_000, wall: 50_000 };
  const clock = new SuspensionClock({
    steadyMs: () => machine.steady,
    wallMs: () => machine.wall,
  });
  machine.steady += 10;
  machine.wall += 10;
  assert.equal(clock.nowMs(), 1_010);
  machine.steady += 1;
  machine.wall += 4_001;
  assert.equal(clock.nowMs(), 5_011);
});

test("a time of day that jumps back changes nothing, and one that drifts little neither", () => {
  const machine = { steady: 1_000, wall: 50_000 };
  const clock = new SuspensionClock({
    steadyMs: () => machine.steady,
    wallMs: () => machine.wall,
  });
  machine.steady += 100;
  machine.wall -= 5_000;
  assert.equal(clock.nowMs(), 1_100);
  machine.steady += 100;
  machine.wall += 150;
  assert.equal(clock.nowMs(), 1_200);
});
