/**
 * `npm run bench -- stragglers`: time until a step is complete and tokens wasted, with and without each measure against
 * stragglers, in virtual time.
 *
 * @module
 */
import type { BenchFigures, BenchOptions } from "./bench.ts";
import { runStep, type StragglerSettings } from "./straggler_model.ts";

const STEPS = 400;
const QUICK_STEPS = 20;
const SLOW_FRACTION = 0.01;

const NO_MEASURES: StragglerSettings = {
  tailPriority: false,
  hedging: false,
  resume: false,
  slowFraction: SLOW_FRACTION,
  slowMidway: false,
};

/** Settings by name; 1% of the attempts are slow, except in those whose name starts with `no_slow_runs`. */
const VARIANTS: Readonly<Record<string, StragglerSettings>> = {
  no_slow_runs: { ...NO_MEASURES, slowFraction: 0 },
  no_slow_runs_tail: { ...NO_MEASURES, slowFraction: 0, tailPriority: true },
  none: NO_MEASURES,
  tail: { ...NO_MEASURES, tailPriority: true },
  second_run: { ...NO_MEASURES, hedging: true },
  second_run_resumed: { ...NO_MEASURES, hedging: true, resume: true },
  tail_second_run: { ...NO_MEASURES, tailPriority: true, hedging: true },
  all: { ...NO_MEASURES, tailPriority: true, hedging: true, resume: true },
};

/** Runs the benchmark, each variant with the same seeds. */
export function run(options: BenchOptions): Promise<BenchFigures> {
  const steps = options.quick ? QUICK_STEPS : STEPS;
  const figures: Record<string, unknown> = { steps, samplesPerStep: 512 };
  for (const [name, settings] of Object.entries(VARIANTS)) {
    figures[name] = measureVariant(settings, steps);
    if (settings.slowFraction === 0) continue;
    figures[`${name}_midway`] = measureVariant(
      { ...settings, slowMidway: true },
      steps,
    );
  }
  return Promise.resolve(figures);
}

function measureVariant(
  settings: StragglerSettings,
  steps: number,
): Readonly<Record<string, number>> {
  const times: number[] = [];
  let tokens = 0;
  let wasted = 0;
  let hedgedAttempts = 0;
  for (let seed = 1; seed <= steps; seed += 1) {
    const outcome = runStep(settings, seed);
    times.push(outcome.stepMs);
    tokens += outcome.tokens;
    wasted += outcome.wastedTokens;
    hedgedAttempts += outcome.hedgedAttempts;
  }
  times.sort((a, b) => a - b);
  const p50 = quantile(times, 0.5);
  const p99 = quantile(times, 0.99);
  return {
    p50Seconds: p50 / 1_000,
    p99Seconds: p99 / 1_000,
    p99OverP50: Number((p99 / p50).toFixed(3)),
    wastedPart: Number((wasted / tokens).toFixed(4)),
    secondRunsPerStep: Number((hedgedAttempts / steps).toFixed(2)),
  };
}

function quantile(sorted: readonly number[], fraction: number): number {
  const index = Math.min(
    sorted.length - 1,
    Math.ceil(sorted.length * fraction) - 1,
  );
  return sorted[index] ?? 0;
}
