import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { FleetUpstream } from "#core";
import { NO_DEPARTURES } from "./departures_machine.ts";
import { FleetTable } from "./fleet_table.ts";

const OPTIONS = {
  heartbeatTimeoutMs: 4_000,
  retentionMs: 60_000,
  departures: NO_DEPARTURES,
};

function createUpstream(
  id: string,
  change: Partial<FleetUpstream> = {},
): FleetUpstream {
  return {
    id,
    bornMs: 100,
    sequence: 1,
    service: "models",
    zone: "a",
    address: { host: "10.0.0.1", port: 80 },
    slots: 4,
    phase: "ready",
    serves: [],
    ...change,
  };
}

test("the newest heartbeat wins, in whatever order and however often heartbeats arrive", () => {
  const beats = fc.array(
    fc.record({
      bornMs: fc.integer({ min: 1, max: 3 }),
      sequence: fc.integer({ min: 1, max: 5 }),
    }),
    { minLength: 1, maxLength: 20 },
  );
  fc.assert(
    fc.property(beats, (received) => {
      const table = new FleetTable(OPTIONS);
      for (const each of received) {
        table.recordHeartbeat(
          { record: createUpstream("u", each), ageMs: 0 },
          0,
        );
      }
      const newest = [...received].sort((a, b) =>
        a.bornMs === b.bornMs ? b.sequence - a.sequence : b.bornMs - a.bornMs
      )[0];
      const [listed] = table.listed();
      assert.equal(listed?.bornMs, newest?.bornMs);
      assert.equal(listed?.sequence, newest?.sequence);
    }),
    { seed: 5, numRuns: 200 },
  );
});

test("a heartbeat of an incarnation that has left does not restore the upstream; one of a later incarnation does", () => {
  const table = new FleetTable(OPTIONS);
  table.recordHeartbeat({ record: createUpstream("u"), ageMs: 0 }, 0);
  table.markGone("u", 100, 10);
  assert.equal(
    table.recordHeartbeat(
      { record: createUpstream("u", { sequence: 9 }), ageMs: 0 },
      20,
    ),
    "outdated",
  );
  assert.deepEqual(table.listed(), []);
  table.recordHeartbeat(
    { record: createUpstream("u", { bornMs: 200 }), ageMs: 0 },
    30,
  );
  assert.equal(table.listed().length, 1);
});

test("of two upstreams at one address only the one that started last is listed", () => {
  const table = new FleetTable(OPTIONS);
  table.recordHeartbeat(
    { record: createUpstream("new", { bornMs: 200 }), ageMs: 0 },
    0,
  );
  table.recordHeartbeat(
    { record: createUpstream("old", { sequence: 50 }), ageMs: 0 },
    1,
  );
  assert.deepEqual(table.listed().map((each) => each.id), ["new"]);
});

test("an upstream whose heartbeats stop is gone until its next heartbeat", () => {
  const table = new FleetTable(OPTIONS);
  table.recordHeartbeat({ record: createUpstream("u"), ageMs: 0 }, 0);
  const revision = table.revision;
  table.expire(4_001);
  assert.deepEqual(table.listed(), []);
  assert.ok(table.revision > revision);
  table.recordHeartbeat(
    { record: createUpstream("u", { sequence: 2 }), ageMs: 0 },
    4_100,
  );
  assert.equal(table.listed().length, 1);
});
