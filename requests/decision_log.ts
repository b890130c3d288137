/**
 * Why requests were routed or refused: the newest decisions, bounded.
 *
 * @module
 */
import type { Clock, EventFields, Milliseconds } from "#core";

/** Requests whose decisions are kept. */
export const MAXIMUM_REQUESTS = 4_096;

const MAXIMUM_DECISIONS_PER_REQUEST = 16;

/** One decision on a request. */
export interface Decision {
  readonly atMs: Milliseconds;
  readonly decision: string;
  readonly fields: EventFields;
}

/** Keeps the decisions of the newest requests. */
export class DecisionLog {
  readonly #clock: Clock;
  readonly #decisions = new Map<string, Decision[]>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Notes one decision. */
  record(requestId: string, decision: string, fields: EventFields = {}): void {
    const steps = this.#decisions.get(requestId) ?? this.#addRequest(requestId);
    if (steps.length >= MAXIMUM_DECISIONS_PER_REQUEST) return;
    steps.push({ atMs: this.#clock.wallMs(), decision, fields });
  }

  /** The decisions on a request, oldest first; undefined if none are kept. */
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
