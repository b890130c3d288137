import assert from "node:assert/strict";
import { test } from "node:test";
import { BoundedEventLog, EVENTS_LEFT_OUT } from "./bounded_event_log.ts";
import { VirtualClock } from "./clock.ts";
import { type EventDefinition, MemoryEventLog } from "./events.ts";

const OFTEN: EventDefinition = {
  code: 9_001,
  level: "info",
  text: "often",
  action: "None.",
};

test("events of one kind are bounded a second, and what is left out is counted", () => {
  const clock = new VirtualClock();
  const inner = new MemoryEventLog();
  const log = new BoundedEventLog(inner, clock);
  for (let at = 0; at < 100; at += 1) log.emit(OFTEN, { at });
  assert.equal(inner.records().length, 40);
  clock.advance(1_000);
  log.emit(OFTEN);
  const said = inner.records().find((each) => each.event === EVENTS_LEFT_OUT);
  assert.deepEqual(said?.fields, { of: 9_001, count: 60 });
});

test("errors are always written", () => {
  const inner = new MemoryEventLog();
  const log = new BoundedEventLog(inner, new VirtualClock());
  const event: EventDefinition = { ...OFTEN, level: "error" };
  for (let at = 0; at < 100; at += 1) log.emit(event);
  assert.equal(inner.records().length, 100);
});
