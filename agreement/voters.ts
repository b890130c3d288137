/**
 * Voters according to the log, and which sets of them are a quorum.
 *
 * @module
 */
import {
  decodeVoterChange,
  type LogEntry,
  type Voter,
  type VoterChange,
} from "./entries.ts";

/** Voter change with the log index of its entry. */
export interface IndexedVoterChange {
  readonly index: number;
  readonly change: VoterChange;
}

/** Empty initial state of a replica that has not received a voter change yet. */
export const NO_VOTERS: IndexedVoterChange = {
  index: 0,
  change: { before: [], after: [] },
};

/** Quorum that requires a majority of each of its lists of voters. */
export class VoterQuorum {
  readonly #voterLists: readonly (readonly Voter[])[];

  constructor(lists: readonly (readonly Voter[])[]) {
    this.#voterLists = lists;
  }

  /** Returns every voter once. */
  voters(): readonly Voter[] {
    const byReplica = new Map<string, Voter>();
    for (const voter of this.#voterLists.flat()) {
      byReplica.set(voter.replica, voter);
    }
    return [...byReplica.values()];
  }

  /** Whether a replica is a voter. */
  isVoter(replica: string): boolean {
    return this.#voterLists.flat().some((voter) => voter.replica === replica);
  }

  /** Whether a set of replicas contains a majority of each list. */
  isQuorum(replicas: ReadonlySet<string>): boolean {
    return this.quorumValue((replica) => replicas.has(replica) ? 1 : 0) > 0;
  }

  /** Returns the greatest value that a majority of each list has reached; -Infinity if a list is empty. */
  quorumValue(valueOf: (replica: string) => number): number {
    let agreed = Infinity;
    for (const list of this.#voterLists) {
      if (list.length === 0) return -Infinity;
      const values = list.map((voter) => valueOf(voter.replica));
      values.sort((a, b) => b - a);
      const value = values[Math.floor(list.length / 2)] ?? -Infinity;
      agreed = Math.min(agreed, value);
    }
    return agreed;
  }
}

/** Voter changes in the log, oldest first. */
export class VoterHistory {
  #changes: IndexedVoterChange[];

  constructor(base: IndexedVoterChange, entries: readonly LogEntry[]) {
    this.#changes = [base];
    this.append(entries);
  }

  /** Newest change in the log, committed or not. */
  get newest(): IndexedVoterChange {
    return this.#changes.at(-1) ?? NO_VOTERS;
  }

  /** Records the voter changes among appended entries; drops those that the entries replace. */
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

  /** Replaces the history by the voter change of a snapshot. */
  reset(base: IndexedVoterChange): void {
    this.#changes = [base];
  }

  /** Returns the newest change at or before an index. */
  changeAt(index: number): IndexedVoterChange {
    return this.#changes.findLast((each) => each.index <= index) ?? NO_VOTERS;
  }

  /** Returns the quorum that is required while the commit index is `committedIndex`. */
  quorum(committedIndex: number): VoterQuorum {
    const { index, change } = this.newest;
    if (index <= committedIndex) return new VoterQuorum([change.after]);
    if (change.before.length === 0) return new VoterQuorum([change.after]);
    return new VoterQuorum([change.before, change.after]);
  }
}
