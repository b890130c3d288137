/**
 * Applies committed entries to the state machines in log order, and settles the proposals that wait for
 * them.
 *
 * @module
 */
import { type Bytes, Err, MEBIBYTE } from "#core";
import type { LogEntry } from "./entries.ts";
import type { HostRestoration, MachineHost } from "./machine_host.ts";
import { notLeader, type Proposals } from "./proposals.ts";
import type { Replica } from "./replica.ts";
import type { SnapshotCapture } from "./snapshot_file.ts";

/** Entries of this size are applied without a pause, so that heartbeats pass while a replica catches up. */
const MAXIMUM_APPLIED_BYTES: Bytes = MEBIBYTE;

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
  #restoring = false;

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

  /**
   * Applies committed entries that are not applied yet, up to a size; returns whether more of them wait. Applies none
   * during a restoration: the state machines may already have dropped the state that the entries build on.
   */
  advance(replica: Replica): boolean {
    if (this.#restoring) return false;
    let bytes = 0;
    let entry = replica.committedEntry(this.#appliedIndex + 1);
    while (entry !== undefined && bytes < MAXIMUM_APPLIED_BYTES) {
      this.#appliedIndex = entry.index;
      this.#bytesSinceSnapshot += entry.body.length;
      bytes += entry.body.length;
      this.#apply(entry, replica.state.leader?.vm ?? null);
      entry = replica.committedEntry(this.#appliedIndex + 1);
    }
    return entry !== undefined;
  }

  /** Captures the state of the state machines; returns undefined if no entry was applied since the last snapshot. */
  capture(replica: Replica): SnapshotCapture | undefined {
    const entry = replica.state.log.get(this.#appliedIndex);
    if (entry === undefined || this.entriesSinceSnapshot === 0) {
      return undefined;
    }
    const { index, term, atMs } = entry;
    const seats = replica.state.voterHistory.changeAt(index);
    const meta = { index, term, atMs, seats };
    return { meta, ...this.#options.host.snapshotParts() };
  }

  /** Records that the state after an entry is stored as a snapshot. */
  recordSnapshot(replica: Replica, index: number): void {
    const { log } = replica.state;
    this.#snapshotIndex = index;
    this.#bytesSinceSnapshot = log.bytesThrough(this.#appliedIndex) -
      log.bytesThrough(index);
  }

  /** Starts to replace the state of the state machines by a snapshot; `finishRestoration` must follow. */
  startRestoration(): HostRestoration {
    this.#restoring = true;
    return this.#options.host.startRestoration();
  }

  /** Replaces the state of the state machines by that after the entry at an index. */
  finishRestoration(restoration: HostRestoration, index: number): void {
    restoration.finish();
    this.#restoring = false;
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
