import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { FleetUpstream, Milliseconds } from "#core";
import { NO_DEPARTURES } from "./departures_machine.ts";
import { FleetTable, type NamedServices } from "./fleet_table.ts";
import { createUpstream } from "./fleet_test_support.ts";

const ADDRESS = { host: "10.0.0.1", port: 80 };
const HEARTBEAT_MS: Milliseconds = 1_000;
const TIMEOUT_MS: Milliseconds = 4_000;
const SERVICES: NamedServices = new Map([
  ["models", "models"],
  ["cards", "plain"],
]);

function createTable(services = SERVICES): FleetTable {
  const table = new FleetTable({
    heartbeatTimeoutMs: TIMEOUT_MS,
    retentionMs: 60_000,
    departures: NO_DEPARTURES,
  });
  table.nameServices(services);
  return table;
}

function upstream(change: Partial<FleetUpstream>): FleetUpstream {
  const own = { id: "u1", service: "models", address: ADDRESS };
  const serves = [{ model: "m", version: 1 }];
  return createUpstream({ ...own, serves, bornMs: 1_000, ...change });
}

function identifiers(table: FleetTable): readonly string[] {
  return table.listed()
    .filter(({ service }) => table.isNamed(service))
    .map(({ id }) => id);
}

const anyAddress = fc.constantFrom("10.0.0.1", "10.0.0.2", "10.0.0.3")
  .map((host) => ({ host, port: 80 }));
const anyEntry = fc.record({
  id: fc.constantFrom("u1", "u2", "u3"),
  bornMs: fc.integer({ min: 1, max: 4 }),
  sequence: fc.integer({ min: 1, max: 9 }),
  address: anyAddress,
  phase: fc.constantFrom("ready" as const, "draining" as const),
});

// Guards against another writer's entry that hides an upstream, or that brings back one that is gone.
test("entries of services that are not named change nothing about those that are, in whatever order they come (fuzz, fixed seed)", () => {
  const steps = fc.array(
    fc.record({
      entry: anyEntry,
      service: fc.constantFrom("models", "cards", "elsewhere", "other"),
      waitMs: fc.constantFrom(0, 0, 300, 1_200, 5_000),
    }),
    { minLength: 1, maxLength: 40 },
  );
  fc.assert(
    fc.property(steps, (received) => {
      const beside = createTable();
      const alone = createTable();
      let nowMs = 0;
      for (const { entry, service, waitMs } of received) {
        nowMs += waitMs;
        const beat = { record: upstream({ ...entry, service }), ageMs: 0 };
        beside.recordHeartbeat(beat, nowMs);
        if (SERVICES.has(service)) alone.recordHeartbeat(beat, nowMs);
        beside.expire(nowMs);
        alone.expire(nowMs);
        const named = beside.listed().filter((each) =>
          SERVICES.has(each.service)
        );
        assert.deepEqual(new Set(named), new Set(alone.listed()));
      }
    }),
    { seed: 63, numRuns: 2_000 },
  );
});

test("each change of what is listed changes the revision, so that followers learn it (fuzz, fixed seed)", () => {
  const steps = fc.array(
    fc.record({
      entry: anyEntry,
      service: fc.constantFrom("models", "cards", "elsewhere"),
      waitMs: fc.constantFrom(0, 300, 1_200, 5_000, 61_000),
    }),
    { minLength: 1, maxLength: 30 },
  );
  const shown = (table: FleetTable): string =>
    JSON.stringify(
      table.listed().map(({ sequence: _, ...shownFields }) => shownFields)
        .sort((a, b) => a.id < b.id ? -1 : 1),
    );
  fc.assert(
    fc.property(steps, (received) => {
      const table = createTable();
      let nowMs = 0;
      for (const { entry, service, waitMs } of received) {
        nowMs += waitMs;
        const changes = [
          () => table.expire(nowMs),
          () => {
            const beat = { record: upstream({ ...entry, service }), ageMs: 0 };
            table.recordHeartbeat(beat, nowMs);
          },
        ];
        for (const change of changes) {
          const before = { revision: table.revision, listed: shown(table) };
          change();
          if (shown(table) === before.listed) continue;
          assert.ok(table.revision > before.revision);
        }
      }
    }),
    { seed: 64, numRuns: 2_000 },
  );
});

// Guards against another writer's entry that lacks the models of the worker whose identifier or address it names.
test("an entry without models takes nothing from an upstream of a service that serves them", () => {
  for (const id of ["u1", "agent"]) {
    const table = createTable();
    table.recordHeartbeat({ record: upstream({}), ageMs: 0 }, 0);
    const odd = upstream({ id, serves: [], bornMs: 9_000, sequence: 1_000 });
    table.recordHeartbeat({ record: odd, ageMs: 0 }, 1);
    table.recordHeartbeat({ record: upstream({ sequence: 2 }), ageMs: 0 }, 2);
    const [listed] = table.listed();
    assert.equal(listed?.sequence, 2);
    assert.equal(table.listed().length, 1);
  }
});

// Guards against a worker that stays hidden, as its clock is behind that of the one before it at its address.
test("an upstream whose heartbeats go on holds its address though a silent one there says that it started later", () => {
  const table = createTable();
  const ahead = upstream({ id: "before", bornMs: 9_000, service: "cards" });
  table.recordHeartbeat({ record: ahead, ageMs: 0 }, 0);
  const listedAt = new Map<number, readonly string[]>();
  for (let sequence = 1; sequence <= 5; sequence += 1) {
    const nowMs = sequence * HEARTBEAT_MS;
    const beat = { record: upstream({ sequence }), ageMs: 0 };
    table.recordHeartbeat(beat, nowMs);
    listedAt.set(nowMs, identifiers(table));
  }
  assert.deepEqual([...listedAt.values()], [
    // One heartbeat may be a late one of an upstream that has ended.
    ["before"],
    ["u1"],
    ["u1"],
    ["u1"],
    ["u1"],
  ]);
  // The other one is there after all.
  const again = { record: { ...ahead, sequence: 2 }, ageMs: 0 };
  table.recordHeartbeat(again, 5.5 * HEARTBEAT_MS);
  assert.deepEqual(identifiers(table), ["before"]);
});

// Guards against a worker that stays hidden, as the one before it at its address is gone and started later by its clock.
test("an upstream that is gone hides no other at its address whose heartbeats go on", () => {
  const table = createTable();
  const ahead = upstream({ id: "before", bornMs: 9_000 });
  table.recordHeartbeat({ record: ahead, ageMs: 0 }, 0);
  table.markGone("before", null, 100);
  const seen: (readonly string[])[] = [];
  for (let sequence = 1; sequence <= 3; sequence += 1) {
    const beat = { record: upstream({ sequence }), ageMs: 0 };
    table.recordHeartbeat(beat, sequence * HEARTBEAT_MS);
    seen.push(identifiers(table));
  }
  assert.deepEqual(seen, [[], ["u1"], ["u1"]]);
});

// Guards against memory that grows with the identifiers that another writer makes up.
test("ten thousand identifiers of services that are not named are not all kept, and push out no upstream", () => {
  const table = createTable();
  table.recordHeartbeat({ record: upstream({}), ageMs: 0 }, 0);
  for (let at = 0; at < 10_000; at += 1) {
    const id = `agent-${at}`;
    const record = upstream({ id, service: `elsewhere-${at % 7}` });
    table.recordHeartbeat({ record, ageMs: 0 }, 1);
  }
  assert.deepEqual(identifiers(table), ["u1"]);
  assert.ok(table.agedHeartbeats(1).length <= 1_025);
});
