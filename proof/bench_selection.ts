/**
 * Time of one decision of the scheduler (admission, order, limits, selection) by number of upstreams, and
 * its slope.
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
/** Part of the places that are taken while decisions are measured. */
const FILLED = [0.1, 0.9] as const;

/** Runs the benchmark. */
export function run(options: BenchOptions): Promise<BenchFigures> {
  const decisions = options.quick ? QUICK_DECISIONS : DECISIONS;
  const figures: Record<string, number> = {};
  for (const filled of FILLED) {
    const times: number[] = [];
    for (const size of SIZES) {
      const all: number[] = [];
      for (let repeat = 0; repeat < REPEATS; repeat += 1) {
        all.push(measure({ size, filled, decisions, seed: repeat }));
      }
      const best = all.sort((a, b) => a - b)[Math.floor(REPEATS / 2)] ?? 0;
      times.push(best);
      figures[`microseconds_at_${size}_filled_${filled}`] = round(best);
    }
    const [small = 0, , large = 0] = times;
    const slope = (large - small) / (SIZES[2] - SIZES[0]);
    figures[`nanoseconds_each_upstream_filled_${filled}`] = round(
      slope * 1_000,
    );
  }
  return Promise.resolve({ decisions, repeats: REPEATS, ...figures });
}

interface MeasureOptions {
  readonly size: number;
  readonly filled: number;
  readonly decisions: number;
  readonly seed: number;
}

function measure(options: MeasureOptions): number {
  const random = new SeededRandom(options.seed);
  const scheduler = new Scheduler({ vm: "entry-1", zone: "zone-0", random });
  scheduler.setBundle({
    ...OVERLOAD_BUNDLE,
    tenants: [{ name: "agency", weight: 1, maximumOutstanding: 100_000 }],
  });
  scheduler.setUpstreams(recordsOf(options.size), 0);
  const running: string[] = [];
  const near = Math.ceil(options.size / Math.min(ZONES, options.size));
  const target = Math.floor(near * CAPACITY * options.filled);
  let made = 0;
  const decide = (): void => {
    made += 1;
    scheduler.submit(makeItem(made, random), 0);
    for (const { item } of scheduler.takeDispatches(0)) running.push(item.id);
  };
  while (running.length < target) decide();
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
    decide();
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

function recordsOf(size: number): ReadonlyMap<string, UpstreamRecord> {
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
