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
  /** For each entry, the size of all entries up to it since `#baseTotal` was 0. */
  #totals: Bytes[] = [];
  #baseTotal: Bytes = 0;

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

  /** Size of the bodies of all entries in memory. */
  get bytes(): Bytes {
    return this.bytesThrough(this.lastIndex);
  }

  /** Returns the size of the bodies of the entries in memory up to and including an index. */
  bytesThrough(index: number): Bytes {
    const offset = Math.min(index, this.lastIndex) - this.#base.index - 1;
    const total = this.#totals[offset] ?? this.#baseTotal;
    return total - this.#baseTotal;
  }

  /**
   * Returns the lowest index after which at most this number of entries and of bytes follow up to `index`; the base
   * if all of them are within the limits.
   */
  retentionStart(
    index: number,
    limits: { readonly entries: number; readonly bytes: Bytes },
  ): number {
    const lowest = Math.max(this.#base.index, index - limits.entries);
    const end = this.bytesThrough(index);
    let start = index;
    while (
      start > lowest && end - this.bytesThrough(start - 1) <= limits.bytes
    ) {
      start -= 1;
    }
    return start;
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
    this.#totals.length = keptCount;
    let total = this.#totals.at(-1) ?? this.#baseTotal;
    for (const entry of entries) {
      total += entry.body.length;
      this.#entries.push(entry);
      this.#totals.push(total);
    }
  }

  /** Discards entries up to and including an index. */
  compact(index: number): void {
    const term = this.termAt(index);
    if (term === undefined) return;
    const count = index - this.#base.index;
    this.#baseTotal = this.#totals[count - 1] ?? this.#baseTotal;
    this.#entries = this.#entries.slice(count);
    this.#totals = this.#totals.slice(count);
    this.#base = { index, term };
  }

  /** Discards all entries and sets a new base. */
  reset(base: EntryPosition): void {
    this.#base = base;
    this.#entries = [];
    this.#totals = [];
    this.#baseTotal = 0;
  }
}
