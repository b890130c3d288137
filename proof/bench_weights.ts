/**
 * `npm run bench -- weights`: rollout of a version in waves against all engines at once and one at a time, in virtual
 * time, and the processor time of one decision.
 *
 * @module
 */
import { WavePlan } from "#weights";
import type { BenchFigures, BenchOptions } from "./bench.ts";
import {
  AllAtOncePlan,
  OneByOnePlan,
  type RolloutOutcome,
  type RolloutSite,
  runRollout,
} from "./rollout_model.ts";

const RUNS = 20;
/** Fraction of the loads that fail partway. */
const FAILED_LOAD_FRACTION = 0.02;
const DECISIONS = 200;

/** Sites by name: the current size, an intermediate size and the target size. */
const SITES: Readonly<Record<string, RolloutSite>> = {
  engines8: {
    engines: 8,
    zones: 3,
    loadsPerSecond: 1,
    servingFloor: 0.5,
    transferMs: 8_000,
    failedLoadFraction: FAILED_LOAD_FRACTION,
  },
  engines155: {
    engines: 155,
    zones: 3,
    loadsPerSecond: 10,
    servingFloor: 0.5,
    transferMs: 8_000,
    failedLoadFraction: FAILED_LOAD_FRACTION,
  },
  engines1700: {
    engines: 1_700,
    zones: 11,
    loadsPerSecond: 110,
    servingFloor: 0.5,
    transferMs: 8_000,
    failedLoadFraction: FAILED_LOAD_FRACTION,
  },
};

const PLANS = {
  waves: () => new WavePlan(),
  allAtOnce: () => new AllAtOncePlan(),
  oneByOne: () => new OneByOnePlan(),
} as const;

/** Runs the benchmark, each plan on each site. */
export function run(options: BenchOptions): Promise<BenchFigures> {
  const runs = options.quick ? 2 : RUNS;
  const figures: Record<string, unknown> = { runs };
  for (const [siteName, site] of Object.entries(SITES)) {
    const withoutFailures = [];
    for (let seed = 1; seed <= runs; seed += 1) {
      withoutFailures.push(
        runRollout(new WavePlan(), { ...site, failedLoadFraction: 0 }, seed),
      );
    }
    figures[`${siteName}_wavesWithoutFailures`] = summarise(withoutFailures);
    for (const [planName, makePlan] of Object.entries(PLANS)) {
      const outcomes: RolloutOutcome[] = [];
      const runsOnce = planName === "oneByOne" && site.engines > 1_000;
      for (let seed = 1; seed <= (runsOnce ? 1 : runs); seed += 1) {
        outcomes.push(runRollout(makePlan(), site, seed));
      }
      figures[`${siteName}_${planName}`] = summarise(outcomes);
    }
    figures[`${siteName}_decisionMicroseconds`] = decisionMicroseconds(site);
  }
  return Promise.resolve(figures);
}

function summarise(
  outcomes: readonly RolloutOutcome[],
): Readonly<Record<string, number>> {
  return {
    allServeSeconds: meanOf(outcomes, (one) => one.allServeMs) / 1_000,
    worstAllServeSeconds: Math.max(...outcomes.map((one) => one.allServeMs)) /
      1_000,
    lowestServing: Math.min(...outcomes.map((one) => one.lowestServing)),
    idleSeconds: meanOf(outcomes, (one) => one.idleMs) / 1_000,
    storeRefusals: meanOf(outcomes, (one) => one.storeRejections),
  };
}

function meanOf(
  outcomes: readonly RolloutOutcome[],
  value: (outcome: RolloutOutcome) => number,
): number {
  let sum = 0;
  for (const outcome of outcomes) sum += value(outcome);
  return Number((sum / outcomes.length).toFixed(1));
}

function decisionMicroseconds(site: RolloutSite): number {
  const engines = Array.from({ length: site.engines }, (_, index) => ({
    upstream: `e${index}`,
    zone: `z${index % site.zones}`,
    capacity: 16,
    serving: 1 + index % 2,
    loading: false,
    earliestOrderMs: 0,
    consecutiveFailures: 0,
  }));
  const plan = new WavePlan();
  const startMs = performance.now();
  for (let round = 0; round < DECISIONS; round += 1) {
    plan.selectEngines(engines, { ...site, version: 2 }, round * 100);
  }
  const elapsedMs = performance.now() - startMs;
  return Number((elapsedMs * 1_000 / DECISIONS).toFixed(1));
}
