/**
 * Rollout of a version in waves against all at once and one by one, in virtual time, and the
 * processor time of a decision.
 *
 * @module
 */
import { WavePlan } from "#weights";
import type { BenchFigures, BenchOptions } from "./bench.ts";
import {
  AllAtOncePlan,
  OneByOnePlan,
  rollOut,
  type RolloutOutcome,
  type RolloutSite,
} from "./rollout_model.ts";

const RUNS = 20;
/** Part of loads that fail partway. */
const FAILED_PART = 0.02;
const DECISIONS = 200;

/** Sites by name: today's, one of middle size, and the target. */
const SITES: Readonly<Record<string, RolloutSite>> = {
  engines8: {
    engines: 8,
    zones: 3,
    loadsPerSecond: 1,
    servingFloor: 0.5,
    transferMs: 8_000,
    failedPart: FAILED_PART,
  },
  engines155: {
    engines: 155,
    zones: 3,
    loadsPerSecond: 10,
    servingFloor: 0.5,
    transferMs: 8_000,
    failedPart: FAILED_PART,
  },
  engines1700: {
    engines: 1_700,
    zones: 11,
    loadsPerSecond: 110,
    servingFloor: 0.5,
    transferMs: 8_000,
    failedPart: FAILED_PART,
  },
};

const PLANS = {
  waves: () => new WavePlan(),
  allAtOnce: () => new AllAtOncePlan(),
  oneByOne: () => new OneByOnePlan(),
} as const;

/** Runs all plans on all sites. */
export function run(options: BenchOptions): Promise<BenchFigures> {
  const runs = options.quick ? 2 : RUNS;
  const figures: Record<string, unknown> = { runs };
  for (const [siteName, site] of Object.entries(SITES)) {
    const whole = [];
    for (let seed = 1; seed <= runs; seed += 1) {
      whole.push(rollOut(new WavePlan(), { ...site, failedPart: 0 }, seed));
    }
    figures[`${siteName}_wavesWithoutFailures`] = summary(whole);
    for (const [planName, makePlan] of Object.entries(PLANS)) {
      const outcomes: RolloutOutcome[] = [];
      const single = planName === "oneByOne" && site.engines > 1_000;
      for (let seed = 1; seed <= (single ? 1 : runs); seed += 1) {
        outcomes.push(rollOut(makePlan(), site, seed));
      }
      figures[`${siteName}_${planName}`] = summary(outcomes);
    }
    figures[`${siteName}_decisionMicroseconds`] = decisionMicroseconds(site);
  }
  return Promise.resolve(figures);
}

function summary(
  outcomes: readonly RolloutOutcome[],
): Readonly<Record<string, number>> {
  return {
    allServeSeconds: mean(outcomes, (one) => one.allServeMs) / 1_000,
    worstAllServeSeconds: Math.max(...outcomes.map((one) => one.allServeMs)) /
      1_000,
    lowestServing: Math.min(...outcomes.map((one) => one.lowestServing)),
    idleSeconds: mean(outcomes, (one) => one.idleMs) / 1_000,
    storeRefusals: mean(outcomes, (one) => one.refusals),
  };
}

function mean(
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
  const begunMs = performance.now();
  for (let round = 0; round < DECISIONS; round += 1) {
    plan.selectEngines(engines, { ...site, version: 2 }, round * 100);
  }
  const spentMs = performance.now() - begunMs;
  return Number((spentMs * 1_000 / DECISIONS).toFixed(1));
}
