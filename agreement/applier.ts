/**
 * Applies committed entries to the state machines in log order, and settles the proposals that wait for
 * them.
 *
 * @module
 */
import { type Bytes, Err } from "#core";
import type { LogEntry } from "./entries.ts";
import type { Snapshot } from "./log_storage.ts";
import type { MachineHost } from "./machine_host.ts";
import { notLeader, type Proposals } from "./proposals.ts";
import type { Replica } from "./replica.ts";

/** Options of `Applier`. */
export interface ApplierOptions {
  readonly host: MachineHost;
  readonly proposals: Proposals;
}

/** Applies entries up to the commit index of a replica. */
export class Applier {
  readonly #options: ApplierOptions;
  readonly #listeners = new Set<(index: number) => void>();
  #appliedIndex = 0;
  #snapshotIndex = 0;
  #bytesSinceSnapshot: Bytes = 0;

  constructor(options: ApplierOptions) {
    this.#options = options;
  }

  /** Index of the last entry applied to the state machines. */
  get appliedIndex(): number {
    return this.#appliedIndex;
  }

  /** Number of entries applied since the last snapshot. */
  get entriesSinceSnapshot(): number {
    return this.#appliedIndex - this.#snapshotIndex;
  }

  /** Size of the entries applied since the last snapshot. */
  get bytesSinceSnapshot(): Bytes {
    return this.#bytesSinceSnapshot;
  }

  /** Calls `listener` after each applied entry or restored snapshot; returns a function to unsubscribe. */
  onApplied(listener: (index: number) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Applies all committed entries that are not applied yet. */
  advance(replica: Replica): void {
    let entry = replica.committedEntry(this.#appliedIndex + 1);
    while (entry !== undefined) {
      this.#appliedIndex = entry.index;
      this.#bytesSinceSnapshot += entry.body.length;
      this.#apply(entry, replica.state.leader?.vm ?? null);
      entry = replica.committedEntry(this.#appliedIndex + 1);
    }
  }

  /** Takes a snapshot of the state machines; returns undefined if no entry was applied since the last one. */
  snapshot(replica: Replica): Snapshot | undefined {
    const entry = replica.state.log.get(this.#appliedIndex);
    if (entry === undefined || this.entriesSinceSnapshot === 0) {
      return undefined;
    }
    const { index, term, atMs } = entry;
    const seats = replica.state.voterHistory.changeAt(index);
    this.#snapshotIndex = index;
    this.#bytesSinceSnapshot = 0;
    const states = this.#options.host.snapshot();
    return { meta: { index, term, atMs, seats }, states };
  }

  /** Replaces the state of the state machines by a snapshot. */
  restore(snapshot: Snapshot): void {
    const { index } = snapshot.meta;
    this.#options.host.restore(snapshot.states);
    this.#appliedIndex = index;
    this.#snapshotIndex = index;
    this.#bytesSinceSnapshot = 0;
    this.#options.proposals.abandonUpTo(index);
    for (const listener of this.#listeners) listener(index);
  }

  #apply(entry: LogEntry, leader: string | null): void {
    const result = entry.kind === "command"
      ? this.#options.host.apply(entry)
      : Err(notLeader(leader));
    this.#options.proposals.settle(entry, result, leader);
    for (const listener of this.#listeners) listener(entry.index);
  }
}
