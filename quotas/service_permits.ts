/**
 * The permits of one service: a bucket for each of its upstreams with a limit, and the requests that wait. Performs no
 * I/O.
 *
 * @module
 */
import { type Milliseconds, SECOND_MS } from "#core";
import type { PermitGrant, PermitRequest } from "./permit_messages.ts";
import { RateBucket } from "./rate_bucket.ts";

/** Part of a bucket that is kept for requests that wait. */
const RESERVED_FRACTION = 0.5;

/** What was decided about a request for permits. */
export interface PermitDecision {
  readonly grants: readonly PermitGrant[];
  /** When a permit is likely to be available if there is none now; 0 otherwise. */
  readonly retryAfterMs: Milliseconds;
}

/** Limits in requests per second, by incarnation of their upstream. */
export type ServiceLimits = ReadonlyMap<string, number>;

/** A request for permits that waits for its turn. */
interface QueuedRequest {
  readonly request: PermitRequest;
  readonly untilMs: Milliseconds;
  readonly settle: (decision: PermitDecision) => void;
}

/** Issues the permits of one service. */
export class ServicePermits {
  readonly #buckets = new Map<string, RateBucket>();
  #limits: ServiceLimits = new Map();
  #queue: QueuedRequest[] = [];

  /** Number of requests that wait. */
  get queued(): number {
    return this.#queue.length;
  }

  /** Whether no upstream of the service names a limit and nothing waits. */
  get isIdle(): boolean {
    return this.#buckets.size === 0 && this.#queue.length === 0;
  }

  /** Sets the limits from now on; `startsFull` says whether the buckets of new ones start full. */
  setLimits(
    limits: ServiceLimits,
    options: { readonly nowMs: Milliseconds; readonly startsFull: boolean },
  ): void {
    if (limits === this.#limits) return;
    this.#limits = limits;
    const { nowMs, startsFull: isFull } = options;
    for (const [incarnation, perSecond] of limits) {
      const bucket = this.#buckets.get(incarnation);
      if (bucket !== undefined) bucket.setRate(perSecond, nowMs);
      else {
        const created = new RateBucket({ perSecond, nowMs, isFull });
        this.#buckets.set(incarnation, created);
      }
    }
    for (const incarnation of this.#buckets.keys()) {
      if (!limits.has(incarnation)) this.#buckets.delete(incarnation);
    }
  }

  /** Decides about a request now or when permits become available; see `PermitAllocator.request`. */
  request(
    request: PermitRequest,
    options: {
      readonly nowMs: Milliseconds;
      readonly settle: (decision: PermitDecision) => void;
    },
  ): void {
    const { nowMs, settle } = options;
    if (this.#buckets.size === 0) {
      settle({ grants: [], retryAfterMs: 0 });
      return;
    }
    const delayMs = this.#delayMs(request, nowMs);
    if (request.waiting === 0 || delayMs === 0) {
      settle({ grants: this.#issue(request, nowMs), retryAfterMs: 0 });
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
    let mayIssue = true;
    for (const queued of queue) {
      const { request, settle, untilMs } = queued;
      const grants: readonly PermitGrant[] = mayIssue
        ? this.#issue(request, nowMs)
        : [];
      if (grants.length > 0) settle({ grants, retryAfterMs: 0 });
      else if (nowMs >= untilMs) {
        settle({ grants, retryAfterMs: this.#delayMs(request, nowMs) });
      } else this.#queue.push(queued);
      mayIssue = grants.length > 0;
    }
  }

  /** Returns the time until `advance` can decide about a waiting request, Infinity without any. */
  nextDelayMs(nowMs: Milliseconds): Milliseconds {
    if (this.#queue.length === 0) return Infinity;
    let delayMs = this.#firstPermitMs(nowMs);
    for (const { untilMs } of this.#queue) {
      delayMs = Math.min(delayMs, untilMs - nowMs);
    }
    return Math.max(0, delayMs);
  }

  /** Rejects all waiting requests and forgets the buckets. */
  clear(): void {
    const queue = this.#queue;
    this.#queue = [];
    this.#buckets.clear();
    this.#limits = new Map();
    for (const { settle } of queue) settle({ grants: [], retryAfterMs: 0 });
  }

  #firstPermitMs(nowMs: Milliseconds): Milliseconds {
    let firstMs = Infinity;
    for (const bucket of this.#buckets.values()) {
      firstMs = Math.min(firstMs, bucket.delayMs(1, nowMs));
    }
    return firstMs;
  }

  /** Returns the time until the first waiting request of a VM is likely to get its permit. */
  #delayMs(request: PermitRequest, nowMs: Milliseconds): Milliseconds {
    let ahead = 0;
    for (const { request: other } of this.#queue) {
      if (other.priority <= request.priority) ahead += 1;
    }
    let perSecond = 0;
    let available = 0;
    for (const bucket of this.#buckets.values()) {
      perSecond += bucket.perSecond;
      available += bucket.available(nowMs);
    }
    if (available > ahead) return 0;
    const turnMs = (ahead - available) * SECOND_MS / perSecond;
    return this.#firstPermitMs(nowMs) + turnMs;
  }

  #issue(
    request: PermitRequest,
    nowMs: Milliseconds,
  ): readonly PermitGrant[] {
    const counts = new Map<string, number>();
    this.#draw(request.waiting, { nowMs, counts, reserved: 0 });
    const reserved = RESERVED_FRACTION;
    this.#draw(request.expected, { nowMs, counts, reserved });
    const grants: PermitGrant[] = [];
    for (const [incarnation, count] of counts) {
      grants.push({ incarnation, count });
    }
    return grants;
  }

  /** Draws permits one by one from the fullest bucket, so that the load spreads as the limits do. */
  #draw(count: number, state: {
    readonly nowMs: Milliseconds;
    readonly counts: Map<string, number>;
    readonly reserved: number;
  }): void {
    const { nowMs, counts, reserved } = state;
    for (let drawn = 0; drawn < count; drawn += 1) {
      let fullest: string | undefined;
      let most = 0;
      for (const [incarnation, bucket] of this.#buckets) {
        const kept = bucket.depth * reserved;
        const available = bucket.available(nowMs) - kept;
        if (available < 1 || available <= most) continue;
        fullest = incarnation;
        most = available;
      }
      if (fullest === undefined) return;
      this.#buckets.get(fullest)?.take(1);
      counts.set(fullest, (counts.get(fullest) ?? 0) + 1);
    }
  }
}
