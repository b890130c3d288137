/**
 * Records how the texts of one batch came about, so that the log states why a step was late: a long text, a slow
 * engine, or time without a run.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import type { ItemTask } from "./item_task.ts";

/** Number of groups that the log event names. */
const REPORTED_GROUPS = 4;

/** How the text of one item came about on this VM. */
export interface ItemTiming {
  readonly item: string;
  readonly group: string;
  /** Time from when this VM started to run the batch until the item was listed. */
  readonly afterMs: Milliseconds;
  /** Time in runs, from each start to the last event of that run. */
  readonly runMs: Milliseconds;
  /** Longest time between two events of one run. */
  readonly longestGapMs: Milliseconds;
  readonly runs: number;
  /** Events of the complete text, earlier ones included. */
  readonly events: number;
  /** Engine of the last run, or null if this VM started none. */
  readonly engine: string | null;
  /** Whether an earlier batch already contained the item. */
  readonly resubmitted: boolean;
}

/** The slowest item of each group of a batch. */
export class BatchTimings {
  /** When this VM started to run the batch. */
  readonly startedMs: Milliseconds;
  readonly #slowestByGroup = new Map<string, ItemTiming>();

  constructor(startedMs: Milliseconds) {
    this.startedMs = startedMs;
  }

  /** Records that an item was listed; items are recorded in the order of their listing. */
  record(task: ItemTask, nowMs: Milliseconds): void {
    const { item, group, runUsage } = task;
    this.#slowestByGroup.set(group, {
      item: item.id,
      group,
      afterMs: Math.round(nowMs - this.startedMs),
      runMs: Math.round(runUsage.totalMs),
      longestGapMs: Math.round(runUsage.longestGapMs),
      runs: runUsage.count,
      events: task.eventCount,
      engine: runUsage.latestEngine,
      resubmitted: task.resubmitted,
    });
  }

  /** Returns the slowest items of the groups that were last to complete, the slowest first. */
  slowest(): readonly ItemTiming[] {
    return [...this.#slowestByGroup.values()]
      .sort((a, b) => b.afterMs - a.afterMs)
      .slice(0, REPORTED_GROUPS);
  }
}
