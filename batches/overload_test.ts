import assert from "node:assert/strict";
import { test } from "node:test";
import { playOverload } from "./overload_world.ts";

const SEEDS = [1, 2];
const TRAINERS = 3;
const DURATION_MS = 60_000;
/** Groups of a step with which engines are nearly busy, and up to twice as many. */
const KNEE_GROUPS = 20;
const BEYOND_KNEE = [1.3, 1.6, 2];

function groupsInTime(groups: number): {
  readonly inTime: number;
  readonly asked: number;
} {
  let inTime = 0;
  let asked = 0;
  for (const seed of SEEDS) {
    const options = { seed, trainers: TRAINERS, groups };
    const outcome = playOverload({ ...options, durationMs: DURATION_MS });
    inTime += outcome.inTime;
    asked += outcome.asked;
  }
  return { inTime, asked };
}

test("all groups are in time while the engines suffice", () => {
  for (const share of [0.5, 0.8, 1]) {
    const { inTime, asked } = groupsInTime(KNEE_GROUPS * share);
    assert.ok(inTime >= 0.99 * asked, `${share}: ${inTime} of ${asked}`);
  }
});

test("steps beyond what the engines can generate leave as many groups in time as steps that just fit", () => {
  const { inTime: atKnee } = groupsInTime(KNEE_GROUPS);
  for (const share of BEYOND_KNEE) {
    const { inTime } = groupsInTime(KNEE_GROUPS * share);
    assert.ok(inTime >= atKnee, `${share}: ${inTime}, at the knee ${atKnee}`);
  }
});
