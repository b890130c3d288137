/**
 * `npm run bench -- selection`: time of one scheduler decision (admission, order, limits, selection) by number of
 * upstreams, and the added time of each further upstream.
 *
 * @module
 */
import { SeededRandom, type UpstreamRecord } from "#core";
import { Scheduler, type WorkItem } from "#requests";
import type { BenchFigures, BenchOptions } from "./bench.ts";
import { OVERLOAD_BUNDLE } from "./overload_bundle.ts";

const SIZES = [6, 155, 1_700] as const;
const ZONES = 11;
const CAPACITY = 16;
const DECISIONS = 40_000;
const QUICK_DECISIONS = 4_000;
const REPEATS = 5;
/** Fractions of the capacity in use while decisions are timed. */
const FILL_LEVELS = [0.1, 0.9] as const;

/** Runs the benchmark. */
export function run(options: BenchOptions): Promise<BenchFigures> {
  const decisions = options.quick ? QUICK_DECISIONS : DECISIONS;
  const figures: Record<string, number> = {};
  for (const fillLevel of FILL_LEVELS) {
    const sizesMicroseconds: number[] = [];
    for (const size of SIZES) {
      const repeatsMicroseconds: number[] = [];
      for (let repeat = 0; repeat < REPEATS; repeat += 1) {
        repeatsMicroseconds.push(
          measureDecisionMicroseconds({
            size,
            fillLevel,
            decisions,
            seed: repeat,
          }),
        );
      }
      const medianMicroseconds = repeatsMicroseconds.sort((a, b) =>
        a - b
      )[Math.floor(REPEATS / 2)] ?? 0;
      sizesMicroseconds.push(medianMicroseconds);
      figures[`microseconds_at_${size}_filled_${fillLevel}`] = round(
        medianMicroseconds,
      );
    }
    const [small = 0, , large = 0] = sizesMicroseconds;
    const slope = (large - small) / (SIZES[2] - SIZES[0]);
    figures[`nanoseconds_each_upstream_filled_${fillLevel}`] = round(
      slope * 1_000,
    );
  }
  return Promise.resolve({ decisions, repeats: REPEATS, ...figures });
}

interface MeasureOptions {
  readonly size: number;
  readonly fillLevel: number;
  readonly decisions: number;
  readonly seed: number;
}

function measureDecisionMicroseconds(options: MeasureOptions): number {
  const random = new SeededRandom(options.seed);
  const scheduler = new Scheduler({ vm: "entry-1", zone: "zone-0", random });
  scheduler.setBundle({
    ...OVERLOAD_BUNDLE,
    tenants: [{ name: "agency", weight: 1, maximumOutstanding: 100_000 }],
  });
  scheduler.setUpstreams(makeRecords(options.size), 0);
  const running: string[] = [];
  const zoneUpstreams = Math.ceil(options.size / Math.min(ZONES, options.size));
  const target = Math.floor(zoneUpstreams * CAPACITY * options.fillLevel);
  let submitted = 0;
  const submitAndDispatch = (): void => {
    submitted += 1;
    scheduler.submit(makeItem(submitted, random), 0);
    for (const { item } of scheduler.takeDispatches(0)) running.push(item.id);
  };
  while (running.length < target) submitAndDispatch();
  const start = performance.now();
  for (let decision = 0; decision < options.decisions; decision += 1) {
    const index = random.below(Math.max(1, running.length));
    const id = running[index];
    running[index] = running.at(-1) ?? "";
    running.pop();
    if (id !== undefined) {
      scheduler.finish(id, {
        result: "whole",
        totalMs: 1_000,
        firstByteMs: 10,
        units: 40,
      }, 0);
    }
    submitAndDispatch();
  }
  return (performance.now() - start) * 1_000 / options.decisions;
}

function makeItem(index: number, random: SeededRandom): WorkItem {
  return {
    id: `item-${index}`,
    tenant: "agency",
    class: "drafting",
    trainer: "grades",
    target: { kind: "model", name: "topo" },
    prefixKey: `prompt-${random.below(200)}`,
    minimumVersion: 1,
    urgent: false,
    avoid: [],
    admitted: false,
    arrivedMs: 0,
    deadlineMs: 540_000,
    cost: 100,
  };
}

function makeRecords(size: number): ReadonlyMap<string, UpstreamRecord> {
  const records = new Map<string, UpstreamRecord>();
  for (let index = 0; index < size; index += 1) {
    const id = `engine-${index}`;
    records.set(id, {
      id,
      incarnation: 1,
      sequence: 1,
      zone: `zone-${index % Math.min(ZONES, size)}`,
      address: { host: "127.0.0.1", port: 1 },
      role: "engine",
      serves: [{ model: "topo", version: 1 }],
      services: [],
      capacity: CAPACITY,
      enforcesFences: true,
      reportsVersions: true,
      leaving: false,
      expiresAtMs: Number.POSITIVE_INFINITY,
    });
  }
  return records;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
