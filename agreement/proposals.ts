/**
 * Commands whose outcome a caller waits for.
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

/** Proposals by the index of their entry. */
export class Proposals {
  readonly #clock: Clock;
  readonly #timeoutMs: Milliseconds;
  readonly #waiting = new Map<number, Proposal[]>();

  constructor(clock: Clock, timeoutMs: Milliseconds) {
    this.#clock = clock;
    this.#timeoutMs = timeoutMs;
  }

  /** Waits for the entry at a position, but no longer than the time limit. */
  wait(position: EntryPosition): Promise<Result<unknown, Failure>> {
    return new Promise((resolve) => {
      const timer = this.#clock.after(this.#timeoutMs, () => {
        this.#remove(position);
        resolve(Err(unknownOutcome()));
      });
      const proposal = { term: position.term, timer, resolve };
      const others = this.#waiting.get(position.index) ?? [];
      this.#waiting.set(position.index, [...others, proposal]);
    });
  }

  /**
   * Settles what waits for an index, now that the entry there is decided: a proposal of another term can
   * never be in the log.
   */
  settle(
    position: EntryPosition,
    result: Result<unknown, Failure>,
    leader: string | null,
  ): void {
    const proposals = this.#waiting.get(position.index);
    if (proposals === undefined) return;
    this.#waiting.delete(position.index);
    for (const proposal of proposals) {
      proposal.timer.cancel();
      const mine = proposal.term === position.term;
      proposal.resolve(mine ? result : Err(notLeader(leader)));
    }
  }

  /** Settles what waits for indexes up to one, whose entries this replica never saw. */
  abandonUpTo(index: number): void {
    for (const waitingIndex of [...this.#waiting.keys()]) {
      if (waitingIndex <= index) this.#abandon(waitingIndex);
    }
  }

  /** Settles everything: the outcome isn't known. */
  abandonAll(): void {
    for (const index of [...this.#waiting.keys()]) this.#abandon(index);
  }

  #abandon(index: number): void {
    const proposals = this.#waiting.get(index) ?? [];
    this.#waiting.delete(index);
    for (const proposal of proposals) {
      proposal.timer.cancel();
      proposal.resolve(Err(unknownOutcome()));
    }
  }

  #remove(position: EntryPosition): void {
    const proposals = this.#waiting.get(position.index) ?? [];
    const others = proposals.filter((each) => each.term !== position.term);
    if (others.length === 0) this.#waiting.delete(position.index);
    else this.#waiting.set(position.index, others);
  }
}

/** The failure of a request to a replica that doesn't lead. */
export function notLeader(leader: string | null): Failure {
  if (leader === null) {
    return fail("not_leader", "no leader is known now", { retryAfterMs: 500 });
  }
  return fail("not_leader", `${leader} leads`, { detail: leader });
}

function unknownOutcome(): Failure {
  return fail("outcome_unknown", "the command may yet be committed");
}
