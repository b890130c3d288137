/**
 * Decides which running samples get another run: those whose newest run is much slower than
 * the others, within a budget of tokens.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** A sample in work as the policy sees it: its newest run, and the cost of all. */
export interface RunningSample {
  readonly key: string;
  readonly model: string;
  /** When the newest run was asked for. */
  readonly startedAtMs: Milliseconds;
  /** When the newest run's first token came, or null. */
  readonly firstChunkAtMs: Milliseconds | null;
  /** Tokens that the newest run has made. */
  readonly tokens: number;
  /** Runs that are on. */
  readonly runs: number;
  /** Tokens that are wasted if another run wins. */
  readonly tokensAtRisk: number;
  /** Whether nothing of its step is left to be started. */
  readonly tail: boolean;
}

/** A run that ended with a whole answer. */
export interface FinishedRun {
  readonly model: string;
  readonly tokens: number;
  /** From the request until the first token. */
  readonly waitedMs: Milliseconds;
  /** From the first token until the last. */
  readonly generatedMs: Milliseconds;
}

/** Limits of the policy. */
export interface StragglerLimits {
  /** A run this many times slower than the median is a straggler. */
  readonly slowFactor: number;
  /** Part of all tokens that second runs may waste. */
  readonly budget: number;
  /** Tokens that may be wasted before any were made. */
  readonly allowanceTokens: number;
  /** Shortest time after the first token before a run is judged. */
  readonly shortestMs: Milliseconds;
  /** Most runs of one sample at once. */
  readonly maximumRuns: number;
}

/** Limits in use unless others are given. */
export const STRAGGLER_LIMITS: StragglerLimits = {
  slowFactor: 3,
  budget: 0.04,
  allowanceTokens: 4_096,
  shortestMs: 200,
  maximumRuns: 4,
};

const REMEMBERED_RUNS = 128;
/** Runs needed before any can be called slow. */
const FEWEST_RUNS = 4;

interface ModelRecord {
  readonly runs: FinishedRun[];
  next: number;
}

interface Pace {
  readonly msPerToken: number;
  readonly waitedMs: Milliseconds;
  readonly generatedMs: Milliseconds;
}

/** Remembers how fast runs end and judges those in work. */
export class StragglerPolicy {
  readonly #limits: StragglerLimits;
  readonly #models = new Map<string, ModelRecord>();
  #madeTokens = 0;
  #wastedTokens = 0;

  constructor(limits: StragglerLimits = STRAGGLER_LIMITS) {
    this.#limits = limits;
  }

  /** Records a run that ended with a whole answer. */
  finished(run: FinishedRun): void {
    this.#madeTokens += run.tokens;
    const record = this.#models.get(run.model) ?? { runs: [], next: 0 };
    record.runs[record.next] = run;
    record.next = (record.next + 1) % REMEMBERED_RUNS;
    this.#models.set(run.model, record);
  }

  /** Records tokens of a run that were made and not used. */
  wasted(tokens: number): void {
    this.#wastedTokens += tokens;
  }

  /** Records tokens of an ended run that the winner went on with. */
  reused(tokens: number): void {
    this.#madeTokens += tokens;
  }

  /** Tokens made and not used, over all tokens made. */
  wastedPart(): number {
    const all = this.#madeTokens + this.#wastedTokens;
    return all === 0 ? 0 : this.#wastedTokens / all;
  }

  /** Names the samples that get another run now, slowest first. */
  choose(
    running: readonly RunningSample[],
    nowMs: Milliseconds,
  ): readonly string[] {
    let left = this.#tokensLeft();
    for (const sample of running) {
      if (sample.runs > 1) left -= sample.tokensAtRisk;
    }
    const chosen: string[] = [];
    for (const sample of this.#slowest(running, nowMs)) {
      const risk = Math.max(1, sample.tokensAtRisk);
      if (risk > left) continue;
      left -= risk;
      chosen.push(sample.key);
    }
    return chosen;
  }

  #tokensLeft(): number {
    const { budget, allowanceTokens } = this.#limits;
    return allowanceTokens + budget * this.#madeTokens - this.#wastedTokens;
  }

  #slowest(
    running: readonly RunningSample[],
    nowMs: Milliseconds,
  ): readonly RunningSample[] {
    const paces = new Map<string, Pace | null>();
    const slow: { readonly sample: RunningSample; readonly ratio: number }[] =
      [];
    for (const sample of running) {
      if (sample.runs >= this.#limits.maximumRuns) continue;
      let pace = paces.get(sample.model);
      if (pace === undefined) {
        pace = this.#paceOf(sample.model);
        paces.set(sample.model, pace);
      }
      if (pace === null) continue;
      const ratio = this.#slowness(sample, pace, nowMs);
      if (ratio > this.#limits.slowFactor) slow.push({ sample, ratio });
    }
    slow.sort((a, b) => b.ratio - a.ratio);
    return slow.map((entry) => entry.sample);
  }

  #slowness(
    sample: RunningSample,
    pace: Pace,
    nowMs: Milliseconds,
  ): number {
    if (sample.firstChunkAtMs === null) {
      if (!sample.tail) return 0;
      const expectedMs = pace.waitedMs + pace.generatedMs;
      return (nowMs - sample.startedAtMs) / Math.max(1, expectedMs);
    }
    const elapsedMs = nowMs - sample.firstChunkAtMs;
    if (elapsedMs < this.#limits.shortestMs) return 0;
    const msPerToken = elapsedMs / Math.max(1, sample.tokens);
    return msPerToken / pace.msPerToken;
  }

  #paceOf(model: string): Pace | null {
    const runs = this.#models.get(model)?.runs ?? [];
    if (runs.length < FEWEST_RUNS) return null;
    const msPerToken = median(
      runs.map((run) => run.generatedMs / Math.max(1, run.tokens)),
    );
    return {
      msPerToken: Math.max(0.01, msPerToken),
      waitedMs: median(runs.map((run) => run.waitedMs)),
      generatedMs: median(runs.map((run) => run.generatedMs)),
    };
  }
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
