/**
 * Attempts that ended without a complete response, while it is not known whether their upstreams crashed. Performs no
 * I/O.
 *
 * @module
 */
import {
  type Bytes,
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
  SECOND_MS,
} from "#core";
import type { CallKey } from "#membership";

const MAXIMUM_ATTEMPTS = 256;
/** Time within which the end of an upstream becomes known, by its heartbeats at the latest. */
const DECISION_MS: Milliseconds = 10 * SECOND_MS;
/** Time for which an upstream may run a call on whose connection is closed. */
const RUN_ON_MS: Milliseconds = SECOND_MS;

/**
 * How an attempt ended: this VM cancelled it; its connection broke and a new one was open, so that the upstream is alive
 * or was not quite gone yet; or a new one was not even refused.
 */
export type UndecidedEnd = "cancelled" | "open" | "silent";

/** An attempt whose upstream may have crashed. */
export interface UndecidedAttempt {
  readonly call: CallKey;
  readonly upstream: FleetUpstream;
  readonly endedMs: Milliseconds;
  readonly end: UndecidedEnd;
}

/** Stores undecided attempts until the fate of their upstreams is known. */
export class UndecidedAttempts {
  #attempts: UndecidedAttempt[] = [];

  /** Whether there is an attempt of a call whose body is this long. */
  hasLength(bodyBytes: Bytes): boolean {
    return this.#attempts.some((each) => each.call.bodyBytes === bodyBytes);
  }

  add(attempt: UndecidedAttempt): void {
    this.#attempts.push(attempt);
    if (this.#attempts.length > MAXIMUM_ATTEMPTS) this.#attempts.shift();
  }

  /** Whether a connection with this call broke, and the upstream has not been seen since. */
  isSuspect(digest: string, nowMs: Milliseconds): boolean {
    return this.#attempts.some((each) =>
      each.call.digest === digest && each.end === "silent" &&
      nowMs - each.endedMs <= DECISION_MS
    );
  }

  /** Records that an upstream responded to a call sent at this time: it has survived what ended before. */
  recordResponse(upstream: FleetUpstream, sentMs: Milliseconds): void {
    if (this.#attempts.length === 0) return;
    const incarnation = incarnationOf(upstream);
    this.#attempts = this.#attempts.filter((each) => {
      const runOnMs = each.end === "cancelled" ? RUN_ON_MS : 0;
      return incarnationOf(each.upstream) !== incarnation ||
        each.endedMs + runOnMs > sentMs;
    });
  }

  /** Forgets the attempts of a call that an upstream has responded to. */
  recordAnswer(digest: string): void {
    this.#attempts = this.#attempts.filter((each) =>
      each.call.digest !== digest
    );
  }

  /**
   * Returns the attempts whose upstreams have ended, by the upstreams that are known now, and forgets them. An upstream
   * that was draining has left as planned.
   */
  removeCrashed(
    known: readonly FleetUpstream[],
    nowMs: Milliseconds,
  ): readonly UndecidedAttempt[] {
    if (this.#attempts.length === 0) return [];
    const phases = new Map(
      known.map((each) => [incarnationOf(each), each.phase]),
    );
    const crashed: UndecidedAttempt[] = [];
    this.#attempts = this.#attempts.filter((each) => {
      if (nowMs - each.endedMs > DECISION_MS) return false;
      const phase = phases.get(incarnationOf(each.upstream));
      if (phase === "ready") return true;
      if (phase === undefined) crashed.push(each);
      return false;
    });
    return crashed;
  }
}
