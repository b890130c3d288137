/**
 * The state machine of the control log that counts the trial runs of blocked calls. What happened to be under way when
 * several upstreams ended for another reason must not stay blocked; what crashes them must not run more often than this,
 * whatever restarts meanwhile.
 *
 * @module
 */
import {
  type Committed,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  MINUTE_MS,
  Ok,
  type Result,
  StateMachine,
} from "#core";

/** Trial runs of one call; it may run three times after its third crash, one of which may be under way by then. */
export const MAXIMUM_TRIALS = 2;
/** Longer than a call stays blocked. */
const RETENTION_MS: Milliseconds = 25 * 60 * MINUTE_MS;
/** Calls whose trials are counted; more of them are given none. */
const MAXIMUM_CALLS = 4_096;

/** Counts a trial run of a call that is about to begin. */
export interface TrialCommand {
  readonly digest: string;
}

interface CountedTrials {
  readonly digest: string;
  readonly count: number;
  /** Time of day of the last one. */
  readonly atMs: Milliseconds;
}

/** Counts trial runs by the digest of the call. */
export class TrialsMachine
  extends StateMachine<TrialCommand, number, null, null> {
  override readonly name = "trials";
  readonly #counted = new Map<string, CountedTrials>();

  /** Returns how many trial runs of a call were counted. */
  count(digest: string): number {
    return this.#counted.get(digest)?.count ?? 0;
  }

  override apply(entry: Committed<TrialCommand>): Result<number, Failure> {
    const { command, atMs } = entry;
    const digest: unknown = (command as Partial<TrialCommand> | null)?.digest;
    if (typeof digest !== "string") {
      return Err(fail("malformed_request", "not a trial run"));
    }
    this.#removeOld(atMs);
    const count = this.count(digest) + 1;
    if (count > MAXIMUM_TRIALS) {
      return Err(fail("conflict", "the call has had its trial runs"));
    }
    if (count === 1 && this.#counted.size >= MAXIMUM_CALLS) {
      return Err(fail("overloaded", "too many calls have had trial runs"));
    }
    // The oldest is first in the map.
    this.#counted.delete(digest);
    this.#counted.set(digest, { digest, count, atMs });
    return Ok(count);
  }

  override query(): Result<null, Failure> {
    return Ok(null);
  }

  override snapshot(): unknown {
    return [...this.#counted.values()];
  }

  override restore(state: unknown): void {
    this.#counted.clear();
    for (const each of state as readonly CountedTrials[]) {
      this.#counted.set(each.digest, each);
    }
  }

  #removeOld(atMs: Milliseconds): void {
    for (const [digest, counted] of this.#counted) {
      if (atMs - counted.atMs <= RETENTION_MS) return;
      this.#counted.delete(digest);
    }
  }
}
