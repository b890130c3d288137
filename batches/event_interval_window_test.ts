import assert from "node:assert/strict";
import { test } from "node:test";
import { EventIntervalWindow } from "./event_interval_window.ts";

function play(
  intervals: EventIntervalWindow,
  intervalsMs: readonly number[],
  fromMs = 0,
): number {
  let nowMs = fromMs;
  for (const intervalMs of intervalsMs) {
    nowMs += intervalMs;
    intervals.record(intervalMs, nowMs);
  }
  return nowMs;
}

function repeat(gapMs: number, times: number): readonly number[] {
  return Array.from({ length: times }, () => gapMs);
}

test("intervals lengthened by the prompts of other runs do not change the median", () => {
  const intervals = new EventIntervalWindow();
  const intervalsMs = Array.from(
    { length: 60 },
    (_, at) => at % 8 === 0 ? 110 : 40,
  );
  play(intervals, intervalsMs);
  assert.equal(intervals.medianMs(), 40);
});

test("events that arrive close together do not change the median", () => {
  const intervals = new EventIntervalWindow();
  const intervalsMs = Array.from(
    { length: 60 },
    (_, at) => at % 3 === 0 ? 78 : 1,
  );
  play(intervals, [
    ...repeat(40, 20),
    ...intervalsMs.slice(0, 9),
    ...repeat(40, 20),
  ]);
  assert.equal(intervals.medianMs(), 40);
});

test("a slowdown of an engine with a single run is detected within a second", () => {
  const intervals = new EventIntervalWindow();
  const slowMs = play(intervals, repeat(40, 50));
  let nowMs = slowMs;
  while (intervals.medianMs() === 40) nowMs = play(intervals, [140], nowMs);
  assert.ok(nowMs - slowMs <= 1_000, `${nowMs - slowMs} ms`);
});

test("old intervals do not hide that an engine has recovered", () => {
  const intervals = new EventIntervalWindow();
  const stoppedMs = play(intervals, repeat(140, 20));
  play(intervals, [40], stoppedMs + 5_000);
  assert.equal(intervals.medianMs(), 40);
});
