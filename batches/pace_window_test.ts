import assert from "node:assert/strict";
import { test } from "node:test";
import { PaceWindow } from "./pace_window.ts";

function play(pace: PaceWindow, gaps: readonly number[], fromMs = 0): number {
  let nowMs = fromMs;
  for (const gapMs of gaps) {
    nowMs += gapMs;
    pace.note(gapMs, nowMs);
  }
  return nowMs;
}

function repeat(gapMs: number, times: number): readonly number[] {
  return Array.from({ length: times }, () => gapMs);
}

test("prompts that other runs have read between events leave the pace as it is", () => {
  const pace = new PaceWindow();
  const gaps = Array.from({ length: 60 }, (_, at) => at % 8 === 0 ? 110 : 40);
  play(pace, gaps);
  assert.equal(pace.middleMs(), 40);
});

test("events that arrive close together leave the pace as it is", () => {
  const pace = new PaceWindow();
  const gaps = Array.from({ length: 60 }, (_, at) => at % 3 === 0 ? 78 : 1);
  play(pace, [...repeat(40, 20), ...gaps.slice(0, 9), ...repeat(40, 20)]);
  assert.equal(pace.middleMs(), 40);
});

test("an engine that turns slow is told within a second by its only run", () => {
  const pace = new PaceWindow();
  const slowMs = play(pace, repeat(40, 50));
  let nowMs = slowMs;
  while (pace.middleMs() === 40) nowMs = play(pace, [140], nowMs);
  assert.ok(nowMs - slowMs <= 1_000, `${nowMs - slowMs} ms`);
});

test("what is long past does not hide that an engine is well again", () => {
  const pace = new PaceWindow();
  const stoppedMs = play(pace, repeat(140, 20));
  play(pace, [40], stoppedMs + 5_000);
  assert.equal(pace.middleMs(), 40);
});
