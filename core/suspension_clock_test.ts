import assert from "node:assert/strict";
import { test } from "node:test";
import { SuspensionMeter } from "./suspension_clock.ts";

test("time that a suspended VM misses is counted", () => {
  const meter = new SuspensionMeter({ steadyMs: 1_000, wallMs: 50_000 });
  assert.equal(meter.read({ steadyMs: 1_010, wallMs: 50_010 }), 1_010);
  assert.equal(meter.read({ steadyMs: 1_011, wallMs: 54_011 }), 5_011);
  assert.equal(meter.read({ steadyMs: 1_020, wallMs: 54_020 }), 5_020);
});

test("a time of day that jumps back changes nothing, and one that drifts little neither", () => {
  const meter = new SuspensionMeter({ steadyMs: 1_000, wallMs: 50_000 });
  assert.equal(meter.read({ steadyMs: 1_100, wallMs: 45_000 }), 1_100);
  assert.equal(meter.read({ steadyMs: 1_200, wallMs: 45_115 }), 1_200);
});

test("suspensions after a jump back are counted, also when they come in short pieces", () => {
  const meter = new SuspensionMeter({ steadyMs: 0, wallMs: 50_000 });
  meter.read({ steadyMs: 100, wallMs: 40_000 });
  let steadyMs = 100;
  let wallMs = 40_000;
  for (let piece = 0; piece < 50; piece += 1) {
    steadyMs += 1;
    wallMs += 16;
    meter.read({ steadyMs, wallMs });
  }
  const missedMs = meter.read({ steadyMs, wallMs }) - steadyMs;
  assert.ok(missedMs >= 750 - 20, `${missedMs} ms are counted`);
});
