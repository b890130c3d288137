import assert from "node:assert/strict";
import { test } from "node:test";
import type { Milliseconds } from "#core";
import { DEMAND_TTL_MS } from "./demand_shares.ts";
import {
  DEMAND_REPORT_INTERVAL_MS,
  DemandReporter,
} from "./demand_reporter.ts";

const CHECK_MS: Milliseconds = 50;
const SECOND_MS: Milliseconds = 1_000;

/** Returns the times at which an entry with this demand reports it. */
function reportTimes(
  demandAt: (nowMs: Milliseconds) => number,
  options: { readonly peers: number; readonly untilMs: Milliseconds },
): readonly Milliseconds[] {
  const telling = new DemandReporter();
  const told: Milliseconds[] = [];
  for (let nowMs = 0; nowMs < options.untilMs; nowMs += CHECK_MS) {
    const count = demandAt(nowMs);
    const notice = { demand: count === 0 ? {} : { advice: count } };
    if (telling.isDue({ report: notice, peers: options.peers, nowMs })) {
      told.push(nowMs);
    }
  }
  return told;
}

test("an entry without work sends no demand reports", () => {
  assert.deepEqual(reportTimes(() => 0, { peers: 29, untilMs: 60_000 }), []);
});

test("the first work is reported at once, and its end is reported once", () => {
  const told = reportTimes(
    (nowMs) => nowMs >= 500 && nowMs < 600 ? 3 : 0,
    { peers: 1, untilMs: 10_000 },
  );
  assert.deepEqual(told, [500, 700]);
});

test("an unchanged demand is reported again before the other entries drop it", () => {
  const told = reportTimes(() => 7, { peers: 1, untilMs: 20_000 });
  for (const [at, time] of told.entries()) {
    const before = told[at - 1] ?? 0;
    assert.equal(time - before <= DEMAND_TTL_MS / 2, true);
  }
  assert.equal(told.length <= 20_000 / (DEMAND_TTL_MS / 2) + 1, true);
});

test("an entry sends at most 25 demand reports a second in zones of 2 to 30 entries, and each before the last expires", () => {
  for (let peers = 1; peers < 30; peers += 1) {
    const told = reportTimes((nowMs) => nowMs + 1, { peers, untilMs: 60_000 });
    const notices = told.length * peers / 60;
    assert.equal(notices <= 25, true, `${peers} peers: ${notices}`);
    for (const [at, time] of told.entries()) {
      assert.equal(time - (told[at - 1] ?? 0) < DEMAND_TTL_MS, true);
    }
  }
  assert.equal(DEMAND_REPORT_INTERVAL_MS < SECOND_MS, true);
});
