/**
 * The in-memory portion of a replica's log: all entries after its snapshot, and some earlier ones for
 * followers that lag behind.
 *
 * @module
 */
import type { Bytes } from "#core";
import type { EntryPosition, LogEntry } from "./entries.ts";

/** Contiguous entries that follow a base position. */
export class EntryLog {
  #base: EntryPosition;
  #entries: LogEntry[] = [];

  constructor(base: EntryPosition, entries: readonly LogEntry[]) {
    this.#base = base;
    this.append(entries);
  }

  /** Position immediately before the first entry in memory. */
  get base(): EntryPosition {
    return this.#base;
  }

  /** Index of the last entry, or of the base if there are no entries. */
  get lastIndex(): number {
    return this.#base.index + this.#entries.length;
  }

  /** Term of the last entry, or of the base if there are no entries. */
  get lastTerm(): number {
    return this.#entries.at(-1)?.term ?? this.#base.term;
  }

  /** Returns the term of the entry at an index, or undefined if the entry is not in memory. */
  termAt(index: number): number | undefined {
    if (index === this.#base.index) return this.#base.term;
    return this.get(index)?.term;
  }

  /** Returns the entry at an index, or undefined if it is not in memory. */
  get(index: number): LogEntry | undefined {
    const offset = index - this.#base.index - 1;
    return offset < 0 ? undefined : this.#entries[offset];
  }

  /**
   * Returns entries starting at an index, with bodies of at most `maximumBytes` in total. Returns at
   * least one entry if there is any, even if it is larger.
   */
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

  /** Appends entries, replacing existing ones from the index of the first new entry onwards. */
  append(entries: readonly LogEntry[]): void {
    const first = entries[0];
    if (first === undefined) return;
    const keptCount = first.index - this.#base.index - 1;
    if (keptCount < 0 || keptCount > this.#entries.length) {
      throw new Error(`entry ${first.index} is not contiguous with the log`);
    }
    this.#entries.length = keptCount;
    for (const entry of entries) this.#entries.push(entry);
  }

  /** Discards entries up to and including an index. */
  compact(index: number): void {
    const term = this.termAt(index);
    if (term === undefined) return;
    this.#entries = this.#entries.slice(index - this.#base.index);
    this.#base = { index, term };
  }

  /** Discards all entries and sets a new base. */
  reset(base: EntryPosition): void {
    this.#base = base;
    this.#entries = [];
  }
}
