/**
 * Bounded in-memory log of why recent requests were routed or rejected.
 *
 * @module
 */
import type { Clock, EventFields, Milliseconds } from "#core";

/** Maximum number of requests whose decisions are stored; the oldest is removed first. */
export const MAXIMUM_REQUESTS = 4_096;

const MAXIMUM_DECISIONS_PER_REQUEST = 16;

/** One decision about a request. */
export interface Decision {
  readonly atMs: Milliseconds;
  readonly decision: string;
  readonly fields: EventFields;
}

/** Stores the decisions about the most recent requests. */
export class DecisionLog {
  readonly #clock: Clock;
  readonly #decisions = new Map<string, Decision[]>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a decision, unless the request has reached its maximum number of decisions. */
  record(requestId: string, decision: string, fields: EventFields = {}): void {
    const steps = this.#decisions.get(requestId) ?? this.#addRequest(requestId);
    if (steps.length >= MAXIMUM_DECISIONS_PER_REQUEST) return;
    steps.push({ atMs: this.#clock.wallMs(), decision, fields });
  }

  /** Returns the decisions about a request, oldest first; undefined if none are stored. */
  find(requestId: string): readonly Decision[] | undefined {
    return this.#decisions.get(requestId);
  }

  #addRequest(requestId: string): Decision[] {
    const steps: Decision[] = [];
    this.#decisions.set(requestId, steps);
    if (this.#decisions.size > MAXIMUM_REQUESTS) {
      const [oldest] = this.#decisions.keys();
      if (oldest !== undefined) this.#decisions.delete(oldest);
    }
    return steps;
  }
}
