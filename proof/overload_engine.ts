/**
 * A model of an engine for the overload benchmark, advanced in small steps of virtual time: continuous
 * batching, a limited prefix cache, chunked prefill, no priorities.
 *
 * @module
 */
import type { Milliseconds, UpstreamRecord } from "#core";

/** Sequences that decode without slowing each other down. */
export const ENGINE_CAPACITY = 16;
/** Tokens a second of one sequence on an engine that is not overloaded. */
export const TOKENS_PER_SECOND = 50;

const MAXIMUM_BATCH = 32;
const PRESSURE_BATCH = 24;
const PRESSURE_LOSS = 0.015;
const PREFILL_PER_SECOND = 8_000;
const PREFILL_SLOWDOWN = 0.7;
const CACHED_PREFILL_PART = 0.1;
const CACHED_PREFIXES = 8;

/** A sequence on an engine. */
export interface EngineWork {
  readonly id: string;
  readonly prefix: string;
  readonly promptTokens: number;
  readonly tokens: number;
  /** Called when the last token is made. */
  readonly onWhole: () => void;
}

interface Sequence {
  readonly work: EngineWork;
  prefillLeft: number;
  made: number;
}

/** One engine. */
export class EngineModel {
  readonly id: string;
  readonly zone: string;
  #running: Sequence[] = [];
  #waiting: Sequence[] = [];
  readonly #cache = new Map<string, true>();
  /** Tokens made, also those of sequences that were cancelled. */
  madeTokens = 0;
  /** Tokens of sequences that were cancelled. */
  wastedTokens = 0;

  constructor(id: string, zone: string) {
    this.id = id;
    this.zone = zone;
  }

  /** Load as it is now. */
  get load(): { readonly running: number; readonly waiting: number } {
    return { running: this.#running.length, waiting: this.#waiting.length };
  }

  /** Takes a sequence; an engine refuses none. */
  admit(work: EngineWork): void {
    this.#waiting.push({ work, prefillLeft: -1, made: 0 });
  }

  /** Ends a sequence early. */
  cancel(id: string): void {
    const isOther = (each: Sequence): boolean => each.work.id !== id;
    const sequence = this.#running.find((each) => !isOther(each));
    this.wastedTokens += sequence?.made ?? 0;
    this.#running = this.#running.filter(isOther);
    this.#waiting = this.#waiting.filter(isOther);
  }

  /** Advances by a step. */
  step(stepMs: Milliseconds): void {
    this.#fillBatch();
    const isPrefilling = this.#prefill(stepMs);
    const made = this.#rate(isPrefilling) * stepMs / 1_000;
    const whole: Sequence[] = [];
    for (const sequence of this.#running) {
      if (sequence.prefillLeft > 0) continue;
      sequence.made += made;
      this.madeTokens += made;
      if (sequence.made >= sequence.work.tokens) whole.push(sequence);
    }
    if (whole.length === 0) return;
    this.#running = this.#running.filter((each) => !whole.includes(each));
    for (const sequence of whole) sequence.work.onWhole();
  }

  #fillBatch(): void {
    while (this.#running.length < MAXIMUM_BATCH) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      const isCached = this.#touch(next.work.prefix);
      const part = isCached ? CACHED_PREFILL_PART : 1;
      next.prefillLeft = next.work.promptTokens * part;
      this.#running.push(next);
    }
  }

  #prefill(stepMs: Milliseconds): boolean {
    let left = PREFILL_PER_SECOND * stepMs / 1_000;
    let isPrefilling = false;
    for (const sequence of this.#running) {
      if (sequence.prefillLeft <= 0) continue;
      isPrefilling = true;
      const done = Math.min(left, sequence.prefillLeft);
      sequence.prefillLeft -= done;
      left -= done;
      if (left <= 0) break;
    }
    return isPrefilling;
  }

  #rate(isPrefilling: boolean): number {
    const batch = Math.max(1, this.#running.length);
    const shared = Math.min(1, ENGINE_CAPACITY / batch);
    const pressure = Math.max(0, batch - PRESSURE_BATCH) * PRESSURE_LOSS;
    const slowdown = isPrefilling ? PREFILL_SLOWDOWN : 1;
    return TOKENS_PER_SECOND * shared * (1 - pressure) * slowdown;
  }

  /** Marks a prefix as used; tells whether it was in the cache. */
  #touch(prefix: string): boolean {
    const isCached = this.#cache.delete(prefix);
    this.#cache.set(prefix, true);
    if (this.#cache.size > CACHED_PREFIXES) {
      const [oldest] = this.#cache.keys();
      if (oldest !== undefined) this.#cache.delete(oldest);
    }
    return isCached;
  }
}

/** What an engine announces of itself. */
export function recordOf(engine: EngineModel): UpstreamRecord {
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
