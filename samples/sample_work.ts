/**
 * One sample: a run on an engine, a second one if the first is slow, and again until an answer names
 * its versions and is within the bound.
 *
 * @module
 */
import { createHash } from "node:crypto";
import {
  type Clock,
  type CompletionAnswer,
  type CompletionChunk,
  type CompletionPort,
  type EventLog,
  type Failure,
  type Milliseconds,
  Ok,
  type PartialAnswer,
  type RandomSource,
  type Result,
  type TrainerEntry,
  type UpstreamRecord,
} from "#core";
import type { EngineWitness } from "./engine_witness.ts";
import { SAMPLES_EVENTS } from "./events.ts";
import { type LeasedGroup, oldestVersion } from "./ledger_types.ts";
import {
  appendChunk,
  coversAllTokens,
  EMPTY_PARTIAL_ANSWER,
  oldestVersionOf,
} from "./partial_answers.ts";
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
  /** Engines by identifier. */
  readonly upstreams: () => ReadonlyMap<string, UpstreamRecord>;
  /** Versions of engines that don't name them, or null if such engines aren't read. */
  readonly witness: EngineWitness | null;
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
  /** Run whose beginning this one went on with, and that beginning. */
  readonly source: Attempt | null;
  readonly resumed: PartialAnswer;
  /** Beginning of the answer so far, or null once a chunk named no version. */
  made: PartialAnswer | null;
  firstChunkAtMs: Milliseconds | null;
  /** Tokens made by this run itself. */
  tokens: number;
  oldest: number;
  /** Engines that gave tokens, in order. */
  readonly upstreams: Set<string>;
}

/** Makes one sample. */
export class SampleWork {
  readonly key: string;
  readonly #options: SampleWorkOptions;
  readonly #slot: SampleSlot;
  readonly #attempts = new Set<Attempt>();
  #round = 0;
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

  /** Starts another run on another engine, from the longest beginning made so far. */
  runAgain(): void {
    if (this.#resolve === null) return;
    const avoid: string[] = [];
    let source: Attempt | null = null;
    for (const attempt of this.#attempts) {
      avoid.push(...attempt.upstreams);
      const length = attempt.made?.tokens ?? 0;
      if (length > (source?.made?.tokens ?? 0)) source = attempt;
    }
    this.#launch(avoid, source);
  }

  /** The sample as the straggler policy sees it, or null while no run is on. */
  view(): RunningSample | null {
    if (this.#resolve === null) return null;
    let newest: Attempt | undefined;
    let tokensAtRisk = 0;
    for (const attempt of this.#attempts) {
      newest = attempt;
      tokensAtRisk += attempt.tokens;
    }
    if (newest === undefined) return null;
    const { group } = this.#slot;
    return {
      key: this.key,
      model: group.model,
      startedAtMs: newest.startedAtMs,
      firstChunkAtMs: newest.firstChunkAtMs,
      tokens: newest.tokens,
      activeAttempts: this.#attempts.size,
      tokensAtRisk,
      tail: this.#options.isTail(group.trainer, group.step),
    };
  }

  #runOnce(): Promise<CompletionAnswer | null> {
    this.#round += 1;
    this.#retryAfterMs = 0;
    return new Promise((resolve) => {
      this.#resolve = resolve;
      this.#launch([], null);
    });
  }

  #launch(avoid: readonly string[], source: Attempt | null): void {
    const resumed = source?.made ?? EMPTY_PARTIAL_ANSWER;
    const attempt: Attempt = {
      source,
      resumed,
      made: resumed,
      controller: new AbortController(),
      startedAtMs: this.#options.clock.nowMs(),
      firstChunkAtMs: null,
      tokens: 0,
      oldest: oldestVersionOf(resumed),
      upstreams: new Set(),
    };
    this.#attempts.add(attempt);
    void this.#call(attempt, avoid);
  }

  async #call(attempt: Attempt, avoid: readonly string[]): Promise<void> {
    const { group, trainer } = this.#slot;
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
      ...(attempt.resumed.tokens === 0 ? {} : { resume: attempt.resumed }),
    });
    if (!this.#attempts.has(attempt)) return;
    const told = await this.#withVersions(attempt, result);
    if (this.#attempts.has(attempt)) this.#ended(attempt, told);
  }

  /** Finds the version of an answer that one engine made without naming it. */
  async #withVersions(
    attempt: Attempt,
    result: Result<CompletionAnswer, Failure>,
  ): Promise<Result<CompletionAnswer, Failure>> {
    if (result.err || result.val.runs !== null) return result;
    attempt.upstreams.add(result.val.upstream);
    const { upstreams, witness } = this.#options;
    const record = upstreams().get(result.val.upstream);
    const alone = attempt.upstreams.size === 1;
    if (witness === null || record === undefined || !alone) return result;
    const version = await witness.versionSince(
      record,
      this.#slot.group.model,
      attempt.startedAtMs,
    );
    if (version === null) return result;
    const { tokens } = result.val;
    return Ok({ ...result.val, runs: [{ version, tokens }] });
  }

  #progress(attempt: Attempt, chunk: CompletionChunk): void {
    attempt.firstChunkAtMs ??= this.#options.clock.nowMs();
    attempt.tokens += chunk.tokens;
    attempt.upstreams.add(chunk.upstream);
    attempt.made = appendChunk(attempt.made, chunk);
    if (chunk.version === null) return;
    attempt.oldest = Math.min(attempt.oldest, chunk.version);
  }

  #ended(
    attempt: Attempt,
    result: Result<CompletionAnswer, Failure>,
  ): void {
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
    if (!coversAllTokens(answer)) {
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

  /** Ends a run; tokens that the winner went on with are not wasted. */
  #drop(attempt: Attempt, winner: Attempt | null = null): void {
    this.#attempts.delete(attempt);
    const used = winner === null
      ? 0
      : winner.resumed.tokens - attempt.resumed.tokens;
    this.#options.policy.recordWasted(attempt.tokens - used);
    if (used > 0) this.#options.policy.recordReused(used);
    attempt.controller.abort();
  }

  #finish(winner: Attempt | null, answer: CompletionAnswer | null): void {
    const resolve = this.#resolve;
    if (resolve === null) return;
    this.#resolve = null;
    if (winner !== null && answer !== null) this.#record(winner);
    for (const attempt of this.#attempts) {
      this.#drop(attempt, winner?.source === attempt ? winner : null);
    }
    resolve(answer);
  }

  #record(winner: Attempt): void {
    this.#attempts.delete(winner);
    const nowMs = this.#options.clock.nowMs();
    const firstMs = winner.firstChunkAtMs ?? nowMs;
    this.#options.policy.recordFinished({
      model: this.#slot.group.model,
      tokens: winner.tokens,
      waitedMs: firstMs - winner.startedAtMs,
      generatedMs: nowMs - firstMs,
    });
  }

  #delayMs(): Milliseconds {
    const delayMs = retryDelayMs(this.#round - 1, this.#options.random);
    return Math.max(delayMs, this.#retryAfterMs);
  }
}

function seedOf(key: string): number {
  return createHash("sha256").update(key).digest().readUInt32BE(0);
}
