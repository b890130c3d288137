/**
 * Decides when a change of a process's memory is worth a log event.
 *
 * @module
 */
import { type Bytes, MEBIBYTE, type Milliseconds } from "./units.ts";

/** Parts of the limit whose crossing is reported. */
const MARKS: readonly number[] = [0.5, 0.75, 0.9];
/** Part of the limit by which memory must change to be reported without crossing a mark. */
const STEP = 0.25;
/** Part of the limit by which memory must fall below a mark to count as below it. */
const MARGIN = 0.05;
/** Change that is reported if there is no limit. */
const UNLIMITED_STEP_BYTES: Bytes = 64 * MEBIBYTE;
/** Minimum time between a report and one that is not urgent. */
const REPORT_INTERVAL_MS: Milliseconds = 10_000;

/** A change to report; `near_limit` if memory is above the highest mark and has risen. */
export type MemoryChange = "grown" | "fallen" | "near_limit";

/**
 * Compares each observation of the resident memory with the last one reported. A mark that is reached is reported at
 * once; other growth and any fall at most every 10 s, so that memory that swings around a mark causes few events.
 *
 * @example
 * ```ts
 * const watch = new MemoryWatch(230_000_000);
 * watch.observe(50_000_000, 0); // undefined
 * watch.observe(120_000_000, 2_000); // "grown"
 * ```
 */
export class MemoryWatch {
  readonly #limitBytes: Bytes | null;
  readonly #stepBytes: Bytes;
  #reportedBytes: Bytes | undefined;
  #reportedMarks = 0;
  #reportedAtMs: Milliseconds = -Infinity;

  /** `limitBytes` is the memory at which the process is ended; null if there is no limit. */
  constructor(limitBytes: Bytes | null) {
    this.#limitBytes = limitBytes;
    this.#stepBytes = limitBytes === null
      ? UNLIMITED_STEP_BYTES
      : STEP * limitBytes;
  }

  /** Returns the change to report at this time, or undefined. */
  observe(
    residentBytes: Bytes,
    nowMs: Milliseconds,
  ): MemoryChange | undefined {
    this.#reportedBytes ??= residentBytes;
    const change = this.#change(residentBytes, nowMs);
    if (change === undefined) return undefined;
    this.#reportedBytes = residentBytes;
    this.#reportedMarks = change === "fallen"
      ? this.#marksBelow(residentBytes, MARGIN)
      : this.#marksBelow(residentBytes, 0);
    this.#reportedAtMs = nowMs;
    return change;
  }

  #change(
    residentBytes: Bytes,
    nowMs: Milliseconds,
  ): MemoryChange | undefined {
    const marks = this.#marksBelow(residentBytes, 0);
    const risen = marks === MARKS.length ? "near_limit" : "grown";
    if (marks > this.#reportedMarks) return risen;
    if (nowMs < this.#reportedAtMs + REPORT_INTERVAL_MS) return undefined;
    const grownBytes = residentBytes - (this.#reportedBytes ?? residentBytes);
    if (grownBytes >= this.#stepBytes) return risen;
    if (-grownBytes >= this.#stepBytes) return "fallen";
    const isBelowMark =
      this.#marksBelow(residentBytes, MARGIN) < this.#reportedMarks;
    return isBelowMark ? "fallen" : undefined;
  }

  /** Returns the number of marks that memory has reached, each lowered by a part of the limit. */
  #marksBelow(residentBytes: Bytes, margin: number): number {
    const limitBytes = this.#limitBytes;
    if (limitBytes === null) return 0;
    return MARKS.filter((mark) => residentBytes >= (mark - margin) * limitBytes)
      .length;
  }
}
