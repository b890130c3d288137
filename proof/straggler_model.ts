/**
 * Engines in virtual time for the measurement of stragglers: slots that make tokens, a queue shared
 * with another trainer, and the straggler policy that the entries use.
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
/** Samples of the own step asked for and not done. */
const AHEAD = 1.5 * ENGINES * SLOTS_PER_ENGINE;
/** Samples of the other trainer that always wait. */
const OTHERS_WAITING = 24;
const MODEL = "advice";
const LIMIT_MS: Milliseconds = 600_000;

/** Which measures are on, and what goes wrong. */
export interface StragglerSettings {
  readonly tailPriority: boolean;
  readonly secondRun: boolean;
  readonly resume: boolean;
  /** Part of runs that are slow. */
  readonly slowPart: number;
  /** Whether slow runs become slow at a random point, in place of the start. */
  readonly slowMidway: boolean;
}

/** What one step took. */
export interface StragglerOutcome {
  readonly stepMs: Milliseconds;
  readonly tokens: number;
  readonly wastedTokens: number;
  readonly secondRuns: number;
}

interface Run {
  readonly sample: Sample;
  readonly engine: number;
  readonly askedAtMs: Milliseconds;
  readonly readyAtMs: Milliseconds;
  /** Tokens received from the run before. */
  readonly from: number;
  /** Token after which the run is slow. */
  readonly slowFrom: number;
  /** Tokens of the answer so far, with those received before. */
  tokens: number;
}

interface Sample {
  readonly key: string;
  readonly own: boolean;
  readonly length: number;
  readonly runs: Run[];
  done: boolean;
}

interface Waiting {
  readonly sample: Sample;
  readonly from: number;
  readonly askedAtMs: Milliseconds;
  readonly avoid: readonly number[];
  readonly urgent: boolean;
}

/** Runs one step of a trainer beside another trainer that always has work. */
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
  readonly #free: number[];
  readonly #running = new Set<Run>();
  readonly #own: Sample[] = [];
  #queue: Waiting[] = [];
  #nowMs: Milliseconds = 0;
  #tokens = 0;
  #wasted = 0;
  #secondRuns = 0;
  #others = 0;
  #left = SAMPLES;

  constructor(settings: StragglerSettings, seed: number) {
    this.#settings = settings;
    this.#random = new SeededRandom(seed);
    this.#free = Array.from({ length: ENGINES }, () => SLOTS_PER_ENGINE);
  }

  run(): StragglerOutcome {
    while (this.#left > 0 && this.#nowMs < LIMIT_MS) {
      this.#askOwn();
      this.#dispatch();
      this.#nowMs += STEP_MS;
      for (const run of this.#running) this.#advance(run);
      const due = this.#nowMs % POLICY_PERIOD_MS === 0;
      if (due && this.#settings.secondRun) this.#runStragglersAgain();
    }
    return {
      stepMs: this.#nowMs,
      tokens: this.#tokens,
      wastedTokens: this.#wasted,
      secondRuns: this.#secondRuns,
    };
  }

  /** Keeps as much asked for as an entry leases ahead. */
  #askOwn(): void {
    while (this.#own.length < SAMPLES) {
      const open = this.#own.length - (SAMPLES - this.#left);
      if (open >= AHEAD) return;
      const sample = this.#makeSample(`own/${this.#own.length}`, true);
      this.#own.push(sample);
      this.#ask(sample, { from: 0, avoid: [] });
    }
  }

  #makeSample(key: string, own: boolean): Sample {
    const spread = LONGEST_TOKENS - SHORTEST_TOKENS;
    const length = SHORTEST_TOKENS + this.#random.below(spread + 1);
    return { key, own, length, runs: [], done: false };
  }

  #ask(
    sample: Sample,
    options: { readonly from: number; readonly avoid: readonly number[] },
  ): void {
    const isTail = this.#isTail();
    const urgent = this.#settings.tailPriority && sample.own && isTail;
    this.#queue.push({ sample, askedAtMs: this.#nowMs, urgent, ...options });
  }

  /** Whether no sample of the own step is left to be asked for. */
  #isTail(): boolean {
    return this.#own.length === SAMPLES;
  }

  /** Fills free slots: urgent work first, then the trainer with fewer runs. */
  #dispatch(): void {
    this.#queue = this.#queue.filter((waiting) => !waiting.sample.done);
    for (;;) {
      if (this.#free.every((slots) => slots === 0)) return;
      this.#fillOther();
      const next = this.#next();
      if (next === undefined) return;
      const engine = this.#engineFor(next.avoid);
      if (engine === undefined) return;
      this.#queue.splice(this.#queue.indexOf(next), 1);
      this.#begin(next, engine);
    }
  }

  #fillOther(): void {
    let waiting = 0;
    for (const entry of this.#queue) waiting += entry.sample.own ? 0 : 1;
    for (; waiting < OTHERS_WAITING; waiting += 1) {
      this.#others += 1;
      const sample = this.#makeSample(`other/${this.#others}`, false);
      this.#ask(sample, { from: 0, avoid: [] });
    }
  }

  #next(): Waiting | undefined {
    const urgent = this.#queue.find((waiting) => waiting.urgent);
    if (urgent !== undefined) return urgent;
    let own = 0;
    for (const run of this.#running) own += run.sample.own ? 1 : 0;
    const ownFirst = own * 2 <= this.#running.size;
    return this.#queue.find((waiting) => waiting.sample.own === ownFirst) ??
      this.#queue[0];
  }

  #engineFor(avoid: readonly number[]): number | undefined {
    let best: number | undefined;
    for (const [engine, slots] of this.#free.entries()) {
      if (slots === 0 || avoid.includes(engine)) continue;
      if (best === undefined || slots > (this.#free[best] ?? 0)) best = engine;
    }
    return best;
  }

  #begin(waiting: Waiting, engine: number): void {
    const { sample, from, askedAtMs } = waiting;
    this.#free[engine] = (this.#free[engine] ?? 0) - 1;
    const isSlow = this.#random.fraction() < this.#settings.slowPart;
    const slowFrom = this.#settings.slowMidway
      ? this.#random.below(sample.length)
      : 0;
    const run = {
      sample,
      engine,
      askedAtMs,
      readyAtMs: this.#nowMs + PREFILL_MS,
      from,
      slowFrom: isSlow ? Math.max(from, slowFrom) : Number.MAX_SAFE_INTEGER,
      tokens: from,
    };
    sample.runs.push(run);
    this.#running.add(run);
  }

  #advance(run: Run): void {
    if (this.#nowMs <= run.readyAtMs) return;
    const isSlow = run.tokens >= run.slowFrom;
    run.tokens += STEP_MS / (isSlow ? TOKEN_MS * SLOW_FACTOR : TOKEN_MS);
    if (run.tokens < run.sample.length) return;
    this.#finish(run);
  }

  #finish(winner: Run): void {
    const { sample } = winner;
    sample.done = true;
    if (sample.own) this.#left -= 1;
    this.#policy.recordFinished({
      model: MODEL,
      tokens: sample.length - winner.from,
      waitedMs: winner.readyAtMs - winner.askedAtMs,
      generatedMs: this.#nowMs - winner.readyAtMs,
    });
    for (const run of sample.runs) {
      this.#running.delete(run);
      this.#free[run.engine] = (this.#free[run.engine] ?? 0) + 1;
      this.#count(run, winner);
    }
  }

  /** Tokens of a loser are wasted, but for those that the winner went on from. */
  #count(run: Run, winner: Run): void {
    if (!run.sample.own) return;
    const made = Math.min(run.tokens, run.sample.length) - run.from;
    this.#tokens += made;
    if (run === winner) return;
    const kept = Math.max(0, Math.min(winner.from, run.tokens) - run.from);
    const wasted = Math.max(0, made - kept);
    this.#wasted += wasted;
    this.#policy.recordWasted(wasted);
  }

  #runStragglersAgain(): void {
    const views: RunningSample[] = [];
    const tail = this.#isTail();
    for (const sample of this.#own) {
      if (sample.done || sample.runs.length === 0) continue;
      if (this.#queue.some((waiting) => waiting.sample === sample)) continue;
      views.push(viewOf(sample, tail, this.#settings.resume));
    }
    const chosen = new Set(this.#policy.selectStragglers(views, this.#nowMs));
    for (const sample of this.#own) {
      if (!chosen.has(sample.key)) continue;
      this.#secondRuns += 1;
      const most = Math.max(...sample.runs.map((run) => run.tokens));
      const from = this.#settings.resume ? Math.floor(most) : 0;
      const avoid = sample.runs.map((run) => run.engine);
      this.#ask(sample, { from, avoid });
    }
  }
}

function viewOf(
  sample: Sample,
  tail: boolean,
  resume: boolean,
): RunningSample {
  const newest = sample.runs.at(-1);
  if (newest === undefined) throw new Error("a sample without runs");
  let made = 0;
  for (const run of sample.runs) made += run.tokens - run.from;
  return {
    key: sample.key,
    model: MODEL,
    startedAtMs: newest.askedAtMs,
    firstChunkAtMs: newest.tokens > newest.from ? newest.readyAtMs : null,
    tokens: newest.tokens - newest.from,
    activeAttempts: sample.runs.length,
    tokensAtRisk: resume ? 0 : made,
    tail,
  };
}
