/**
 * The part of the log that a replica holds in memory: everything after its snapshot, and some entries
 * before it for followers that lag.
 *
 * @module
 */
import type { Bytes } from "#core";
import type { EntryPosition, LogEntry } from "./entries.ts";

/** Entries after a base position, without gaps. */
export class EntryLog {
  #base: EntryPosition;
  #entries: LogEntry[] = [];

  constructor(base: EntryPosition, entries: readonly LogEntry[]) {
    this.#base = base;
    this.append(entries);
  }

  /** Position before the first entry held. */
  get base(): EntryPosition {
    return this.#base;
  }

  /** Index of the last entry. */
  get lastIndex(): number {
    return this.#base.index + this.#entries.length;
  }

  /** Term of the last entry. */
  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#base.term;
  }

  /** Term of the entry at an index; undefined if it isn't held. */
  termAt(index: number): number | undefined {
    if (index === this.#base.index) return this.#base.term;
    return this.get(index)?.term;
  }

  /** The entry at an index; undefined if it isn't held. */
  get(index: number): LogEntry | undefined {
    const offset = index - this.#base.index - 1;
    return offset < 0 ? undefined : this.#entries[offset];
  }

  /** Entries from an index on, up to about `maximumBytes` but at least one. */
  entriesFrom(index: number, maximumBytes: Bytes): readonly LogEntry[] {
    const start = Math.max(0, index - this.#base.index - 1);
    let bytes = 0;
    let end = start;
    while (end < this.#entries.length) {
      bytes += this.#entries[end]?.body.length ?? 0;
      if (bytes > maximumBytes && end > start) break;
      end += 1;
    }
    return this.#entries.slice(start, end);
  }

  /** Adds entries; those already held at or after the first one's index go away. */
  append(entries: readonly LogEntry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    const keep = first.index - this.#base.index - 1;
    if (keep < 0 || keep > this.#entries.length) {
      throw new Error(`entry ${first.index} leaves a gap`);
    }
    this.#entries.length = keep;
    for (const entry of entries) this.#entries.push(entry);
  }

  /** Forgets entries up to and with an index. */
  compact(index: number): void {
    const term = this.termAt(index);
    if (term === undefined) return;
    this.#entries = this.#entries.slice(index - this.#base.index);
    this.#base = { index, term };
  }

  /** Replaces everything by a base without entries. */
  reset(base: EntryPosition): void {
    this.#base = base;
    this.#entries = [];
  }
}
