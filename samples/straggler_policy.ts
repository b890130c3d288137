/**
 * Decides which running samples get a hedged attempt: those whose newest attempt is much slower than
 * recent attempts on the same model, within a budget of wasted tokens.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** Status of a sample in progress: its newest attempt, and the cost of all its attempts. */
export interface RunningSample {
  readonly key: string;
  readonly model: string;
  /** Time at which the newest attempt was requested. */
  readonly startedAtMs: Milliseconds;
  /** Time at which the newest attempt's first token arrived, or null. */
  readonly firstChunkAtMs: Milliseconds | null;
  /** Tokens that the newest attempt has generated. */
  readonly tokens: number;
  /** Number of concurrent attempts. */
  readonly activeAttempts: number;
  /** Tokens that are wasted if another attempt wins. */
  readonly tokensAtRisk: number;
  /** Whether all groups of its step have been started. */
  readonly tail: boolean;
}

/** An attempt that finished with a complete response. */
export interface FinishedAttempt {
  readonly model: string;
  readonly tokens: number;
  /** Time from the request to the first token. */
  readonly waitedMs: Milliseconds;
  /** Time from the first token to the last. */
  readonly generatedMs: Milliseconds;
}

/** Limits of the policy. */
export interface StragglerLimits {
  /** An attempt more than this many times slower than the median is a straggler. */
  readonly slowFactor: number;
  /** Tokens that hedged attempts may waste, as a fraction of the tokens used. */
  readonly wasteBudgetRatio: number;
  /** Tokens that may be wasted in addition, so that hedging is possible from the start. */
  readonly allowanceTokens: number;
  /** Minimum time after the first token before an attempt can be a straggler. */
  readonly minimumElapsedMs: Milliseconds;
  /** Maximum number of concurrent attempts of one sample. */
  readonly maximumAttempts: number;
}

/** Default limits. */
export const STRAGGLER_LIMITS: StragglerLimits = {
  slowFactor: 3,
  wasteBudgetRatio: 0.04,
  allowanceTokens: 4_096,
  minimumElapsedMs: 200,
  maximumAttempts: 4,
};

/** Finished attempts per model whose timing is remembered. */
const MAXIMUM_HISTORY_ATTEMPTS = 128;
/** Finished attempts on a model before any other can be a straggler. */
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

/** Records the timing of finished attempts, and selects the stragglers among the running samples. */
export class StragglerPolicy {
  readonly #limits: StragglerLimits;
  readonly #histories = new Map<string, AttemptHistory>();
  #usedTokens = 0;
  #wastedTokens = 0;

  constructor(limits: StragglerLimits = STRAGGLER_LIMITS) {
    this.#limits = limits;
  }

  /** Records an attempt that finished with a complete response. */
  recordFinished(attempt: FinishedAttempt): void {
    this.#usedTokens += attempt.tokens;
    const history = this.#histories.get(attempt.model) ??
      { attempts: [], nextSlot: 0 };
    history.attempts[history.nextSlot] = attempt;
    history.nextSlot = (history.nextSlot + 1) % MAXIMUM_HISTORY_ATTEMPTS;
    this.#histories.set(attempt.model, history);
  }

  /** Records tokens of an attempt that were generated and not used. */
  recordWasted(tokens: number): void {
    this.#wastedTokens += tokens;
  }

  /** Records tokens of a stopped attempt from which the winning attempt resumed. */
  recordReused(tokens: number): void {
    this.#usedTokens += tokens;
  }

  /** Returns the fraction of all generated tokens that were not used. */
  wastedRatio(): number {
    const all = this.#usedTokens + this.#wastedTokens;
    return all === 0 ? 0 : this.#wastedTokens / all;
  }

  /** Returns the keys of the samples that get another attempt now, slowest first. */
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
