/**
 * Who votes, as the log says, and when a set of replicas is enough.
 *
 * @module
 */
import {
  decodeSeats,
  type LogEntry,
  type Seat,
  type SeatsChange,
} from "./entries.ts";

/** A change of the voters with the index of its entry. */
export interface PlacedSeats {
  readonly index: number;
  readonly change: SeatsChange;
}

/** No voters: a replica that no group has seated. */
export const NO_SEATS: PlacedSeats = {
  index: 0,
  change: { before: [], after: [] },
};

/** The lists of which a majority each is needed. */
export class SeatRules {
  readonly #lists: readonly (readonly Seat[])[];

  constructor(lists: readonly (readonly Seat[])[]) {
    this.#lists = lists;
  }

  /** Every replica with a seat, once. */
  seats(): readonly Seat[] {
    const byReplica = new Map<string, Seat>();
    for (const seat of this.#lists.flat()) byReplica.set(seat.replica, seat);
    return [...byReplica.values()];
  }

  /** Whether a replica has a seat. */
  has(replica: string): boolean {
    return this.#lists.flat().some((seat) => seat.replica === replica);
  }

  /** Whether these replicas are a majority of each list. */
  reached(replicas: ReadonlySet<string>): boolean {
    return this.agreed((replica) => replicas.has(replica) ? 1 : 0) > 0;
  }

  /** The greatest value that a majority of each list has reached. */
  agreed(valueOf: (replica: string) => number): number {
    let agreed = Infinity;
    for (const list of this.#lists) {
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
export class SeatHistory {
  #changes: PlacedSeats[];

  constructor(base: PlacedSeats, entries: readonly LogEntry[]) {
    this.#changes = [base];
    this.append(entries);
  }

  /** The newest change in the log. */
  get newest(): PlacedSeats {
    return this.#changes.at(-1) ?? NO_SEATS;
  }

  /** Follows entries that were added to the log. */
  append(entries: readonly LogEntry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    this.#changes = this.#changes.filter((each) => each.index < first.index);
    for (const entry of entries) {
      if (entry.kind !== "seats") continue;
      const change = decodeSeats(entry.body);
      this.#changes.push({ index: entry.index, change });
    }
  }

  /** Replaces everything by what a snapshot says. */
  reset(base: PlacedSeats): void {
    this.#changes = [base];
  }

  /** The newest change at or before an index. */
  at(index: number): PlacedSeats {
    return this.#changes.findLast((each) => each.index <= index) ?? NO_SEATS;
  }

  /** The lists that decide, given what is known to be committed. */
  rules(committedIndex: number): SeatRules {
    const { index, change } = this.newest;
    if (index <= committedIndex) return new SeatRules([change.after]);
    if (change.before.length === 0) return new SeatRules([change.after]);
    return new SeatRules([change.before, change.after]);
  }
}
