/**
 * The tasks of all items of open batches on the store VM that runs them, as the log has them.
 *
 * @module
 */
import type { Clock, EventLog, Milliseconds } from "#core";
import type { RouteRules } from "#requests";
import type { BatchState } from "./batch_state.ts";
import { BatchTimings } from "./batch_timings.ts";
import type { BatchesMachine } from "./batches_machine.ts";
import { BATCHES_EVENTS } from "./events.ts";
import type { ItemRoutes } from "./item_routes.ts";
import { abortRun, ItemTask } from "./item_task.ts";

/** Margin for clocks of VMs that differ or jump by seconds, so that no item is abandoned early. */
const CLOCK_ERROR_MARGIN_MS: Milliseconds = 10_000;

/** Options of `OpenItems`. */
export interface OpenItemsOptions {
  readonly machine: BatchesMachine;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly routes: ItemRoutes;
  /** Aborts an item's run and lists the item as given up. */
  readonly abandon: (task: ItemTask, reason: string) => void;
  /** Called with the tasks of a batch that has ended, whose progress the log does not contain yet. */
  readonly onDropped: (tasks: readonly ItemTask[]) => void;
}

/** Keeps a task for each item that is neither listed nor part of an ended batch. */
export class OpenItems {
  readonly #options: OpenItemsOptions;
  readonly #tasks = new Map<string, ItemTask>();
  /** How the open batches progress on this VM, by batch identifier. */
  readonly #timings = new Map<string, BatchTimings>();

  constructor(options: OpenItemsOptions) {
    this.#options = options;
  }

  /** The tasks by their keys. */
  get tasks(): ReadonlyMap<string, ItemTask> {
    return this.#tasks;
  }

  /** Adopts what the log says: starts new batches, drops ended ones, and replaces tasks whose item has changed. */
  synchronise(): void {
    const open = new Set<string>();
    for (const state of this.#options.machine.openBatches()) {
      open.add(state.batch.id);
      if (!this.#timings.has(state.batch.id)) this.#startBatch(state);
    }
    for (const [id, timings] of this.#timings) {
      if (open.has(id)) continue;
      this.#timings.delete(id);
      this.#dropBatch(id, timings);
    }
    this.#replaceOutdatedTasks();
  }

  /** Aborts all runs and drops all tasks. */
  clear(): void {
    for (const task of this.#tasks.values()) abortRun(task);
    this.#tasks.clear();
    this.#timings.clear();
  }

  /** Drops the task of an item that the log lists. */
  handleListed(task: ItemTask): void {
    this.#tasks.delete(task.key);
    const timings = this.#timings.get(task.batch.id);
    timings?.record(task, this.#options.clock.nowMs());
  }

  /** Abandons the items that are older than their batch allows. */
  abandonExpired(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const { batch } of this.#options.machine.openBatches()) {
      const limitMs = batch.maximumQueueMs;
      const startedMs = this.#timings.get(batch.id)?.startedMs;
      if (limitMs === null || startedMs === undefined) continue;
      if (nowMs < startedMs + limitMs + CLOCK_ERROR_MARGIN_MS) continue;
      for (const task of this.#tasksOf(batch.id)) {
        if (task.done) continue;
        this.#options.abandon(task, "maximum queue time exceeded");
      }
    }
  }

  /** Abandons the items that wait for an engine and whose route has ended; those that run may still be completed. */
  abandonWithoutRoute(rules: RouteRules | null): void {
    for (const task of this.#tasks.values()) {
      if (task.isBusy || !this.#options.routes.hasEnded(task, rules)) continue;
      this.#options.abandon(task, "no route has its host and path any more");
    }
  }

  /** Returns the number of runs on an engine, by its incarnation. */
  countRuns(incarnation: string): number {
    let count = 0;
    for (const { run } of this.#tasks.values()) {
      if (run?.incarnation === incarnation) count += 1;
    }
    return count;
  }

  /** Replaces tasks whose item has a logged state other than the one they are based on. */
  #replaceOutdatedTasks(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const task of this.#tasks.values()) {
      const batch = this.#options.machine.find(task.batch.id);
      const state = batch?.items.get(task.item.id);
      if (state === undefined || task.isBasedOn(state)) continue;
      abortRun(task);
      this.#tasks.delete(task.key);
      if (state.listed) continue;
      const { dueMs } = task;
      const logged = { logged: state, dueMs, nowMs };
      this.#tasks.set(task.key, new ItemTask(task.batch, logged));
    }
  }

  #startBatch(state: BatchState): void {
    const { clock } = this.#options;
    const { batch, acceptedMs } = state;
    const nowMs = clock.nowMs();
    this.#timings.set(batch.id, new BatchTimings(nowMs));
    const ageMs = Math.max(0, clock.wallMs() - acceptedMs);
    const dueMs = nowMs + batch.dueMs - ageMs;
    for (const item of state.items.values()) {
      if (item.listed) continue;
      const task = new ItemTask(batch, { logged: item, dueMs, nowMs });
      this.#tasks.set(task.key, task);
    }
    this.#options.events.emit(BATCHES_EVENTS.batchTaken, {
      batch: batch.id,
      items: state.items.size,
      listed: state.results.length,
      model: batch.model,
      minimumVersion: batch.minimumVersion,
      ageMs: Math.round(ageMs),
    });
  }

  /** Drops the tasks of an ended batch; a later batch can contain the same items, so their progress is not lost. */
  #dropBatch(id: string, timings: BatchTimings): void {
    const unfinished: ItemTask[] = [];
    for (const task of this.#tasksOf(id)) {
      abortRun(task);
      this.#tasks.delete(task.key);
      if (task.hasUnloggedChanges) unfinished.push(task);
    }
    const { clock, events, onDropped } = this.#options;
    events.emit(BATCHES_EVENTS.batchDropped, {
      batch: id,
      afterMs: Math.round(clock.nowMs() - timings.startedMs),
      slowest: timings.slowest(),
      unfinished: unfinished.map((task) => task.item.id),
    });
    if (unfinished.length > 0) onDropped(unfinished);
  }

  #tasksOf(batch: string): readonly ItemTask[] {
    return [...this.#tasks.values()].filter((each) => each.batch.id === batch);
  }
}
