import assert from "node:assert/strict";
import { test } from "node:test";
import type { FleetUpstream } from "#core";
import { UndecidedAttempts, type UndecidedEnd } from "./undecided_attempts.ts";

const UPSTREAM: FleetUpstream = {
  id: "u1",
  bornMs: 1,
  sequence: 1,
  service: "s",
  zone: "z1",
  address: { host: "10.0.0.1", port: 1 },
  slots: 6,
  phase: "ready",
  serves: [],
};
const CALL = { digest: "d", bodyBytes: 4 };

function withAttempt(end: UndecidedEnd): UndecidedAttempts {
  const undecided = new UndecidedAttempts();
  undecided.add({ call: CALL, upstream: UPSTREAM, endedMs: 0, end });
  return undecided;
}

test("an attempt counts as a crash once another incarnation has taken the place of its upstream", () => {
  const undecided = withAttempt("silent");
  assert.ok(undecided.isSuspect("d", 10));
  assert.deepEqual(undecided.removeCrashed([UPSTREAM], 100), []);
  const successor = { ...UPSTREAM, bornMs: 2 };
  assert.equal(undecided.removeCrashed([successor], 200).length, 1);
  assert.equal(undecided.removeCrashed([successor], 300).length, 0);
});

test("an upstream that leaves as planned, and one that responds again, have not crashed", () => {
  const leaving = withAttempt("silent");
  leaving.removeCrashed([{ ...UPSTREAM, phase: "draining" }], 100);
  assert.equal(leaving.removeCrashed([], 200).length, 0);
  const alive = withAttempt("silent");
  alive.recordResponse(UPSTREAM, 50);
  assert.equal(alive.removeCrashed([], 200).length, 0);
});

test("a call that its caller cancelled is no suspect, but its upstream may crash under it a little later", () => {
  const undecided = withAttempt("cancelled");
  assert.equal(undecided.isSuspect("d", 10), false);
  undecided.recordResponse(UPSTREAM, 50);
  assert.equal(undecided.removeCrashed([], 200).length, 1);
});

test("an upstream that ends long after an attempt has not crashed under it", () => {
  const undecided = withAttempt("silent");
  assert.equal(undecided.removeCrashed([], 11_000).length, 0);
});

test("an upstream that still accepts connections when one breaks has crashed if another incarnation follows without a response", () => {
  const undecided = withAttempt("open");
  assert.equal(undecided.isSuspect("d", 10), false);
  const successor = { ...UPSTREAM, bornMs: 2 };
  assert.equal(undecided.removeCrashed([successor], 1_500).length, 1);
  const alive = withAttempt("open");
  alive.recordResponse(UPSTREAM, 5);
  assert.equal(alive.removeCrashed([successor], 1_500).length, 0);
});
