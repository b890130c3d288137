/**
 * Decides which VM gets permits for which upstreams, and in which order. Performs no I/O.
 *
 * The permits issued for an upstream never exceed its rate and the depth of its bucket, whoever asks. Requests that wait
 * go first, by priority, then in order of arrival. Permits for requests that are only expected come from what is
 * left beyond half of a bucket, so that holding permits ahead costs no waiting request its turn.
 *
 * @module
 */
import { type Milliseconds, SECOND_MS } from "#core";
import type { PermitGrant, PermitRequest } from "./permit_messages.ts";
import { RateBucket } from "./rate_bucket.ts";

/** Part of a bucket that is kept for requests that wait. */
const RESERVED_FRACTION = 0.5;

/** What the allocator decided about a request for permits. */
export interface PermitDecision {
  readonly grants: readonly PermitGrant[];
  /** When a permit is likely to be available if there is none now; 0 otherwise. */
  readonly retryAfterMs: Milliseconds;
}

/** A request for permits that waits for its turn. */
interface QueuedRequest {
  readonly request: PermitRequest;
  readonly untilMs: Milliseconds;
  readonly settle: (decision: PermitDecision) => void;
}

/** Limit of an incarnation of an upstream: null if it names none any more, undefined if that is not known. */
export type LimitLookup = (incarnation: string) => number | null | undefined;

/** Options of `PermitAllocator`. */
export interface PermitAllocatorOptions {
  /** Returns the newest known limit of an upstream. */
  readonly limitOf: LimitLookup;
}

/** Issues permits for all upstreams with a limit. */
export class PermitAllocator {
  readonly #limitOf: LimitLookup;
  readonly #buckets = new Map<string, RateBucket>();
  #queue: QueuedRequest[] = [];
  /** Whether permits of an earlier allocator may still be in use, so that buckets start empty. */
  #startsEmpty = true;

  constructor(options: PermitAllocatorOptions) {
    this.#limitOf = options.limitOf;
  }

  /** Number of requests that wait. */
  get queued(): number {
    return this.#queue.length;
  }

  /** Declares that permits of an earlier allocator are used up: buckets of new limits start full. */
  endTakeover(): void {
    this.#startsEmpty = false;
  }

  /**
   * Decides about a request now or when permits become available; `settle` is called once, possibly at once. A request
   * whose turn will not come within its patience is rejected at once.
   */
  request(
    request: PermitRequest,
    options: {
      readonly nowMs: Milliseconds;
      readonly settle: (decision: PermitDecision) => void;
    },
  ): void {
    const { nowMs, settle } = options;
    const buckets = this.#bucketsOf(request, nowMs);
    if (buckets.size === 0) {
      settle({ grants: [], retryAfterMs: 0 });
      return;
    }
    const delayMs = this.#delayMs(request, { buckets, nowMs });
    const mustWait = request.waiting > 0 && delayMs > 0;
    if (!mustWait) {
      settle({ grants: this.#issue(request, buckets, nowMs), retryAfterMs: 0 });
      return;
    }
    if (delayMs > request.patienceMs) {
      settle({ grants: [], retryAfterMs: delayMs });
      return;
    }
    const untilMs = nowMs + request.patienceMs;
    this.#queue.push({ request, untilMs, settle });
    // Sorting keeps the order of arrival within a priority.
    this.#queue.sort((a, b) => a.request.priority - b.request.priority);
  }

  /** Issues permits to the requests whose turn has come, and rejects those whose patience has ended. */
  advance(nowMs: Milliseconds): void {
    const queue = this.#queue;
    this.#queue = [];
    for (const queued of queue) {
      const { request, settle, untilMs } = queued;
      const buckets = this.#bucketsOf(request, nowMs);
      const grants = this.#issue(request, buckets, nowMs);
      if (grants.length > 0) settle({ grants, retryAfterMs: 0 });
      else if (nowMs >= untilMs) {
        const retryAfterMs = this.#delayMs(request, { buckets, nowMs });
        settle({ grants, retryAfterMs });
      } else this.#queue.push(queued);
    }
  }

  /** Returns the time until `advance` can decide about a waiting request, Infinity without any. */
  nextDelayMs(nowMs: Milliseconds): Milliseconds {
    let delayMs = Infinity;
    for (const { request, untilMs } of this.#queue) {
      delayMs = Math.min(delayMs, untilMs - nowMs);
      for (const bucket of this.#bucketsOf(request, nowMs).values()) {
        delayMs = Math.min(delayMs, bucket.delayMs(1, nowMs));
      }
    }
    return Math.max(0, delayMs);
  }

  /** Rejects all waiting requests, as when this VM no longer leads. */
  clear(): void {
    const queue = this.#queue;
    this.#queue = [];
    this.#buckets.clear();
    this.#startsEmpty = true;
    for (const { settle } of queue) settle({ grants: [], retryAfterMs: 0 });
  }

  /** Forgets the buckets of upstreams that are gone or name no limit any more. */
  prune(): void {
    for (const incarnation of this.#buckets.keys()) {
      const limit = this.#limitOf(incarnation);
      if (limit === undefined || limit === null) {
        this.#buckets.delete(incarnation);
      }
    }
  }

  #bucketsOf(
    request: PermitRequest,
    nowMs: Milliseconds,
  ): ReadonlyMap<string, RateBucket> {
    const buckets = new Map<string, RateBucket>();
    for (const { incarnation, perSecond } of request.upstreams) {
      // A VM that has just read a limit in a response may know it before this one does.
      const limit = this.#limitOf(incarnation);
      if (limit === null) continue;
      const rate = limit ?? perSecond;
      buckets.set(incarnation, this.#bucket(incarnation, rate, nowMs));
    }
    return buckets;
  }

  #bucket(
    incarnation: string,
    perSecond: number,
    nowMs: Milliseconds,
  ): RateBucket {
    const existing = this.#buckets.get(incarnation);
    if (existing === undefined) {
      const isFull = !this.#startsEmpty;
      const created = new RateBucket({ perSecond, nowMs, isFull });
      this.#buckets.set(incarnation, created);
      return created;
    }
    existing.setRate(perSecond, nowMs);
    return existing;
  }

  /** Returns the time until the first waiting request of a VM is likely to get its permit. */
  #delayMs(request: PermitRequest, state: {
    readonly buckets: ReadonlyMap<string, RateBucket>;
    readonly nowMs: Milliseconds;
  }): Milliseconds {
    const { buckets, nowMs } = state;
    let ahead = 0;
    for (const { request: other } of this.#queue) {
      const goesFirst = other.priority <= request.priority;
      if (goesFirst && other.service === request.service) ahead += 1;
    }
    let perSecond = 0;
    let available = 0;
    let firstMs = Infinity;
    for (const bucket of buckets.values()) {
      perSecond += bucket.perSecond;
      available += bucket.available(nowMs);
      firstMs = Math.min(firstMs, bucket.delayMs(1, nowMs));
    }
    if (available > ahead) return 0;
    return firstMs + (ahead - available) * SECOND_MS / perSecond;
  }

  #issue(
    request: PermitRequest,
    buckets: ReadonlyMap<string, RateBucket>,
    nowMs: Milliseconds,
  ): readonly PermitGrant[] {
    const counts = new Map<string, number>();
    const state = { buckets, nowMs, counts };
    this.#draw(request.waiting, { ...state, reserved: 0 });
    this.#draw(request.expected, { ...state, reserved: RESERVED_FRACTION });
    const grants: PermitGrant[] = [];
    for (const [incarnation, count] of counts) {
      grants.push({ incarnation, count });
    }
    return grants;
  }

  /** Draws permits one by one from the fullest bucket, so that the load spreads as the limits do. */
  #draw(count: number, state: {
    readonly buckets: ReadonlyMap<string, RateBucket>;
    readonly nowMs: Milliseconds;
    readonly counts: Map<string, number>;
    readonly reserved: number;
  }): void {
    const { buckets, nowMs, counts, reserved } = state;
    for (let drawn = 0; drawn < count; drawn += 1) {
      let fullest: string | undefined;
      let most = 0;
      for (const [incarnation, bucket] of buckets) {
        const kept = bucket.depth * reserved;
        const available = bucket.available(nowMs) - kept;
        if (available < 1 || available <= most) continue;
        fullest = incarnation;
        most = available;
      }
      if (fullest === undefined) return;
      buckets.get(fullest)?.take(1);
      counts.set(fullest, (counts.get(fullest) ?? 0) + 1);
    }
  }
}
