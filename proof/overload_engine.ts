/**
 * A model of an engine for the overload benchmark, advanced in small steps of virtual time. It has continuous batching,
 * a limited prefix cache and chunked prefill, but no priorities.
 *
 * @module
 */
import type { Milliseconds, UpstreamRecord } from "#core";

/** Number of sequences that decode without slowing each other down. */
export const ENGINE_CAPACITY = 16;
/** Tokens per second of one sequence on an engine that is not overloaded. */
export const DECODE_TOKENS_PER_SECOND = 50;

const MAXIMUM_BATCH_SEQUENCES = 32;
const PRESSURE_BATCH_SEQUENCES = 24;
const RATE_LOSS_PER_PRESSURE_SEQUENCE = 0.015;
const PREFILL_TOKENS_PER_SECOND = 8_000;
const PREFILL_DECODE_RATE_FACTOR = 0.7;
const CACHED_PREFILL_FRACTION = 0.1;
const MAXIMUM_CACHED_PREFIXES = 8;

/** A sequence for an engine to generate. */
export interface EngineWork {
  readonly id: string;
  readonly prefix: string;
  readonly promptTokens: number;
  readonly tokens: number;
  /** Called when the last token has been generated. */
  readonly onComplete: () => void;
}

interface Sequence {
  readonly work: EngineWork;
  remainingPrefillTokens: number;
  generatedTokens: number;
}

/** A model of one engine. */
export class EngineModel {
  readonly id: string;
  readonly zone: string;
  #running: Sequence[] = [];
  #waiting: Sequence[] = [];
  readonly #cache = new Map<string, true>();
  /** Tokens generated, including those of cancelled sequences. */
  generatedTokens = 0;
  /** Tokens generated for sequences that were cancelled later. */
  wastedTokens = 0;

  constructor(id: string, zone: string) {
    this.id = id;
    this.zone = zone;
  }

  /** Number of running and waiting sequences. */
  get load(): { readonly running: number; readonly waiting: number } {
    return { running: this.#running.length, waiting: this.#waiting.length };
  }

  /** Queues a sequence; an engine never rejects one. */
  admit(work: EngineWork): void {
    this.#waiting.push({
      work,
      remainingPrefillTokens: -1,
      generatedTokens: 0,
    });
  }

  /** Cancels a running or waiting sequence. */
  cancel(id: string): void {
    const isOther = (each: Sequence): boolean => each.work.id !== id;
    const sequence = this.#running.find((each) => !isOther(each));
    this.wastedTokens += sequence?.generatedTokens ?? 0;
    this.#running = this.#running.filter(isOther);
    this.#waiting = this.#waiting.filter(isOther);
  }

  /** Advances the engine by `stepMs`. */
  step(stepMs: Milliseconds): void {
    this.#fillBatch();
    const isPrefilling = this.#prefill(stepMs);
    const newTokens = this.#rate(isPrefilling) * stepMs / 1_000;
    const completed: Sequence[] = [];
    for (const sequence of this.#running) {
      if (sequence.remainingPrefillTokens > 0) continue;
      sequence.generatedTokens += newTokens;
      this.generatedTokens += newTokens;
      if (sequence.generatedTokens >= sequence.work.tokens) {
        completed.push(sequence);
      }
    }
    if (completed.length === 0) return;
    this.#running = this.#running.filter((each) => !completed.includes(each));
    for (const sequence of completed) sequence.work.onComplete();
  }

  #fillBatch(): void {
    while (this.#running.length < MAXIMUM_BATCH_SEQUENCES) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      const isCached = this.#markPrefixUsed(next.work.prefix);
      const fraction = isCached ? CACHED_PREFILL_FRACTION : 1;
      next.remainingPrefillTokens = next.work.promptTokens * fraction;
      this.#running.push(next);
    }
  }

  #prefill(stepMs: Milliseconds): boolean {
    let remainingTokens = PREFILL_TOKENS_PER_SECOND * stepMs / 1_000;
    let isPrefilling = false;
    for (const sequence of this.#running) {
      if (sequence.remainingPrefillTokens <= 0) continue;
      isPrefilling = true;
      const prefilledTokens = Math.min(
        remainingTokens,
        sequence.remainingPrefillTokens,
      );
      sequence.remainingPrefillTokens -= prefilledTokens;
      remainingTokens -= prefilledTokens;
      if (remainingTokens <= 0) break;
    }
    return isPrefilling;
  }

  #rate(isPrefilling: boolean): number {
    const batch = Math.max(1, this.#running.length);
    const shared = Math.min(1, ENGINE_CAPACITY / batch);
    const pressure = Math.max(0, batch - PRESSURE_BATCH_SEQUENCES) *
      RATE_LOSS_PER_PRESSURE_SEQUENCE;
    const slowdown = isPrefilling ? PREFILL_DECODE_RATE_FACTOR : 1;
    return DECODE_TOKENS_PER_SECOND * shared * (1 - pressure) * slowdown;
  }

  /** Marks a prefix as the most recently used and returns whether it was in the cache. */
  #markPrefixUsed(prefix: string): boolean {
    const isCached = this.#cache.delete(prefix);
    this.#cache.set(prefix, true);
    if (this.#cache.size > MAXIMUM_CACHED_PREFIXES) {
      const [oldest] = this.#cache.keys();
      if (oldest !== undefined) this.#cache.delete(oldest);
    }
    return isCached;
  }
}

/** Returns the record that the engine announces to the registry. */
export function upstreamRecord(engine: EngineModel): UpstreamRecord {
  return {
    id: engine.id,
    incarnation: 1,
    sequence: 1,
    zone: engine.zone,
    address: { host: "127.0.0.1", port: 1 },
    role: "engine",
    serves: [{ model: "topo", version: 1 }],
    services: [],
    capacity: ENGINE_CAPACITY,
    enforcesFences: true,
    reportsVersions: true,
    leaving: false,
    expiresAtMs: Number.POSITIVE_INFINITY,
  };
}
