/**
 * A model of engines, in virtual time, for the benchmark of stragglers: slots that generate tokens, a queue shared with
 * another trainer, and the straggler policy that the entry VMs use.
 *
 * @module
 */
import { type Milliseconds, type RandomSource, SeededRandom } from "#core";
import { type RunningSample, StragglerPolicy } from "#samples";

const STEP_MS: Milliseconds = 25;
const POLICY_PERIOD_MS: Milliseconds = 200;
const ENGINES = 6;
const SLOTS_PER_ENGINE = 16;
const TOKEN_MS: Milliseconds = 10;
const PREFILL_MS: Milliseconds = 50;
const SAMPLES = 512;
const SHORTEST_TOKENS = 200;
const LONGEST_TOKENS = 400;
const SLOW_FACTOR = 20;
/** Maximum number of samples of the own step that are requested and not complete. */
const MAXIMUM_OPEN_SAMPLES = 1.5 * ENGINES * SLOTS_PER_ENGINE;
/** Number of samples of the other trainer that wait in the queue at any time. */
const OTHER_SAMPLES_WAITING = 24;
const MODEL = "advice";
const TIME_LIMIT_MS: Milliseconds = 600_000;

/** Enabled measures against stragglers, and the stragglers to inject. */
export interface StragglerSettings {
  readonly tailPriority: boolean;
  readonly hedging: boolean;
  readonly resume: boolean;
  /** Fraction of the attempts that are slow. */
  readonly slowFraction: number;
  /** Whether slow attempts become slow at a random token instead of at the start. */
  readonly slowMidway: boolean;
}

/** Duration and cost of one step. */
export interface StragglerOutcome {
  readonly stepMs: Milliseconds;
  readonly tokens: number;
  readonly wastedTokens: number;
  readonly hedgedAttempts: number;
}

interface Attempt {
  readonly sample: Sample;
  readonly engine: number;
  readonly requestedAtMs: Milliseconds;
  readonly readyAtMs: Milliseconds;
  /** Index of the first token to generate; the tokens before it come from an earlier attempt. */
  readonly firstToken: number;
  /** Token from which on the attempt is slow. */
  readonly slowFromToken: number;
  /** Number of tokens of the response so far, including those of an earlier attempt. */
  tokens: number;
}

interface Sample {
  readonly key: string;
  readonly isOwn: boolean;
  readonly lengthTokens: number;
  readonly attempts: Attempt[];
  done: boolean;
}

interface Waiting {
  readonly sample: Sample;
  readonly firstToken: number;
  readonly requestedAtMs: Milliseconds;
  readonly avoid: readonly number[];
  readonly urgent: boolean;
}

/** Simulates one step of a trainer that shares the engines with a trainer that always has samples waiting. */
export function runStep(
  settings: StragglerSettings,
  seed: number,
): StragglerOutcome {
  return new StragglerModel(settings, seed).run();
}

class StragglerModel {
  readonly #settings: StragglerSettings;
  readonly #random: RandomSource;
  readonly #policy = new StragglerPolicy();
  readonly #freeSlots: number[];
  readonly #running = new Set<Attempt>();
  readonly #ownSamples: Sample[] = [];
  #queue: Waiting[] = [];
  #nowMs: Milliseconds = 0;
  #tokens = 0;
  #wasted = 0;
  #hedgedAttempts = 0;
  #otherSamples = 0;
  #remaining = SAMPLES;

  constructor(settings: StragglerSettings, seed: number) {
    this.#settings = settings;
    this.#random = new SeededRandom(seed);
    this.#freeSlots = Array.from({ length: ENGINES }, () => SLOTS_PER_ENGINE);
  }

  run(): StragglerOutcome {
    while (this.#remaining > 0 && this.#nowMs < TIME_LIMIT_MS) {
      this.#requestOwnSamples();
      this.#dispatch();
      this.#nowMs += STEP_MS;
      for (const attempt of this.#running) this.#advance(attempt);
      const due = this.#nowMs % POLICY_PERIOD_MS === 0;
      if (due && this.#settings.hedging) this.#hedgeStragglers();
    }
    return {
      stepMs: this.#nowMs,
      tokens: this.#tokens,
      wastedTokens: this.#wasted,
      hedgedAttempts: this.#hedgedAttempts,
    };
  }

  /** Requests samples of the own step up to the number that an entry VM leases ahead. */
  #requestOwnSamples(): void {
    while (this.#ownSamples.length < SAMPLES) {
      const open = this.#ownSamples.length - (SAMPLES - this.#remaining);
      if (open >= MAXIMUM_OPEN_SAMPLES) return;
      const sample = this.#makeSample(`own/${this.#ownSamples.length}`, true);
      this.#ownSamples.push(sample);
      this.#enqueue(sample, { firstToken: 0, avoid: [] });
    }
  }

  #makeSample(key: string, isOwn: boolean): Sample {
    const spread = LONGEST_TOKENS - SHORTEST_TOKENS;
    const lengthTokens = SHORTEST_TOKENS + this.#random.below(spread + 1);
    return { key, isOwn, lengthTokens, attempts: [], done: false };
  }

  #enqueue(
    sample: Sample,
    options: { readonly firstToken: number; readonly avoid: readonly number[] },
  ): void {
    const isTail = this.#isTail();
    const urgent = this.#settings.tailPriority && sample.isOwn && isTail;
    this.#queue.push({
      sample,
      requestedAtMs: this.#nowMs,
      urgent,
      ...options,
    });
  }

  /** Returns whether all samples of the own step have been requested. */
  #isTail(): boolean {
    return this.#ownSamples.length === SAMPLES;
  }

  /** Fills free slots, with urgent samples first and then those of the trainer with fewer running attempts. */
  #dispatch(): void {
    this.#queue = this.#queue.filter((waiting) => !waiting.sample.done);
    for (;;) {
      if (this.#freeSlots.every((slots) => slots === 0)) return;
      this.#requestOtherSamples();
      const next = this.#selectNext();
      if (next === undefined) return;
      const engine = this.#selectEngine(next.avoid);
      if (engine === undefined) return;
      this.#queue.splice(this.#queue.indexOf(next), 1);
      this.#startAttempt(next, engine);
    }
  }

  #requestOtherSamples(): void {
    let waiting = 0;
    for (const entry of this.#queue) waiting += entry.sample.isOwn ? 0 : 1;
    for (; waiting < OTHER_SAMPLES_WAITING; waiting += 1) {
      this.#otherSamples += 1;
      const sample = this.#makeSample(`other/${this.#otherSamples}`, false);
      this.#enqueue(sample, { firstToken: 0, avoid: [] });
    }
  }

  #selectNext(): Waiting | undefined {
    const urgent = this.#queue.find((waiting) => waiting.urgent);
    if (urgent !== undefined) return urgent;
    let own = 0;
    for (const attempt of this.#running) own += attempt.sample.isOwn ? 1 : 0;
    const ownFirst = own * 2 <= this.#running.size;
    return this.#queue.find((waiting) => waiting.sample.isOwn === ownFirst) ??
      this.#queue[0];
  }

  #selectEngine(avoid: readonly number[]): number | undefined {
    let best: number | undefined;
    for (const [engine, slots] of this.#freeSlots.entries()) {
      if (slots === 0 || avoid.includes(engine)) continue;
      if (best === undefined || slots > (this.#freeSlots[best] ?? 0)) {
        best = engine;
      }
    }
    return best;
  }

  #startAttempt(waiting: Waiting, engine: number): void {
    const { sample, firstToken, requestedAtMs } = waiting;
    this.#freeSlots[engine] = (this.#freeSlots[engine] ?? 0) - 1;
    const isSlow = this.#random.fraction() < this.#settings.slowFraction;
    const slowFrom = this.#settings.slowMidway
      ? this.#random.below(sample.lengthTokens)
      : 0;
    const attempt = {
      sample,
      engine,
      requestedAtMs,
      readyAtMs: this.#nowMs + PREFILL_MS,
      firstToken,
      slowFromToken: isSlow
        ? Math.max(firstToken, slowFrom)
        : Number.MAX_SAFE_INTEGER,
      tokens: firstToken,
    };
    sample.attempts.push(attempt);
    this.#running.add(attempt);
  }

  #advance(attempt: Attempt): void {
    if (this.#nowMs <= attempt.readyAtMs) return;
    const isSlow = attempt.tokens >= attempt.slowFromToken;
    attempt.tokens += STEP_MS / (isSlow ? TOKEN_MS * SLOW_FACTOR : TOKEN_MS);
    if (attempt.tokens < attempt.sample.lengthTokens) return;
    this.#finish(attempt);
  }

  #finish(winner: Attempt): void {
    const { sample } = winner;
    sample.done = true;
    if (sample.isOwn) this.#remaining -= 1;
    this.#policy.recordFinished({
      model: MODEL,
      tokens: sample.lengthTokens - winner.firstToken,
      waitedMs: winner.readyAtMs - winner.requestedAtMs,
      generatedMs: this.#nowMs - winner.readyAtMs,
    });
    for (const attempt of sample.attempts) {
      this.#running.delete(attempt);
      this.#freeSlots[attempt.engine] = (this.#freeSlots[attempt.engine] ?? 0) +
        1;
      this.#countTokens(attempt, winner);
    }
  }

  /** Counts the tokens of an attempt as wasted if it lost, except those that the winner resumed from. */
  #countTokens(attempt: Attempt, winner: Attempt): void {
    if (!attempt.sample.isOwn) return;
    const generated = Math.min(attempt.tokens, attempt.sample.lengthTokens) -
      attempt.firstToken;
    this.#tokens += generated;
    if (attempt === winner) return;
    const reused = Math.max(
      0,
      Math.min(winner.firstToken, attempt.tokens) - attempt.firstToken,
    );
    const wasted = Math.max(0, generated - reused);
    this.#wasted += wasted;
    this.#policy.recordWasted(wasted);
  }

  #hedgeStragglers(): void {
    const candidates: RunningSample[] = [];
    const tail = this.#isTail();
    for (const sample of this.#ownSamples) {
      if (sample.done || sample.attempts.length === 0) continue;
      if (this.#queue.some((waiting) => waiting.sample === sample)) continue;
      candidates.push(toRunningSample(sample, tail, this.#settings.resume));
    }
    const selected = new Set(
      this.#policy.selectStragglers(candidates, this.#nowMs),
    );
    for (const sample of this.#ownSamples) {
      if (!selected.has(sample.key)) continue;
      this.#hedgedAttempts += 1;
      const mostTokens = Math.max(
        ...sample.attempts.map((attempt) => attempt.tokens),
      );
      const firstToken = this.#settings.resume ? Math.floor(mostTokens) : 0;
      const avoid = sample.attempts.map((attempt) => attempt.engine);
      this.#enqueue(sample, { firstToken, avoid });
    }
  }
}

function toRunningSample(
  sample: Sample,
  tail: boolean,
  resume: boolean,
): RunningSample {
  const newest = sample.attempts.at(-1);
  if (newest === undefined) throw new Error("the sample has no attempts");
  let generated = 0;
  for (const attempt of sample.attempts) {
    generated += attempt.tokens - attempt.firstToken;
  }
  return {
    key: sample.key,
    model: MODEL,
    startedAtMs: newest.requestedAtMs,
    firstChunkAtMs: newest.tokens > newest.firstToken ? newest.readyAtMs : null,
    tokens: newest.tokens - newest.firstToken,
    activeAttempts: sample.attempts.length,
    tokensAtRisk: resume ? 0 : generated,
    tail,
  };
}
