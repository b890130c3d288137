import assert from "node:assert/strict";
import { test } from "node:test";
import { MINUTE_MS } from "#core";
import { type Departure, DeparturesMachine } from "./departures_machine.ts";
import { FleetTable } from "./fleet_table.ts";
import { createUpstream } from "./fleet_test_support.ts";

let index = 0;

function depart(
  machine: DeparturesMachine,
  departure: Partial<Departure>,
  atMs = 0,
): void {
  const command = {
    id: "u",
    bornMs: 1,
    phase: "gone" as const,
    ...departure,
  };
  assert.ok(machine.apply({ index: ++index, atMs, command }).ok);
}

test("the latest incarnation counts, and gone outranks draining", () => {
  const machine = new DeparturesMachine();
  depart(machine, { bornMs: 2, phase: "draining" });
  depart(machine, { bornMs: 1 });
  assert.equal(machine.find("u")?.phase, "draining");
  depart(machine, { bornMs: 2 });
  depart(machine, { bornMs: 2, phase: "draining" });
  assert.deepEqual(machine.find("u")?.phase, "gone");
  depart(machine, { bornMs: 3, phase: "draining" });
  assert.equal(machine.find("u")?.bornMs, 3);
});

test("a snapshot holds the departures, and old ones are dropped", () => {
  const machine = new DeparturesMachine();
  depart(machine, { id: "old" });
  depart(machine, { id: "new" }, 9 * MINUTE_MS);
  const copy = new DeparturesMachine();
  copy.restore(machine.snapshot());
  assert.deepEqual([...copy.all()], [...machine.all()]);
  depart(copy, { id: "other" }, 11 * MINUTE_MS);
  assert.deepEqual([...copy.all()].map(({ id }) => id), ["new", "other"]);
});

test("the number of departures is bounded; the oldest yield", () => {
  const machine = new DeparturesMachine();
  for (let at = 0; at < 5_000; at += 1) depart(machine, { id: `u${at}` });
  assert.equal([...machine.all()].length, 4_096);
  assert.equal(machine.find("u4999")?.phase, "gone");
});

test("a malformed departure is rejected and changes nothing", () => {
  const machine = new DeparturesMachine();
  for (const command of [null, {}, { id: "u", bornMs: "1", phase: "gone" }]) {
    const malformed = command as unknown as Departure;
    assert.ok(
      machine.apply({ index: ++index, atMs: 0, command: malformed }).err,
    );
  }
  assert.equal(machine.revision, 0);
});

// Guards against a table that has just started and takes any heartbeat for news.
test("a table without entries ignores heartbeats of incarnations that have left", () => {
  const departures = new DeparturesMachine();
  const table = new FleetTable({
    heartbeatTimeoutMs: 4_000,
    retentionMs: 60_000,
    departures,
  });
  const beat = (bornMs: number): string =>
    table.recordHeartbeat({
      record: createUpstream({ id: "u", bornMs, sequence: 9 }),
      ageMs: 0,
    }, 0);
  depart(departures, { bornMs: 5 });
  assert.equal(beat(5), "outdated");
  assert.equal(beat(4), "outdated");
  assert.deepEqual(table.listed(), []);
  assert.equal(beat(6), "changed");
  depart(departures, { bornMs: 6, phase: "draining" });
  assert.equal(table.applyDepartures(0), true);
  assert.equal(table.listed()[0]?.phase, "draining");
  assert.equal(table.applyDepartures(0), false);
});
