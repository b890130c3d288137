/**
 * The continuous batch of a stand-in engine: every sequence runs at once, and the time of a token grows with what
 * runs. Pure: time is passed in.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import { PrefixCache } from "./prefix_cache.ts";
import { type TextSource, tokenRangeText } from "./token_text.ts";

/** How fast an engine is. */
export interface EnginePerformance {
  /** Sequences that run at once before the throughput stops growing. */
  readonly capacity: number;
  /** Time of a token when the sequence runs alone. */
  readonly tokenMs: Milliseconds;
  /** How much longer a token takes at capacity, as a part of `tokenMs`. */
  readonly slowdownAtCapacity: number;
  /** Time to compute one token of a prompt that is not cached. */
  readonly prefillTokenMs: Milliseconds;
  /** Tokens of memory, shared by the running sequences and the prefix cache. */
  readonly cacheTokens: number;
}

/** A sequence to run. */
export interface SequenceRequest {
  readonly requestId: string;
  readonly source: TextSource;
  /** Tokens after which it ends. */
  readonly totalTokens: number;
  readonly finishReason: "stop" | "length";
  /** Tokens already received by the caller. */
  readonly resumedTokens: number;
  /** Whether the state of the tokens so far came with the request. */
  readonly hasState: boolean;
  /** Times that its tokens take longer than those of others. */
  readonly slowFactor: number;
}

/** Tokens that a sequence has made since the last step. */
export interface SequenceChunk {
  readonly requestId: string;
  readonly text: string;
  /** Tokens since the start of the answer, resumed ones included. */
  readonly totalTokens: number;
  readonly version: number;
  readonly finishReason: "stop" | "length" | null;
}

interface Sequence extends SequenceRequest {
  prefillTokens: number;
  generatedTokens: number;
  partialTokens: number;
}

/** The sequences that run on one engine. */
export class EngineBatch {
  readonly #performance: EnginePerformance;
  readonly #cache = new PrefixCache();
  readonly #sequences = new Map<string, Sequence>();
  #lastMs: Milliseconds = 0;

  constructor(performance: EnginePerformance) {
    this.#performance = performance;
  }

  /** Sequences that run. */
  get running(): number {
    return this.#sequences.size;
  }

  /** Sequences beyond the capacity. */
  get waiting(): number {
    return Math.max(0, this.#sequences.size - this.#performance.capacity);
  }

  /** Part of the memory in use, 0 to 1. */
  get cacheUse(): number {
    const used = this.#cache.tokens + this.#runningTokens();
    return Math.min(1, used / this.#performance.cacheTokens);
  }

  /** Admits a sequence, however many run. */
  add(start: SequenceRequest, nowMs: Milliseconds): void {
    if (this.#sequences.size === 0) this.#lastMs = nowMs;
    const room = this.#performance.cacheTokens - this.#runningTokens();
    const prefillTokens = this.#cache.admitPrompt(
      start.source.prompt,
      Math.max(0, room),
    );
    const recomputed = start.hasState ? 0 : start.resumedTokens;
    this.#sequences.set(start.requestId, {
      ...start,
      prefillTokens: start.hasState ? 0 : prefillTokens + recomputed,
      generatedTokens: start.resumedTokens,
      partialTokens: 0,
    });
  }

  /** Takes a sequence out before it ended. */
  remove(requestId: string): void {
    this.#sequences.delete(requestId);
  }

  /** Identifiers of the sequences that run. */
  requestIds(): readonly string[] {
    return [...this.#sequences.keys()];
  }

  /** Tokens that a running sequence has so far; undefined if it does not run. */
  tokenCount(requestId: string): number | undefined {
    return this.#sequences.get(requestId)?.generatedTokens;
  }

  /** Forgets cached prefixes, as a change of weights does. */
  clearPrefixCache(): void {
    this.#cache.clear();
  }

  /** Runs until `nowMs` with one version and gives what was made. */
  advance(nowMs: Milliseconds, version: number): readonly SequenceChunk[] {
    const elapsedMs = Math.max(0, nowMs - this.#lastMs);
    this.#lastMs = nowMs;
    const tokenMs = this.#currentTokenMs();
    const chunks: SequenceChunk[] = [];
    for (const sequence of this.#sequences.values()) {
      const chunk = this.#advanceSequence(sequence, {
        elapsedMs,
        tokenMs,
        version,
      });
      if (chunk === undefined) continue;
      chunks.push(chunk);
      if (chunk.finishReason !== null) this.remove(sequence.requestId);
    }
    return chunks;
  }

  #advanceSequence(
    sequence: Sequence,
    step: {
      readonly elapsedMs: Milliseconds;
      readonly tokenMs: Milliseconds;
      readonly version: number;
    },
  ): SequenceChunk | undefined {
    let remainingMs = step.elapsedMs;
    const crowding = Math.max(1, this.running / this.#performance.capacity);
    const prefillMs = this.#performance.prefillTokenMs * crowding;
    const prefillNeededMs = sequence.prefillTokens * prefillMs;
    const spentMs = Math.min(remainingMs, prefillNeededMs);
    if (prefillMs > 0) sequence.prefillTokens -= spentMs / prefillMs;
    remainingMs -= spentMs;
    sequence.partialTokens += remainingMs /
      (step.tokenMs * sequence.slowFactor);
    const from = sequence.generatedTokens;
    const to = Math.min(
      sequence.totalTokens,
      from + Math.floor(sequence.partialTokens),
    );
    if (to === from && to < sequence.totalTokens) return undefined;
    sequence.partialTokens -= to - from;
    sequence.generatedTokens = to;
    return {
      requestId: sequence.requestId,
      text: tokenRangeText(sequence.source, {
        version: step.version,
        from,
        to,
      }),
      totalTokens: to,
      version: step.version,
      finishReason: to >= sequence.totalTokens ? sequence.finishReason : null,
    };
  }

  #currentTokenMs(): Milliseconds {
    const load = this.running / this.#performance.capacity;
    const slowdown = 1 +
      this.#performance.slowdownAtCapacity * Math.min(1, load);
    return this.#performance.tokenMs * slowdown * Math.max(1, load);
  }

  #runningTokens(): number {
    let tokens = 0;
    for (const sequence of this.#sequences.values()) {
      tokens += sequence.generatedTokens;
    }
    return tokens;
  }
}
