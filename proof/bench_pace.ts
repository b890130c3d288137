/**
 * `npm run bench -- pace`: what callers get while upstreams restart or recover, with and without the slow start.
 *
 * @module
 */
import { MemoryEventLog } from "#core";
import { UpstreamSelector } from "#requests";
import type { BenchFigures, BenchOptions } from "./bench.ts";
import {
  type PaceOutcome,
  PaceWorld,
  type PaceWorldOptions,
} from "./pace_world.ts";
import { roundToDigits } from "./statistics.ts";

const FAULTS = ["restart", "recover", "fail_half"] as const;
const LOADS = [0.5, 0.9] as const;
const BUSY = { loads: LOADS, faults: FAULTS, measuredMs: 6_000 } as const;
const SIZES = [
  {
    upstreams: 3,
    vms: 6,
    returning: 1,
    slots: 6,
    workMs: 30,
    seeds: 8,
    ...BUSY,
  },
  {
    upstreams: 34,
    vms: 53,
    returning: 3,
    slots: 8,
    workMs: 30,
    seeds: 2,
    ...BUSY,
  },
  /** As the deployment "tenants": 8.39 calls a second. */
  {
    upstreams: 4,
    vms: 53,
    returning: 1,
    slots: 6,
    workMs: 35.7,
    seeds: 8,
    loads: [0.0125],
    faults: FAULTS,
    measuredMs: 120_000,
  },
  {
    upstreams: 1_700,
    vms: 330,
    returning: 170,
    slots: 2,
    workMs: 250,
    seeds: 1,
    loads: LOADS,
    // Shorter, as each of these calls looks at 1,700 upstreams.
    faults: ["restart", "recover"],
    measuredMs: 4_000,
  },
] as const;
const QUICK_SIZES = 3;
const ZONES = 3;
const COLD = { coldFactor: 4, coldMs: 3_000 } as const;
/** The objective of a call in multiples of its work, as in the deployments. */
const OBJECTIVE_PER_WORK = 6;

/** Runs the benchmark. */
export function run(options: BenchOptions): Promise<BenchFigures> {
  const sizes = options.quick ? SIZES.slice(0, QUICK_SIZES) : SIZES;
  const figures: Record<string, unknown> = {};
  for (const { seeds, loads, faults, ...size } of sizes) {
    for (const load of loads) {
      for (const fault of faults) {
        for (const hasSlowStart of [false, true]) {
          const outcomes: PaceOutcome[] = [];
          for (let seed = 1; seed <= seeds; seed += 1) {
            const world = { ...size, ...COLD, load, fault, seed };
            outcomes.push(play(world, hasSlowStart));
          }
          const variant = hasSlowStart ? "slow_start" : "without";
          const name = `${fault}_${size.upstreams}_at_${load}_${variant}`;
          figures[name] = meanOf(outcomes);
          console.error(name, JSON.stringify(figures[name]));
        }
      }
    }
  }
  return Promise.resolve(figures);
}

function play(
  world: Omit<
    PaceWorldOptions,
    "createSelector" | "zones" | "objectiveMs" | "isUneven" | "isHedged"
  >,
  hasSlowStart: boolean,
): PaceOutcome {
  return new PaceWorld({
    ...world,
    zones: ZONES,
    objectiveMs: world.workMs * OBJECTIVE_PER_WORK,
    isUneven: true,
    isHedged: true,
    createSelector: (zone, random) => {
      const slowStart = { random, events: new MemoryEventLog() };
      return new UpstreamSelector({
        zone,
        ...(hasSlowStart ? { slowStart } : {}),
      });
    },
  }).run();
}

function meanOf(
  outcomes: readonly PaceOutcome[],
): Readonly<Record<string, number>> {
  const [first] = outcomes;
  const names = Object.keys(first ?? {}) as (keyof PaceOutcome)[];
  return Object.fromEntries(names.map((name) => {
    const sum = outcomes.reduce((total, each) => total + each[name], 0);
    return [name, roundToDigits(sum / outcomes.length, 4)];
  }));
}
