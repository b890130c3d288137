import assert from "node:assert/strict";
import { test } from "node:test";
import { TurnDelay } from "./turn_delay.ts";

test("the longest delay counts for as long as it explains observations, and a tick that is due counts at once", () => {
  const delay = new TurnDelay(50);
  assert.equal(delay.worstMs(1_000), 0);
  delay.recordTick(1_000);
  delay.recordTick(1_050);
  assert.equal(delay.worstMs(1_060), 0);
  assert.equal(delay.worstMs(1_300), 200);
  delay.recordTick(1_300);
  delay.recordTick(1_360);
  assert.equal(delay.worstMs(1_400), 200);
  for (let atMs = 1_410; atMs <= 2_010; atMs += 50) delay.recordTick(atMs);
  assert.equal(delay.worstMs(2_010), 0);
});
