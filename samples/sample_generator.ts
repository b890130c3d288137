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
import type { EngineVersionTracker } from "./engine_version_tracker.ts";
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
const MINIMUM_ATTEMPT_TIMEOUT_MS: Milliseconds = 120_000;

/** What the work on samples of an entry is built from. */
export interface SampleGeneratorOptions {
  readonly completions: CompletionPort;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly policy: StragglerPolicy;
  /** Engines by identifier. */
  readonly upstreams: () => ReadonlyMap<string, UpstreamRecord>;
  /** Versions of engines that don't name them, or null if such engines aren't read. */
  readonly versionTracker: EngineVersionTracker | null;
  /** Newest published version of a model, or null before the first. */
  readonly latestVersion: (model: string) => number | null;
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
  readonly resumedFrom: Attempt | null;
  readonly resumedPrefix: PartialAnswer;
  /** Beginning of the answer so far, or null once a chunk named no version. */
  partial: PartialAnswer | null;
  firstChunkAtMs: Milliseconds | null;
  /** Tokens made by this run itself. */
  generatedTokens: number;
  oldestVersion: number;
  /** Engines that gave tokens, in order. */
  readonly upstreams: Set<string>;
}

/** Makes one sample. */
export class SampleGenerator {
  readonly key: string;
  readonly #options: SampleGeneratorOptions;
  readonly #slot: SampleSlot;
  readonly #attempts = new Set<Attempt>();
  #round = 0;
  #retryAfterMs: Milliseconds = 0;
  #resolveRound: ((answer: CompletionAnswer | null) => void) | null = null;

  constructor(options: SampleGeneratorOptions, slot: SampleSlot) {
    const { trainer, step, group } = slot.group;
    this.key = `${trainer}/${step}/${group}/${slot.index}`;
    this.#options = options;
    this.#slot = slot;
  }

  /** Gives a usable answer, or null if the signal ends the work. */
  async generate(signal: AbortSignal): Promise<CompletionAnswer | null> {
    const onAbort = (): void => this.#finishRound(null, null);
    signal.addEventListener("abort", onAbort);
    try {
      while (!signal.aborted) {
        const answer = await this.#runRound();
        if (signal.aborted) return null;
        if (answer !== null) return answer;
        await this.#options.clock.sleep(this.#retryDelayMs());
      }
      return null;
    } finally {
      signal.removeEventListener("abort", onAbort);
    }
  }

  /** Whether the answer may still be handed over, as far as this entry knows. */
  isWithinBound(answer: CompletionAnswer): boolean {
    const latest = this.#options.latestVersion(this.#slot.group.model);
    if (latest === null || answer.runs === null) return true;
    return oldestVersion(answer.runs) >= latest - this.#slot.group.bound;
  }

  /** Ends runs that have tokens of a version that is now too old. */
  cancelStaleAttempts(): void {
    const latest = this.#options.latestVersion(this.#slot.group.model);
    if (latest === null) return;
    for (const attempt of this.#attempts) {
      if (attempt.oldestVersion >= latest - this.#slot.group.bound) continue;
      this.#cancelAttempt(attempt);
    }
    if (this.#attempts.size === 0) this.#finishRound(null, null);
  }

  /** Starts another run on another engine, from the longest beginning made so far. */
  startHedgedAttempt(): void {
    if (this.#resolveRound === null) return;
    const avoid: string[] = [];
    let longest: Attempt | null = null;
    for (const attempt of this.#attempts) {
      avoid.push(...attempt.upstreams);
      const length = attempt.partial?.tokens ?? 0;
      if (length > (longest?.partial?.tokens ?? 0)) longest = attempt;
    }
    this.#startAttempt(avoid, longest);
  }

  /** The sample as the straggler policy sees it, or null while no run is on. */
  snapshot(): RunningSample | null {
    if (this.#resolveRound === null) return null;
    let newest: Attempt | undefined;
    let tokensAtRisk = 0;
    for (const attempt of this.#attempts) {
      newest = attempt;
      tokensAtRisk += attempt.generatedTokens;
    }
    if (newest === undefined) return null;
    const { group } = this.#slot;
    return {
      key: this.key,
      model: group.model,
      startedAtMs: newest.startedAtMs,
      firstChunkAtMs: newest.firstChunkAtMs,
      tokens: newest.generatedTokens,
      activeAttempts: this.#attempts.size,
      tokensAtRisk,
      tail: this.#options.isTail(group.trainer, group.step),
    };
  }

  #runRound(): Promise<CompletionAnswer | null> {
    this.#round += 1;
    this.#retryAfterMs = 0;
    return new Promise((resolve) => {
      this.#resolveRound = resolve;
      this.#startAttempt([], null);
    });
  }

  #startAttempt(avoid: readonly string[], source: Attempt | null): void {
    const resumed = source?.partial ?? EMPTY_PARTIAL_ANSWER;
    const attempt: Attempt = {
      resumedFrom: source,
      resumedPrefix: resumed,
      partial: resumed,
      controller: new AbortController(),
      startedAtMs: this.#options.clock.nowMs(),
      firstChunkAtMs: null,
      generatedTokens: 0,
      oldestVersion: oldestVersionOf(resumed),
      upstreams: new Set(),
    };
    this.#attempts.add(attempt);
    void this.#runAttempt(attempt, avoid);
  }

  async #runAttempt(attempt: Attempt, avoid: readonly string[]): Promise<void> {
    const { group, trainer } = this.#slot;
    const nowMs = this.#options.clock.nowMs();
    const leftMs = group.deadlineAtMs - this.#options.clock.wallMs();
    const latest = this.#options.latestVersion(group.model);
    const result = await this.#options.completions.complete({
      requestId: `${this.key}/${this.#options.random.identifier()}`,
      tenant: trainer.tenant,
      class: trainer.class,
      trainer: trainer.name,
      model: group.model,
      prompt: group.prompt,
      maximumTokens: group.maximumTokens,
      seed: deriveSeed(`${this.key}/${this.#round}`),
      prefixKey: `${group.trainer}/${group.step}/${group.group}`,
      deadlineMs: nowMs + Math.max(MINIMUM_ATTEMPT_TIMEOUT_MS, leftMs),
      minimumVersion: latest === null
        ? null
        : Math.max(0, latest - group.bound),
      urgent: this.#options.isTail(group.trainer, group.step),
      avoid,
    }, {
      onChunk: (chunk) => this.#recordChunk(attempt, chunk),
      signal: attempt.controller.signal,
      ...(attempt.resumedPrefix.tokens === 0
        ? {}
        : { resume: attempt.resumedPrefix }),
    });
    if (!this.#attempts.has(attempt)) return;
    const versioned = await this.#resolveVersions(attempt, result);
    if (this.#attempts.has(attempt)) this.#handleResult(attempt, versioned);
  }

  /** Finds the version of an answer that one engine made without naming it. */
  async #resolveVersions(
    attempt: Attempt,
    result: Result<CompletionAnswer, Failure>,
  ): Promise<Result<CompletionAnswer, Failure>> {
    if (result.err || result.val.runs !== null) return result;
    attempt.upstreams.add(result.val.upstream);
    const { upstreams, versionTracker: witness } = this.#options;
    const record = upstreams().get(result.val.upstream);
    const alone = attempt.upstreams.size === 1;
    if (witness === null || record === undefined || !alone) return result;
    const version = await witness.unchangedVersionSince(
      record,
      this.#slot.group.model,
      attempt.startedAtMs,
    );
    if (version === null) return result;
    const { tokens } = result.val;
    return Ok({ ...result.val, runs: [{ version, tokens }] });
  }

  #recordChunk(attempt: Attempt, chunk: CompletionChunk): void {
    attempt.firstChunkAtMs ??= this.#options.clock.nowMs();
    attempt.generatedTokens += chunk.tokens;
    attempt.upstreams.add(chunk.upstream);
    attempt.partial = appendChunk(attempt.partial, chunk);
    if (chunk.version === null) return;
    attempt.oldestVersion = Math.min(attempt.oldestVersion, chunk.version);
  }

  #handleResult(
    attempt: Attempt,
    result: Result<CompletionAnswer, Failure>,
  ): void {
    if (result.ok && this.#isUsable(result.val)) {
      this.#finishRound(attempt, result.val);
      return;
    }
    if (result.err) {
      this.#retryAfterMs = Math.max(
        this.#retryAfterMs,
        result.val.retryAfterMs ?? 0,
      );
    }
    this.#cancelAttempt(attempt);
    if (this.#attempts.size === 0) this.#finishRound(null, null);
  }

  #isUsable(answer: CompletionAnswer): boolean {
    if (!coversAllTokens(answer)) {
      this.#options.events.emit(SAMPLES_EVENTS.versionsUnknown, {
        sample: this.key,
        upstream: answer.upstream,
      });
      return false;
    }
    if (this.isWithinBound(answer)) return true;
    this.#options.events.emit(SAMPLES_EVENTS.sampleTooOld, {
      sample: this.key,
    });
    return false;
  }

  /** Ends a run; tokens that the winner went on with are not wasted. */
  #cancelAttempt(attempt: Attempt, winner: Attempt | null = null): void {
    this.#attempts.delete(attempt);
    const reusedTokens = winner === null
      ? 0
      : winner.resumedPrefix.tokens - attempt.resumedPrefix.tokens;
    this.#options.policy.recordWasted(attempt.generatedTokens - reusedTokens);
    if (reusedTokens > 0) this.#options.policy.recordReused(reusedTokens);
    attempt.controller.abort();
  }

  #finishRound(winner: Attempt | null, answer: CompletionAnswer | null): void {
    const resolve = this.#resolveRound;
    if (resolve === null) return;
    this.#resolveRound = null;
    if (winner !== null && answer !== null) this.#recordWinner(winner);
    for (const attempt of this.#attempts) {
      this.#cancelAttempt(
        attempt,
        winner?.resumedFrom === attempt ? winner : null,
      );
    }
    resolve(answer);
  }

  #recordWinner(winner: Attempt): void {
    this.#attempts.delete(winner);
    const nowMs = this.#options.clock.nowMs();
    const firstChunkAtMs = winner.firstChunkAtMs ?? nowMs;
    this.#options.policy.recordFinished({
      model: this.#slot.group.model,
      tokens: winner.generatedTokens,
      waitedMs: firstChunkAtMs - winner.startedAtMs,
      generatedMs: nowMs - firstChunkAtMs,
    });
  }

  #retryDelayMs(): Milliseconds {
    const delayMs = retryDelayMs(this.#round - 1, this.#options.random);
    return Math.max(delayMs, this.#retryAfterMs);
  }
}

function deriveSeed(key: string): number {
  return createHash("sha256").update(key).digest().readUInt32BE(0);
}
