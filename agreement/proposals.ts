/**
 * Proposed commands whose callers wait for the outcome.
 *
 * @module
 */
import {
  type Clock,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  type Result,
  type Timer,
} from "#core";
import type { EntryPosition } from "./entries.ts";

interface Proposal {
  readonly term: number;
  readonly timer: Timer;
  readonly resolve: (result: Result<unknown, Failure>) => void;
}

/** Pending proposals by the log index of their entry. */
export class Proposals {
  readonly #clock: Clock;
  readonly #timeoutMs: Milliseconds;
  readonly #pendingByIndex = new Map<number, Proposal[]>();

  constructor(clock: Clock, timeoutMs: Milliseconds) {
    this.#clock = clock;
    this.#timeoutMs = timeoutMs;
  }

  /** Waits for the outcome of the entry at a position; fails with `outcome_unknown` after the time limit. */
  wait(position: EntryPosition): Promise<Result<unknown, Failure>> {
    return new Promise((resolve) => {
      const timer = this.#clock.after(this.#timeoutMs, () => {
        this.#remove(position);
        resolve(Err(unknownOutcome()));
      });
      const proposal = { term: position.term, timer, resolve };
      const others = this.#pendingByIndex.get(position.index) ?? [];
      this.#pendingByIndex.set(position.index, [...others, proposal]);
    });
  }

  /**
   * Settles the proposals that wait for an index once the entry there is committed. A proposal for the
   * same index in another term can never be committed, so it fails with `not_leader`.
   */
  settle(
    position: EntryPosition,
    result: Result<unknown, Failure>,
    leader: string | null,
  ): void {
    const proposals = this.#pendingByIndex.get(position.index);
    if (proposals === undefined) return;
    this.#pendingByIndex.delete(position.index);
    for (const proposal of proposals) {
      proposal.timer.cancel();
      const isSameTerm = proposal.term === position.term;
      proposal.resolve(isSameTerm ? result : Err(notLeader(leader)));
    }
  }

  /** Abandons the proposals up to an index whose entries a snapshot replaced: their outcome is unknown. */
  abandonUpTo(index: number): void {
    for (const pendingIndex of [...this.#pendingByIndex.keys()]) {
      if (pendingIndex <= index) this.#abandon(pendingIndex);
    }
  }

  /** Abandons all proposals: their outcome is unknown. */
  abandonAll(): void {
    for (const index of [...this.#pendingByIndex.keys()]) this.#abandon(index);
  }

  #abandon(index: number): void {
    const proposals = this.#pendingByIndex.get(index) ?? [];
    this.#pendingByIndex.delete(index);
    for (const proposal of proposals) {
      proposal.timer.cancel();
      proposal.resolve(Err(unknownOutcome()));
    }
  }

  #remove(position: EntryPosition): void {
    const proposals = this.#pendingByIndex.get(position.index) ?? [];
    const others = proposals.filter((each) => each.term !== position.term);
    if (others.length === 0) this.#pendingByIndex.delete(position.index);
    else this.#pendingByIndex.set(position.index, others);
  }
}

/** Returns the failure of a request to a replica that is not the leader. */
export function notLeader(leader: string | null): Failure {
  if (leader === null) {
    return fail("not_leader", "no leader is known", { retryAfterMs: 500 });
  }
  return fail("not_leader", `${leader} is the leader`, { detail: leader });
}

function unknownOutcome(): Failure {
  return fail("outcome_unknown", "the command may still be committed");
}
