/**
 * The calls that one entry VM counts, by window and tenant, until their window is settled.
 *
 * @module
 */
import type { TenantCount } from "./duty_port.ts";

/** Most windows that a VM stores while none is settled; older ones can't be reported in time any more. */
export const MAXIMUM_STORED_WINDOWS = 14;

/** The counts of one window. */
export interface WindowCounts {
  readonly window: number;
  readonly counts: ReadonlyMap<string, number>;
}

/**
 * Counts calls. Counts only increase.
 *
 * @example
 * ```ts
 * const windows = new UsageWindows();
 * windows.count("tenant-a", 353_445_120);
 * ```
 */
export class UsageWindows {
  readonly #windows = new Map<number, Map<string, number>>();
  #settledWindow = -1;

  /** The newest window that is settled. */
  get settledWindow(): number {
    return this.#settledWindow;
  }

  /** Whether there are counts of windows that are not settled. */
  get hasCounts(): boolean {
    return this.#windows.size > 0;
  }

  /** Counts a call; returns false if its window is settled, so that the call is in no report. */
  count(tenant: string, window: number): boolean {
    if (window <= this.#settledWindow) return false;
    const counts = this.#windows.get(window) ?? new Map<string, number>();
    counts.set(tenant, (counts.get(tenant) ?? 0) + 1);
    this.#windows.set(window, counts);
    this.#dropOldest();
    return true;
  }

  /** Returns the counts of all windows that are not settled. */
  unsettled(): readonly WindowCounts[] {
    return [...this.#windows].map(([window, counts]) => ({ window, counts }));
  }

  /** Drops the counts of a settled window and all earlier ones. */
  settle(settledWindow: number): void {
    if (settledWindow <= this.#settledWindow) return;
    this.#settledWindow = settledWindow;
    for (const window of this.#windows.keys()) {
      if (window <= settledWindow) this.#windows.delete(window);
    }
  }

  #dropOldest(): void {
    if (this.#windows.size <= MAXIMUM_STORED_WINDOWS) return;
    this.#windows.delete(Math.min(...this.#windows.keys()));
  }
}

/**
 * Returns counts sorted by tenant.
 *
 * @example
 * ```ts
 * sortedCounts(new Map([["tenant-b", 1], ["tenant-a", 2]])); // [["tenant-a", 2], ["tenant-b", 1]]
 * ```
 */
export function sortedCounts(
  counts: ReadonlyMap<string, number>,
): readonly TenantCount[] {
  return [...counts].sort(([a], [b]) => a < b ? -1 : 1);
}
