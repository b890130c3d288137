import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { FleetUpstream } from "#core";
import { FleetDeltas } from "./fleet_deltas.ts";
import { NO_DEPARTURES } from "./departures_machine.ts";
import { FleetTable } from "./fleet_table.ts";

const OPTIONS = {
  heartbeatTimeoutMs: 4_000,
  retentionMs: 60_000,
  departures: NO_DEPARTURES,
};

function upstreamOf(change: Partial<FleetUpstream>): FleetUpstream {
  return {
    id: "u",
    bornMs: 1,
    sequence: 1,
    service: "s",
    zone: "z",
    address: { host: "10.0.0.1", port: 1 },
    slots: 1,
    phase: "ready",
    serves: [],
    ...change,
  };
}

const steps = fc.array(
  fc.record({
    id: fc.constantFrom("a", "b", "c", "d"),
    bornMs: fc.integer({ min: 1, max: 4 }),
    port: fc.integer({ min: 1, max: 3 }),
    leaves: fc.boolean(),
    waitMs: fc.constantFrom(0, 500, 5_000),
    follows: fc.boolean(),
  }),
  { minLength: 1, maxLength: 60 },
);

test("a follower that applies deltas has the upstreams that the table lists, whatever joins, moves, leaves or expires", () => {
  fc.assert(
    fc.property(steps, (each) => {
      const table = new FleetTable(OPTIONS);
      const deltas = new FleetDeltas(table);
      const followed = new Map<string, FleetUpstream>();
      let revision = table.revision;
      deltas.since(revision);
      let nowMs = 0;
      let sequence = 0;
      const follow = (): void => {
        const delta = deltas.since(revision);
        assert.ok(delta !== undefined);
        for (const id of delta.removed) followed.delete(id);
        for (const upstream of delta.upstreams) {
          followed.set(upstream.id, upstream);
        }
        revision = table.revision;
      };
      for (const { id, bornMs, port, leaves, waitMs, follows } of each) {
        nowMs += waitMs;
        sequence += 1;
        const address = { host: "10.0.0.1", port };
        const record = upstreamOf({ id, bornMs, sequence, address });
        if (leaves) table.markGone(id, bornMs, nowMs);
        else table.recordHeartbeat({ record, ageMs: 0 }, nowMs);
        table.expire(nowMs);
        if (follows) follow();
      }
      follow();
      const sorted = (all: Iterable<FleetUpstream>): readonly string[] =>
        [...all].map((one) => `${one.id} ${one.bornMs} ${one.address.port}`)
          .sort();
      assert.deepEqual(sorted(followed.values()), sorted(table.listed()));
    }),
    { seed: 7, numRuns: 500 },
  );
});

test("one upstream that loads a version is the only one in the delta of a large table", () => {
  const table = new FleetTable(OPTIONS);
  const deltas = new FleetDeltas(table);
  for (let at = 0; at < 500; at += 1) {
    const address = { host: "10.0.0.1", port: at + 1 };
    const record = upstreamOf({ id: `u${at}`, address });
    table.recordHeartbeat({ record, ageMs: 0 }, 0);
  }
  const { revision } = table;
  deltas.since(revision);
  const serves = [{ model: "m", version: 2 }];
  const changed = upstreamOf({
    id: "u7",
    sequence: 2,
    address: { host: "10.0.0.1", port: 8 },
    serves,
  });
  table.recordHeartbeat({ record: changed, ageMs: 0 }, 0);
  const delta = deltas.since(revision);
  assert.deepEqual(delta?.upstreams.map((each) => each.id), ["u7"]);
  assert.deepEqual(delta?.removed, []);
});

test("there is no delta from a revision before the first one or after the newest", () => {
  const table = new FleetTable(OPTIONS);
  for (let sequence = 1; sequence <= 3; sequence += 1) {
    const phase = sequence % 2 === 0 ? "draining" : "ready";
    const record = upstreamOf({ sequence, phase });
    table.recordHeartbeat({ record, ageMs: 0 }, 0);
  }
  const deltas = new FleetDeltas(table);
  assert.notEqual(deltas.since(table.revision), undefined);
  assert.equal(deltas.since(table.revision - 1), undefined);
  assert.equal(deltas.since(table.revision + 1), undefined);
});
