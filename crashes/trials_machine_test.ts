import assert from "node:assert/strict";
import { test } from "node:test";
import { MINUTE_MS } from "#core";
import { MAXIMUM_TRIALS, TrialsMachine } from "./trials_machine.ts";

const DAY_MS = 24 * 60 * MINUTE_MS;
let index = 0;

function count(machine: TrialsMachine, digest: unknown, atMs = 0): boolean {
  const command = { digest } as { readonly digest: string };
  return machine.apply({ index: ++index, atMs, command }).ok;
}

test("a call has so many trial runs and no more, also after a snapshot", () => {
  const machine = new TrialsMachine();
  for (let at = 0; at < MAXIMUM_TRIALS; at += 1) assert.ok(count(machine, "a"));
  assert.equal(count(machine, "a"), false);
  const copy = new TrialsMachine();
  copy.restore(machine.snapshot());
  assert.equal(copy.count("a"), MAXIMUM_TRIALS);
  assert.equal(count(copy, "a", DAY_MS), false);
  assert.ok(count(copy, "b"));
  assert.equal(count(copy, 7), false);
});

test("many other calls displace no trial runs that were counted", () => {
  const machine = new TrialsMachine();
  assert.ok(count(machine, "a"));
  for (let at = 0; at < 5_000; at += 1) count(machine, `other ${at}`);
  assert.equal(machine.count("a"), 1);
  assert.equal(count(machine, "one more"), false);
  assert.ok(count(machine, "one more", 2 * DAY_MS));
});
