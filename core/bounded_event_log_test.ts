import assert from "node:assert/strict";
import { test } from "node:test";
import { BoundedEventLog, EVENTS_SUPPRESSED } from "./bounded_event_log.ts";
import { VirtualClock } from "./clock.ts";
import { type EventDefinition, MemoryEventLog } from "./events.ts";

const FREQUENT_EVENT: EventDefinition = {
  code: 9_001,
  level: "info",
  text: "often",
  action: "None.",
};

test("events of one kind are limited per second, and the suppressed ones are counted", () => {
  const clock = new VirtualClock();
  const inner = new MemoryEventLog();
  const log = new BoundedEventLog(inner, clock);
  for (let at = 0; at < 100; at += 1) log.emit(FREQUENT_EVENT, { at });
  assert.equal(inner.records().length, 40);
  clock.advance(1_000);
  log.emit(FREQUENT_EVENT);
  const suppressed = inner.records().find((each) =>
    each.event === EVENTS_SUPPRESSED
  );
  assert.deepEqual(suppressed?.fields, { of: 9_001, count: 60 });
});

test("errors are always written", () => {
  const inner = new MemoryEventLog();
  const log = new BoundedEventLog(inner, new VirtualClock());
  const event: EventDefinition = { ...FREQUENT_EVENT, level: "error" };
  for (let at = 0; at < 100; at += 1) log.emit(event);
  assert.equal(inner.records().length, 100);
});
