/**
 * Who votes, as the log says, and when a set of replicas is enough.
 *
 * @module
 */
import {
  decodeVoterChange,
  type LogEntry,
  type Voter,
  type VoterChange,
} from "./entries.ts";

/** A change of the voters with the index of its entry. */
export interface IndexedVoterChange {
  readonly index: number;
  readonly change: VoterChange;
}

/** No voters: a replica that no group has seated. */
export const NO_VOTERS: IndexedVoterChange = {
  index: 0,
  change: { before: [], after: [] },
};

/** The lists of which a majority each is needed. */
export class VoterQuorum {
  readonly #voterLists: readonly (readonly Voter[])[];

  constructor(lists: readonly (readonly Voter[])[]) {
    this.#voterLists = lists;
  }

  /** Every replica with a seat, once. */
  voters(): readonly Voter[] {
    const byReplica = new Map<string, Voter>();
    for (const seat of this.#voterLists.flat()) {
      byReplica.set(seat.replica, seat);
    }
    return [...byReplica.values()];
  }

  /** Whether a replica has a seat. */
  isVoter(replica: string): boolean {
    return this.#voterLists.flat().some((seat) => seat.replica === replica);
  }

  /** Whether these replicas are a majority of each list. */
  isQuorum(replicas: ReadonlySet<string>): boolean {
    return this.quorumValue((replica) => replicas.has(replica) ? 1 : 0) > 0;
  }

  /** The greatest value that a majority of each list has reached. */
  quorumValue(valueOf: (replica: string) => number): number {
    let agreed = Infinity;
    for (const list of this.#voterLists) {
      if (list.length === 0) return -Infinity;
      const values = list.map((seat) => valueOf(seat.replica));
      values.sort((a, b) => b - a);
      const value = values[Math.floor(list.length / 2)] ?? -Infinity;
      agreed = Math.min(agreed, value);
    }
    return agreed;
  }
}

/** The changes of voters in the log, newest last. */
export class VoterHistory {
  #changes: IndexedVoterChange[];

  constructor(base: IndexedVoterChange, entries: readonly LogEntry[]) {
    this.#changes = [base];
    this.append(entries);
  }

  /** The newest change in the log. */
  get newest(): IndexedVoterChange {
    return this.#changes.at(-1) ?? NO_VOTERS;
  }

  /** Follows entries that were added to the log. */
  append(entries: readonly LogEntry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    this.#changes = this.#changes.filter((each) => each.index < first.index);
    for (const entry of entries) {
      if (entry.kind !== "seats") continue;
      const change = decodeVoterChange(entry.body);
      this.#changes.push({ index: entry.index, change });
    }
  }

  /** Replaces everything by what a snapshot says. */
  reset(base: IndexedVoterChange): void {
    this.#changes = [base];
  }

  /** The newest change at or before an index. */
  at(index: number): IndexedVoterChange {
    return this.#changes.findLast((each) => each.index <= index) ?? NO_VOTERS;
  }

  /** The lists that decide, given what is known to be committed. */
  quorum(committedIndex: number): VoterQuorum {
    const { index, change } = this.newest;
    if (index <= committedIndex) return new VoterQuorum([change.after]);
    if (change.before.length === 0) return new VoterQuorum([change.after]);
    return new VoterQuorum([change.before, change.after]);
  }
}
