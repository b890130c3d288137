/**
 * Time until a step is whole and tokens wasted, with and without each measure against stragglers, in
 * virtual time.
 *
 * @module
 */
import type { BenchFigures, BenchOptions } from "./bench.ts";
import { runStep, type StragglerSettings } from "./straggler_model.ts";

const STEPS = 400;
const QUICK_STEPS = 20;
const SLOW_PART = 0.01;

const NONE: StragglerSettings = {
  tailPriority: false,
  secondRun: false,
  resume: false,
  slowPart: SLOW_PART,
  slowMidway: false,
};

/** Settings by name; all have 1% of runs slow but the first. */
const VARIANTS: Readonly<Record<string, StragglerSettings>> = {
  no_slow_runs: { ...NONE, slowPart: 0 },
  no_slow_runs_tail: { ...NONE, slowPart: 0, tailPriority: true },
  none: NONE,
  tail: { ...NONE, tailPriority: true },
  second_run: { ...NONE, secondRun: true },
  second_run_resumed: { ...NONE, secondRun: true, resume: true },
  tail_second_run: { ...NONE, tailPriority: true, secondRun: true },
  all: { ...NONE, tailPriority: true, secondRun: true, resume: true },
};

/** Runs all variants with the same seeds. */
export function run(options: BenchOptions): Promise<BenchFigures> {
  const steps = options.quick ? QUICK_STEPS : STEPS;
  const figures: Record<string, unknown> = { steps, samplesPerStep: 512 };
  for (const [name, settings] of Object.entries(VARIANTS)) {
    figures[name] = measure(settings, steps);
    if (settings.slowPart === 0) continue;
    figures[`${name}_midway`] = measure(
      { ...settings, slowMidway: true },
      steps,
    );
  }
  return Promise.resolve(figures);
}

function measure(
  settings: StragglerSettings,
  steps: number,
): Readonly<Record<string, number>> {
  const times: number[] = [];
  let tokens = 0;
  let wasted = 0;
  let secondRuns = 0;
  for (let seed = 1; seed <= steps; seed += 1) {
    const outcome = runStep(settings, seed);
    times.push(outcome.stepMs);
    tokens += outcome.tokens;
    wasted += outcome.wastedTokens;
    secondRuns += outcome.secondRuns;
  }
  times.sort((a, b) => a - b);
  const p50 = quantile(times, 0.5);
  const p99 = quantile(times, 0.99);
  return {
    p50Seconds: p50 / 1_000,
    p99Seconds: p99 / 1_000,
    p99OverP50: Number((p99 / p50).toFixed(3)),
    wastedPart: Number((wasted / tokens).toFixed(4)),
    secondRunsPerStep: Number((secondRuns / steps).toFixed(2)),
  };
}

function quantile(sorted: readonly number[], part: number): number {
  const at = Math.min(sorted.length - 1, Math.ceil(sorted.length * part) - 1);
  return sorted[at] ?? 0;
}
