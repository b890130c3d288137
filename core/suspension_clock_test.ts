import assert from "node:assert/strict";
import { test } from "node:test";
import { SuspensionMeter } from "./suspension_clock.ts";

test("the time during which a VM is suspended is counted", () => {
  const meter = new SuspensionMeter({ steadyMs: 1_000, wallMs: 50_000 });
  assert.equal(meter.read({ steadyMs: 1_010, wallMs: 50_010 }), 1_010);
  assert.equal(meter.read({ steadyMs: 1_011, wallMs: 54_011 }), 5_011);
  assert.equal(meter.read({ steadyMs: 1_020, wallMs: 54_020 }), 5_020);
});

test("a backward jump of the wall clock or a small drift of it is not counted", () => {
  const meter = new SuspensionMeter({ steadyMs: 1_000, wallMs: 50_000 });
  assert.equal(meter.read({ steadyMs: 1_100, wallMs: 45_000 }), 1_100);
  assert.equal(meter.read({ steadyMs: 1_200, wallMs: 45_115 }), 1_200);
});

test("suspensions after a backward jump are counted, even if they occur in short intervals", () => {
  const meter = new SuspensionMeter({ steadyMs: 0, wallMs: 50_000 });
  meter.read({ steadyMs: 100, wallMs: 40_000 });
  let steadyMs = 100;
  let wallMs = 40_000;
  for (let interval = 0; interval < 50; interval += 1) {
    steadyMs += 1;
    wallMs += 16;
    meter.read({ steadyMs, wallMs });
  }
  const suspendedMs = meter.read({ steadyMs, wallMs }) - steadyMs;
  assert.ok(suspendedMs >= 750 - 20, `${suspendedMs} ms are counted`);
});
