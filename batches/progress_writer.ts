/**
 * Puts what engines have made into the batch log, a few times a second.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import type { Clock, EventLog, Milliseconds, RandomSource } from "#core";
import type { BatchesMachine, ItemState } from "./batches_machine.ts";
import { BATCHES_EVENTS } from "./events.ts";
import type { ItemTask } from "./item_task.ts";

/** Time within which progress is kept. */
export const PROGRESS_DELAY_MS: Milliseconds = 250;

/** What a keeper is built from. */
export interface ProgressWriterOptions {
  readonly log: ReplicatedLog;
  readonly machine: BatchesMachine;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly random: RandomSource;
  /** Items that are worked on. */
  readonly tasks: () => Iterable<ItemTask>;
  /** Called with each item that is listed now. */
  readonly onListed: (work: ItemTask) => void;
}

/** Keeps progress; one proposal for all items is under way at a time. */
export class ProgressWriter {
  readonly #options: ProgressWriterOptions;
  #flushing = false;
  #dueMs: Milliseconds = Infinity;

  constructor(options: ProgressWriterOptions) {
    this.#options = options;
  }

  /** Keeps everything within a time. */
  scheduleFlush(delayMs: Milliseconds): void {
    const { clock } = this.#options;
    const dueMs = clock.nowMs() + delayMs;
    if (dueMs >= this.#dueMs) return;
    this.#dueMs = dueMs;
    clock.after(delayMs, () => this.flushIfDue());
  }

  /** Keeps everything if its time has come. */
  flushIfDue(): void {
    if (this.#options.clock.nowMs() >= this.#dueMs) this.flush();
  }

  /** Keeps everything now. */
  async flush(): Promise<void> {
    if (this.#flushing) return;
    this.#dueMs = Infinity;
    const dirty = this.#changedTasks();
    if (dirty.length === 0) return;
    this.#flushing = true;
    await this.proposeUpdates(dirty);
    this.#flushing = false;
    if (this.#changedTasks().length > 0) this.scheduleFlush(PROGRESS_DELAY_MS);
  }

  /** Keeps the progress of these items. */
  async proposeUpdates(tasks: readonly ItemTask[]): Promise<void> {
    const { log, events } = this.#options;
    const updates = tasks.map((task) =>
      task.prepareUpdate(this.#options.random.identifier())
    );
    const command = { kind: "update", updates };
    const result = await log.propose({ machine: "batches", command });
    if (result.err) {
      events.emit(BATCHES_EVENTS.progressNotKept, { ...result.val });
    }
    for (const task of tasks) this.#confirmUpdate(task);
  }

  #changedTasks(): readonly ItemTask[] {
    return [...this.#options.tasks()].filter((each) => each.hasUnloggedChanges);
  }

  #confirmUpdate(task: ItemTask): void {
    const state = this.#loggedState(task);
    if (state === undefined) return;
    task.confirmUpdate(state);
    if (state.listed) this.#options.onListed(task);
  }

  #loggedState(task: ItemTask): ItemState | undefined {
    const batch = this.#options.machine.find(task.batch.id);
    return batch?.items.get(task.item.id);
  }
}
