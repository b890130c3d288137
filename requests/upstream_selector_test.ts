import assert from "node:assert/strict";
import { test } from "node:test";
import type { FleetUpstream } from "#core";
import { UpstreamSelector } from "./upstream_selector.ts";

function upstreamOf(id: string): FleetUpstream {
  return {
    id,
    bornMs: 1,
    sequence: 1,
    service: "cards",
    zone: "here",
    address: { host: "127.0.0.1", port: 1 },
    slots: 4,
    phase: "ready",
    serves: [],
  };
}

const BOTH = [upstreamOf("a"), upstreamOf("b")];

/** Sends a call every 100 ms until a time; returns when `a` got one. */
function timesOfA(
  selector: UpstreamSelector,
  untilMs: number,
  respond: (id: string, nowMs: number) => void,
): readonly number[] {
  const times: number[] = [];
  for (let nowMs = 0; nowMs < untilMs; nowMs += 100) {
    const id = selector.select(BOTH, { tried: new Set(), nowMs })?.id ?? "";
    selector.recordSent(id);
    if (id === "a") times.push(nowMs);
    respond(id, nowMs);
  }
  return times;
}

// Guards against a worker that sends bytes without end and is asked again after each short pause.
test("an upstream that sends what is no response is left out for longer each time, also after a sound response", () => {
  const selector = new UpstreamSelector({ zone: "here" });
  let calls = 0;
  const times = timesOfA(selector, 60_000, (id, nowMs) => {
    // The other one is slower, and the faulty one answers every second call.
    const isSound = id === "b" || ++calls % 2 === 0;
    const latencyMs = !isSound ? null : id === "b" ? 90 : 10;
    selector.recordEnded(id, { nowMs, latencyMs });
    if (!isSound) selector.recordFoul(id, nowMs);
  });
  const faulty = times.filter((_, at) => at % 2 === 0);
  assert.deepEqual(faulty.slice(0, 4).map((ms) => Math.round(ms / 1_000)), [
    0,
    1,
    3,
    7,
  ]);
  assert.ok(faulty.length <= 7, `${faulty.length} calls failed`);
});

test("an upstream that is silent gets one call at a time until something comes from it", () => {
  const selector = new UpstreamSelector({ zone: "here" });
  selector.recordSent("a");
  selector.recordSilence("a", 0);
  const select = (nowMs: number): string | undefined =>
    selector.select(BOTH, { tried: new Set(), nowMs })?.id;
  assert.equal(select(10_000), "b");
  selector.recordEnded("a", { nowMs: 10_000, latencyMs: null });
  assert.equal(select(10_000), "a");
  selector.recordSent("a");
  assert.equal(select(10_000), "b");
  selector.recordHeard("a", 10_000);
  assert.equal(selector.isPaused("a", 10_000), false);
});
