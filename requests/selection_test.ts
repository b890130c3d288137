import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { SeededRandom, type UpstreamRecord } from "#core";
import { AdaptiveLimit } from "./adaptive_limit.ts";
import { DEMAND_TTL_MS, DemandShares } from "./demand_shares.ts";
import { Scheduler } from "./scheduler.ts";
import { BUNDLE } from "./test_entry.ts";
import type { WorkItem } from "./work_item.ts";

const CAPACITY = 4;
const UPSTREAM_COUNT = 6;

function recordOf(
  index: number,
  changes: Partial<UpstreamRecord> = {},
): UpstreamRecord {
  return {
    id: `engine-${index}`,
    incarnation: 1,
    sequence: 1,
    zone: index % 2 === 0 ? "near" : "far",
    address: { host: "127.0.0.1", port: 1 },
    role: "engine",
    serves: [{ model: "topo", version: index }],
    services: [],
    capacity: CAPACITY,
    enforcesFences: true,
    reportsVersions: true,
    leaving: false,
    expiresAtMs: 1_000_000,
    ...changes,
  };
}

function itemOf(index: number, changes: Partial<WorkItem> = {}): WorkItem {
  return {
    id: `item-${index}`,
    tenant: "tana",
    class: "drafting",
    trainer: null,
    target: { kind: "model", name: "topo" },
    prefixKey: "",
    minimumVersion: null,
    urgent: false,
    avoid: [],
    admitted: false,
    arrivedMs: 0,
    deadlineMs: 900_000,
    cost: 10,
    ...changes,
  };
}

function createScheduler(records: readonly UpstreamRecord[]): Scheduler {
  const random = new SeededRandom(4);
  const scheduler = new Scheduler({ vm: "entry-1", zone: "near", random });
  scheduler.setBundle(BUNDLE);
  scheduler.setUpstreams(mapOf(records), 0);
  return scheduler;
}

function mapOf(
  records: readonly UpstreamRecord[],
): ReadonlyMap<string, UpstreamRecord> {
  return new Map(records.map((each) => [each.id, each]));
}

const loadNumber = fc.constantFrom(
  0,
  1,
  3,
  1e9,
  -5,
  Number.NaN,
  Number.POSITIVE_INFINITY,
);

test("late, missing and invalid load reports neither overload an upstream nor block work that has a free slot", () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          engine: fc.nat({ max: UPSTREAM_COUNT - 1 }),
          running: loadNumber,
          waiting: loadNumber,
          receivedAtMs: loadNumber,
          prefixKey: fc.constantFrom("", "a", "b"),
          finish: fc.boolean(),
        }, { noNullPrototype: true }),
        { maxLength: 60, size: "max" },
      ),
      (steps) => {
        const records = Array.from(
          { length: UPSTREAM_COUNT },
          (_, at) => recordOf(at),
        );
        const scheduler = createScheduler(records);
        const running = new Map<string, string>();
        const count = (engine: string): number =>
          [...running.values()].filter((each) => each === engine).length;
        for (const [index, step] of steps.entries()) {
          const id = `engine-${step.engine}`;
          scheduler.setLoads(
            new Map([[id, { id, cacheUse: Number.NaN, ...step }]]),
          );
          scheduler.updateShares(index);
          const { prefixKey } = step;
          const item = itemOf(index, { prefixKey, arrivedMs: index });
          const nearHasRoom = (): boolean =>
            records.some((each) =>
              each.zone === "near" && count(each.id) < CAPACITY
            );
          assert.equal(scheduler.submit(item, index), undefined);
          const dispatches = scheduler.takeDispatches(index);
          if (nearHasRoom()) assert.ok(dispatches.length > 0);
          for (const { item: dispatched, selection } of dispatches) {
            const near = selection.upstream.record.zone === "near";
            assert.ok(near || !nearHasRoom());
            running.set(dispatched.id, selection.upstream.id);
          }
          for (const record of records) {
            assert.ok(count(record.id) <= CAPACITY * 2);
          }
          const [first] = running.keys();
          if (!step.finish || first === undefined) continue;
          running.delete(first);
          scheduler.finish(first, {
            result: "whole",
            totalMs: 10,
            firstByteMs: 1,
            units: 10,
          }, index);
        }
      },
    ),
    { seed: 6, numRuns: 200 },
  );
});

test("leaving, expired, avoided and outdated upstreams receive no work", () => {
  const records = [
    recordOf(0, { leaving: true }),
    recordOf(2, { expiresAtMs: 5 }),
    recordOf(4),
    recordOf(6, { serves: [{ model: "topo", version: 2 }] }),
    recordOf(8),
  ];
  const scheduler = createScheduler(records);
  const item = { minimumVersion: 3, avoid: ["engine-8"] };
  for (let index = 0; index < CAPACITY; index += 1) {
    scheduler.submit(itemOf(index, item), 10);
  }
  const chosen = scheduler.takeDispatches(10).map((each) =>
    each.selection.upstream.id
  );
  assert.deepEqual(new Set(chosen), new Set(["engine-4"]));
  scheduler.setUpstreams(
    mapOf(records.map((each) => ({ ...each, leaving: true }))),
    11,
  );
  const rejection = scheduler.submit(itemOf(99, item), 11);
  assert.equal(rejection?.kind, "no_upstream");
  assert.ok((rejection?.retryAfterMs ?? 0) > 0);
});

test("other zones are used only when the own zone is full", () => {
  const scheduler = createScheduler([recordOf(0), recordOf(1)]);
  for (let index = 0; index <= CAPACITY; index += 1) {
    scheduler.submit(itemOf(index), 0);
  }
  const zones = scheduler.takeDispatches(0).map((each) =>
    each.selection.ownZone
  );
  assert.deepEqual(zones, [true, true, true, true, false]);
});

test("the shares of the entries of a zone add up to each upstream's limit", () => {
  fc.assert(
    fc.property(
      fc.array(fc.nat({ max: 50 }), { minLength: 1, maxLength: 8 }),
      fc.integer({ min: 1, max: 64 }),
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      (demands, limit, offset) => {
        const names = demands.map((_, index) => `entry-${index}`);
        let sum = 0;
        for (const [index, name] of names.entries()) {
          const shares = new DemandShares(name);
          for (const [other, from] of names.entries()) {
            const demand = { topo: demands[other] ?? 0 };
            shares.recordReport(from, { demand }, 0);
          }
          const share = shares.shareOf({
            target: "topo",
            limit,
            totalLimit: limit * 4,
            roundingOffset: offset,
            ownDemand: demands[index] ?? 0,
            nowMs: 1,
          });
          assert.ok(share >= 0);
          sum += share;
        }
        assert.equal(sum, limit);
      },
    ),
    { seed: 7, numRuns: 500 },
  );
});

test("the share of an entry whose demand reports stop goes to the others", () => {
  const shares = new DemandShares("entry-1");
  shares.recordReport("entry-2", { demand: { topo: 10 } }, 0);
  const options = {
    target: "topo",
    limit: 8,
    totalLimit: 8,
    roundingOffset: 0.5,
    ownDemand: 10,
  };
  assert.equal(shares.shareOf({ ...options, nowMs: 1 }), 4);
  assert.equal(shares.shareOf({ ...options, nowMs: DEMAND_TTL_MS + 1 }), 8);
});

test("the limit decreases while latency is above its floor and increases again when it is reached", () => {
  const limit = new AdaptiveLimit(16, 2);
  const recordSamples = (latencyMs: number, samples: number): void => {
    for (let sample = 0; sample < samples; sample += 1) {
      limit.record({ latencyMs, saturated: true });
    }
  };
  recordSamples(10, 200);
  const high = limit.value;
  assert.ok(high > 16 && high <= 32);
  recordSamples(50, 400);
  assert.ok(limit.value < high);
  const low = limit.value;
  recordSamples(10, 400);
  assert.ok(limit.value > low);
  recordSamples(Number.NaN, 400);
  recordSamples(-1, 400);
  assert.ok(limit.value >= 1 && limit.value <= 32);
});
