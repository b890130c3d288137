import assert from "node:assert/strict";
import { test } from "node:test";
import type { Milliseconds } from "#core";
import { DEMAND_TTL_MS } from "./demand_shares.ts";
import {
  DEMAND_REPORT_INTERVAL_MS,
  DemandReporter,
} from "./demand_reporter.ts";

const CHECK_INTERVAL_MS: Milliseconds = 50;
const SECOND_MS: Milliseconds = 1_000;

/** Returns the times at which an entry with this demand reports it. */
function reportTimes(
  demandAt: (nowMs: Milliseconds) => number,
  options: { readonly peers: number; readonly untilMs: Milliseconds },
): readonly Milliseconds[] {
  const reporter = new DemandReporter();
  const times: Milliseconds[] = [];
  for (let nowMs = 0; nowMs < options.untilMs; nowMs += CHECK_INTERVAL_MS) {
    const count = demandAt(nowMs);
    const report = { demand: count === 0 ? {} : { advice: count } };
    if (reporter.isDue({ report, peers: options.peers, nowMs })) {
      times.push(nowMs);
    }
  }
  return times;
}

test("an entry without work sends no demand reports", () => {
  assert.deepEqual(reportTimes(() => 0, { peers: 29, untilMs: 60_000 }), []);
});

test("the first work is reported at once, and its end is reported once", () => {
  const times = reportTimes(
    (nowMs) => nowMs >= 500 && nowMs < 600 ? 3 : 0,
    { peers: 1, untilMs: 10_000 },
  );
  assert.deepEqual(times, [500, 700]);
});

test("an unchanged demand is reported again before the other entries drop it", () => {
  const times = reportTimes(() => 7, { peers: 1, untilMs: 20_000 });
  for (const [at, time] of times.entries()) {
    const before = times[at - 1] ?? 0;
    assert.equal(time - before <= DEMAND_TTL_MS / 2, true);
  }
  assert.equal(times.length <= 20_000 / (DEMAND_TTL_MS / 2) + 1, true);
});

test("an entry sends at most 25 demand reports a second in zones of 2 to 30 entries, and each before the last expires", () => {
  for (let peers = 1; peers < 30; peers += 1) {
    const times = reportTimes((nowMs) => nowMs + 1, { peers, untilMs: 60_000 });
    const reportsPerSecond = times.length * peers / 60;
    assert.equal(
      reportsPerSecond <= 25,
      true,
      `${peers} peers: ${reportsPerSecond}`,
    );
    for (const [at, time] of times.entries()) {
      assert.equal(time - (times[at - 1] ?? 0) < DEMAND_TTL_MS, true);
    }
  }
  assert.equal(DEMAND_REPORT_INTERVAL_MS < SECOND_MS, true);
});
