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
  readonly activeAttempts: number;
  /** Tokens that are wasted if another run wins. */
  readonly tokensAtRisk: number;
  /** Whether nothing of its step is left to be started. */
  readonly tail: boolean;
}

/** A run that ended with a whole answer. */
export interface FinishedAttempt {
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
  readonly wasteBudgetRatio: number;
  /** Tokens that may be wasted before any were made. */
  readonly allowanceTokens: number;
  /** Shortest time after the first token before a run is judged. */
  readonly minimumElapsedMs: Milliseconds;
  /** Most runs of one sample at once. */
  readonly maximumAttempts: number;
}

/** Limits in use unless others are given. */
export const STRAGGLER_LIMITS: StragglerLimits = {
  slowFactor: 3,
  wasteBudgetRatio: 0.04,
  allowanceTokens: 4_096,
  minimumElapsedMs: 200,
  maximumAttempts: 4,
};

const MAXIMUM_HISTORY_ATTEMPTS = 128;
/** Runs needed before any can be called slow. */
const MINIMUM_HISTORY_ATTEMPTS = 4;

interface AttemptHistory {
  readonly attempts: FinishedAttempt[];
  nextSlot: number;
}

interface AttemptTiming {
  readonly msPerToken: number;
  readonly waitedMs: Milliseconds;
  readonly generatedMs: Milliseconds;
}

/** Remembers how fast runs end and judges those in work. */
export class StragglerPolicy {
  readonly #limits: StragglerLimits;
  readonly #histories = new Map<string, AttemptHistory>();
  #usedTokens = 0;
  #wastedTokens = 0;

  constructor(limits: StragglerLimits = STRAGGLER_LIMITS) {
    this.#limits = limits;
  }

  /** Records a run that ended with a whole answer. */
  recordFinished(attempt: FinishedAttempt): void {
    this.#usedTokens += attempt.tokens;
    const history = this.#histories.get(attempt.model) ??
      { attempts: [], nextSlot: 0 };
    history.attempts[history.nextSlot] = attempt;
    history.nextSlot = (history.nextSlot + 1) % MAXIMUM_HISTORY_ATTEMPTS;
    this.#histories.set(attempt.model, history);
  }

  /** Records tokens of a run that were made and not used. */
  recordWasted(tokens: number): void {
    this.#wastedTokens += tokens;
  }

  /** Records tokens of an ended run that the winner went on with. */
  recordReused(tokens: number): void {
    this.#usedTokens += tokens;
  }

  /** Tokens made and not used, over all tokens made. */
  wastedRatio(): number {
    const all = this.#usedTokens + this.#wastedTokens;
    return all === 0 ? 0 : this.#wastedTokens / all;
  }

  /** Names the samples that get another run now, slowest first. */
  selectStragglers(
    running: readonly RunningSample[],
    nowMs: Milliseconds,
  ): readonly string[] {
    let remainingTokens = this.#remainingWasteTokens();
    for (const sample of running) {
      if (sample.activeAttempts > 1) remainingTokens -= sample.tokensAtRisk;
    }
    const chosen: string[] = [];
    for (const sample of this.#findStragglers(running, nowMs)) {
      const risk = Math.max(1, sample.tokensAtRisk);
      if (risk > remainingTokens) continue;
      remainingTokens -= risk;
      chosen.push(sample.key);
    }
    return chosen;
  }

  #remainingWasteTokens(): number {
    const { wasteBudgetRatio: budget, allowanceTokens } = this.#limits;
    return allowanceTokens + budget * this.#usedTokens - this.#wastedTokens;
  }

  #findStragglers(
    running: readonly RunningSample[],
    nowMs: Milliseconds,
  ): readonly RunningSample[] {
    const timings = new Map<string, AttemptTiming | null>();
    const stragglers: {
      readonly sample: RunningSample;
      readonly ratio: number;
    }[] = [];
    for (const sample of running) {
      if (sample.activeAttempts >= this.#limits.maximumAttempts) continue;
      let timing = timings.get(sample.model);
      if (timing === undefined) {
        timing = this.#medianTiming(sample.model);
        timings.set(sample.model, timing);
      }
      if (timing === null) continue;
      const ratio = this.#slowdownOf(sample, timing, nowMs);
      if (ratio > this.#limits.slowFactor) stragglers.push({ sample, ratio });
    }
    stragglers.sort((a, b) => b.ratio - a.ratio);
    return stragglers.map((entry) => entry.sample);
  }

  #slowdownOf(
    sample: RunningSample,
    timing: AttemptTiming,
    nowMs: Milliseconds,
  ): number {
    if (sample.firstChunkAtMs === null) {
      if (!sample.tail) return 0;
      const expectedMs = timing.waitedMs + timing.generatedMs;
      return (nowMs - sample.startedAtMs) / Math.max(1, expectedMs);
    }
    const elapsedMs = nowMs - sample.firstChunkAtMs;
    if (elapsedMs < this.#limits.minimumElapsedMs) return 0;
    const msPerToken = elapsedMs / Math.max(1, sample.tokens);
    return msPerToken / timing.msPerToken;
  }

  #medianTiming(model: string): AttemptTiming | null {
    const attempts = this.#histories.get(model)?.attempts ?? [];
    if (attempts.length < MINIMUM_HISTORY_ATTEMPTS) return null;
    const msPerToken = median(
      attempts.map((attempt) =>
        attempt.generatedMs / Math.max(1, attempt.tokens)
      ),
    );
    return {
      msPerToken: Math.max(0.01, msPerToken),
      waitedMs: median(attempts.map((attempt) => attempt.waitedMs)),
      generatedMs: median(attempts.map((attempt) => attempt.generatedMs)),
    };
  }
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
