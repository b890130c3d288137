/**
 * One sample: a run on an engine, a second one if the first is slow, and again until an answer names
 * its versions and is within the bound.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type {
  Clock,
  CompletionAnswer,
  CompletionChunk,
  CompletionPort,
  EventLog,
  Failure,
  Milliseconds,
  RandomSource,
  Result,
  TrainerEntry,
} from "#core";
import { SAMPLES_EVENTS } from "./events.ts";
import { type LeasedGroup, oldestVersion } from "./ledger_types.ts";
import { retryDelayMs } from "./retry_delay.ts";
import type { RunningSample, StragglerPolicy } from "./straggler_policy.ts";

/** Shortest time that a run is given, however near the step's deadline is. */
const SHORTEST_RUN_MS: Milliseconds = 120_000;

/** What the work on samples of an entry is built from. */
export interface SampleWorkOptions {
  readonly completions: CompletionPort;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly policy: StragglerPolicy;
  /** Newest published version of a model, or null before the first. */
  readonly newest: (model: string) => number | null;
  /** Whether nothing of the step is left to be started. */
  readonly isTail: (trainer: string, step: number) => boolean;
}

/** Names one sample. */
export interface SampleSlot {
  readonly group: LeasedGroup;
  readonly index: number;
  readonly trainer: TrainerEntry;
}

interface Attempt {
  readonly controller: AbortController;
  readonly startedAtMs: Milliseconds;
  firstChunkAtMs: Milliseconds | null;
  tokens: number;
  oldest: number;
  upstream: string | null;
}

/** Makes one sample. */
export class SampleWork {
  readonly key: string;
  readonly #options: SampleWorkOptions;
  readonly #slot: SampleSlot;
  readonly #attempts = new Set<Attempt>();
  #round = 0;
  #doubled = false;
  #retryAfterMs: Milliseconds = 0;
  #resolve: ((answer: CompletionAnswer | null) => void) | null = null;

  constructor(options: SampleWorkOptions, slot: SampleSlot) {
    const { trainer, step, group } = slot.group;
    this.key = `${trainer}/${step}/${group}/${slot.index}`;
    this.#options = options;
    this.#slot = slot;
  }

  /** Gives a usable answer, or null if the signal ends the work. */
  async make(signal: AbortSignal): Promise<CompletionAnswer | null> {
    const end = (): void => this.#finish(null, null);
    signal.addEventListener("abort", end);
    try {
      while (!signal.aborted) {
        const answer = await this.#runOnce();
        if (signal.aborted) return null;
        if (answer !== null) return answer;
        await this.#options.clock.sleep(this.#delayMs());
      }
      return null;
    } finally {
      signal.removeEventListener("abort", end);
    }
  }

  /** Whether the answer may still be handed over, as far as this entry knows. */
  isFresh(answer: CompletionAnswer): boolean {
    const newest = this.#options.newest(this.#slot.group.model);
    if (newest === null || answer.runs === null) return true;
    return oldestVersion(answer.runs) >= newest - this.#slot.group.bound;
  }

  /** Ends runs that have tokens of a version that is now too old. */
  endTooOld(): void {
    const newest = this.#options.newest(this.#slot.group.model);
    if (newest === null) return;
    for (const attempt of this.#attempts) {
      if (attempt.oldest >= newest - this.#slot.group.bound) continue;
      this.#drop(attempt);
    }
    if (this.#attempts.size === 0) this.#finish(null, null);
  }

  /** Starts a second run on another engine. */
  double(): void {
    if (this.#doubled || this.#resolve === null) return;
    this.#doubled = true;
    const avoid: string[] = [];
    for (const attempt of this.#attempts) {
      if (attempt.upstream !== null) avoid.push(attempt.upstream);
    }
    this.#launch(avoid);
  }

  /** The sample as the straggler policy sees it, or null while no run is on. */
  view(): RunningSample | null {
    if (this.#resolve === null) return null;
    const first = this.#attempts.values().next().value;
    if (first === undefined) return null;
    const { group } = this.#slot;
    return {
      key: this.key,
      model: group.model,
      startedAtMs: first.startedAtMs,
      firstChunkAtMs: first.firstChunkAtMs,
      tokens: first.tokens,
      maximumTokens: group.maximumTokens,
      doubled: this.#doubled,
      tail: this.#options.isTail(group.trainer, group.step),
    };
  }

  #runOnce(): Promise<CompletionAnswer | null> {
    this.#round += 1;
    this.#doubled = false;
    this.#retryAfterMs = 0;
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#launch([]);
    });
  }

  #launch(avoid: readonly string[]): void {
    const attempt: Attempt = {
      controller: new AbortController(),
      startedAtMs: this.#options.clock.nowMs(),
      firstChunkAtMs: null,
      tokens: 0,
      oldest: Number.MAX_SAFE_INTEGER,
      upstream: null,
    };
    this.#attempts.add(attempt);
    void this.#call(attempt, avoid);
  }

  async #call(attempt: Attempt, avoid: readonly string[]): Promise<void> {
    const { group, trainer, index } = this.#slot;
    const nowMs = this.#options.clock.nowMs();
    const leftMs = group.deadlineAtMs - this.#options.clock.wallMs();
    const newest = this.#options.newest(group.model);
    const result = await this.#options.completions.complete({
      requestId: `${this.key}/${this.#options.random.identifier()}`,
      tenant: trainer.tenant,
      class: trainer.class,
      trainer: trainer.name,
      model: group.model,
      prompt: group.prompt,
      maximumTokens: group.maximumTokens,
      seed: seedOf(`${this.key}/${this.#round}`),
      prefixKey: `${group.trainer}/${group.step}/${group.group}`,
      deadlineMs: nowMs + Math.max(SHORTEST_RUN_MS, leftMs),
      minimumVersion: newest === null
        ? null
        : Math.max(0, newest - group.bound),
      urgent: this.#options.isTail(group.trainer, group.step),
      avoid,
    }, {
      onChunk: (chunk) => this.#progress(attempt, chunk),
      signal: attempt.controller.signal,
    });
    if (this.#attempts.has(attempt)) this.#ended(attempt, { index, result });
  }

  #progress(attempt: Attempt, chunk: CompletionChunk): void {
    attempt.firstChunkAtMs ??= this.#options.clock.nowMs();
    attempt.tokens += chunk.tokens;
    attempt.upstream = chunk.upstream;
    if (chunk.version === null) return;
    attempt.oldest = Math.min(attempt.oldest, chunk.version);
  }

  #ended(
    attempt: Attempt,
    ended: {
      readonly index: number;
      readonly result: Result<CompletionAnswer, Failure>;
    },
  ): void {
    const { result } = ended;
    if (result.ok && this.#isUsable(result.val)) {
      this.#finish(attempt, result.val);
      return;
    }
    if (result.err) {
      this.#retryAfterMs = Math.max(
        this.#retryAfterMs,
        result.val.retryAfterMs ?? 0,
      );
    }
    this.#drop(attempt);
    if (this.#attempts.size === 0) this.#finish(null, null);
  }

  #isUsable(answer: CompletionAnswer): boolean {
    if (!namesVersions(answer)) {
      this.#options.events.emit(SAMPLES_EVENTS.versionsUnknown, {
        sample: this.key,
        upstream: answer.upstream,
      });
      return false;
    }
    if (this.isFresh(answer)) return true;
    this.#options.events.emit(SAMPLES_EVENTS.sampleTooOld, {
      sample: this.key,
    });
    return false;
  }

  #drop(attempt: Attempt): void {
    this.#attempts.delete(attempt);
    this.#options.policy.wasted(attempt.tokens);
    attempt.controller.abort();
  }

  #finish(winner: Attempt | null, answer: CompletionAnswer | null): void {
    const resolve = this.#resolve;
    if (resolve === null) return;
    this.#resolve = null;
    if (winner !== null && answer !== null) this.#record(winner, answer);
    for (const attempt of this.#attempts) this.#drop(attempt);
    resolve(answer);
  }

  #record(winner: Attempt, answer: CompletionAnswer): void {
    this.#attempts.delete(winner);
    const nowMs = this.#options.clock.nowMs();
    const firstMs = winner.firstChunkAtMs ?? nowMs;
    this.#options.policy.finished({
      model: this.#slot.group.model,
      tokens: answer.tokens,
      waitedMs: firstMs - winner.startedAtMs,
      generatedMs: nowMs - firstMs,
    });
  }

  #delayMs(): Milliseconds {
    const delayMs = retryDelayMs(this.#round - 1, this.#options.random);
    return Math.max(delayMs, this.#retryAfterMs);
  }
}

/** Whether the runs name a version for each token. */
export function namesVersions(answer: CompletionAnswer): boolean {
  if (answer.runs === null || answer.runs.length === 0) return false;
  let tokens = 0;
  for (const run of answer.runs) tokens += run.tokens;
  return tokens === answer.tokens;
}

function seedOf(key: string): number {
  return createHash("sha256").update(key).digest().readUInt32BE(0);
}
