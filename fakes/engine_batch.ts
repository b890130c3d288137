/**
 * The continuous batch of a fake engine: all sequences run concurrently, and the time per token grows with
 * their number. Has no I/O or clock: the caller passes the time.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import { PrefixCache } from "./prefix_cache.ts";
import { type TextSource, tokenRangeText } from "./token_text.ts";

/** Speed and memory of an engine. */
export interface EnginePerformance {
  /** Number of concurrent sequences at which the throughput stops growing. */
  readonly capacity: number;
  /** Time per token of a sequence that runs alone. */
  readonly tokenMs: Milliseconds;
  /** Additional time per token at capacity, as a fraction of `tokenMs`. */
  readonly slowdownAtCapacity: number;
  /** Time to compute one prompt token that is not cached. */
  readonly prefillTokenMs: Milliseconds;
  /** Memory in tokens, shared by the running sequences and the prefix cache. */
  readonly cacheTokens: number;
}

/** A sequence to add to the batch. */
export interface SequenceRequest {
  readonly requestId: string;
  readonly source: TextSource;
  /** Number of tokens after which the sequence ends. */
  readonly totalTokens: number;
  readonly finishReason: "stop" | "length";
  /** Number of tokens that the caller has already received. */
  readonly resumedTokens: number;
  /** Whether the request includes the KV state of the prompt and the resumed tokens. */
  readonly hasState: boolean;
  /** Factor by which its tokens take longer than those of other sequences. */
  readonly slowFactor: number;
}

/** The tokens that a sequence generated since the batch was last advanced. */
export interface SequenceChunk {
  readonly requestId: string;
  readonly text: string;
  /** Number of tokens since the start of the completion, including resumed ones. */
  readonly totalTokens: number;
  readonly version: number;
  readonly finishReason: "stop" | "length" | null;
}

interface Sequence extends SequenceRequest {
  prefillTokens: number;
  generatedTokens: number;
  partialTokens: number;
}

/** The running sequences of one engine. */
export class EngineBatch {
  readonly #performance: EnginePerformance;
  readonly #cache = new PrefixCache();
  readonly #sequences = new Map<string, Sequence>();
  #lastMs: Milliseconds = 0;

  constructor(performance: EnginePerformance) {
    this.#performance = performance;
  }

  /** Number of running sequences. */
  get running(): number {
    return this.#sequences.size;
  }

  /** Number of sequences above the capacity. */
  get waiting(): number {
    return Math.max(0, this.#sequences.size - this.#performance.capacity);
  }

  /** Fraction of the memory in use, 0 to 1. */
  get cacheUse(): number {
    const used = this.#cache.tokens + this.#runningTokens();
    return Math.min(1, used / this.#performance.cacheTokens);
  }

  /** Adds a sequence, regardless of how many are running. */
  add(start: SequenceRequest, nowMs: Milliseconds): void {
    if (this.#sequences.size === 0) this.#lastMs = nowMs;
    const freeTokens = this.#performance.cacheTokens - this.#runningTokens();
    const prefillTokens = this.#cache.admitPrompt(
      start.source.prompt,
      Math.max(0, freeTokens),
    );
    const recomputed = start.hasState ? 0 : start.resumedTokens;
    this.#sequences.set(start.requestId, {
      ...start,
      prefillTokens: start.hasState ? 0 : prefillTokens + recomputed,
      generatedTokens: start.resumedTokens,
      partialTokens: 0,
    });
  }

  /** Removes a sequence, whether or not it has ended. */
  remove(requestId: string): void {
    this.#sequences.delete(requestId);
  }

  /** Returns the request identifiers of the running sequences. */
  requestIds(): readonly string[] {
    return [...this.#sequences.keys()];
  }

  /** Returns the number of tokens of a running sequence; undefined if it is not running. */
  tokenCount(requestId: string): number | undefined {
    return this.#sequences.get(requestId)?.generatedTokens;
  }

  /** Clears the prefix cache, as a change of weights does. */
  clearPrefixCache(): void {
    this.#cache.clear();
  }

  /** Runs the batch until `nowMs` with one version and returns the generated chunks. */
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
    const overloadFactor = Math.max(
      1,
      this.running / this.#performance.capacity,
    );
    const prefillMs = this.#performance.prefillTokenMs * overloadFactor;
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
