/**
 * Appends the progress of items to the batch log, a few times a second.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import type { Clock, EventLog, Milliseconds, RandomSource } from "#core";
import type { ItemState } from "./batch_state.ts";
import type { BatchesMachine } from "./batches_machine.ts";
import { BATCHES_EVENTS } from "./events.ts";
import type { EngineSpeed } from "./engine_observations.ts";
import type { ItemTask } from "./item_task.ts";

/** Time within which new progress is proposed to the log. */
export const PROGRESS_DELAY_MS: Milliseconds = 250;

/** Interval at which the speeds of the engines are logged, for the next leader. */
const SPEEDS_INTERVAL_MS: Milliseconds = 2_000;
/** Characters of text in one command; a command of the log holds 4 MiB, a character up to 3 bytes. */
const MAXIMUM_COMMAND_LENGTH = 1_000_000;
/** Length of an update besides its text, roughly. */
const UPDATE_OVERHEAD = 300;

/** Options of `ProgressWriter`. */
export interface ProgressWriterOptions {
  readonly log: ReplicatedLog;
  readonly machine: BatchesMachine;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly random: RandomSource;
  /** Returns the tasks of all items in progress. */
  readonly tasks: () => Iterable<ItemTask>;
  /** Returns the observed speeds of the engines. */
  readonly engineSpeeds: () => readonly EngineSpeed[];
  /** Called with the task of each item that the log has listed. */
  readonly onListed: (task: ItemTask) => void;
}

/** Writes progress to the log; at most one flush is in flight. */
export class ProgressWriter {
  readonly #options: ProgressWriterOptions;
  #flushing = false;
  #dueMs: Milliseconds = Infinity;
  #speedsDueMs: Milliseconds = 0;

  constructor(options: ProgressWriterOptions) {
    this.#options = options;
  }

  /** Schedules a flush within a time, unless an earlier one is due. */
  scheduleFlush(delayMs: Milliseconds): void {
    const { clock } = this.#options;
    const dueMs = clock.nowMs() + delayMs;
    if (dueMs >= this.#dueMs) return;
    this.#dueMs = dueMs;
    clock.after(delayMs, () => this.flushIfDue());
  }

  /** Flushes if a scheduled flush is due. */
  flushIfDue(): void {
    if (this.#options.clock.nowMs() >= this.#dueMs) this.flush();
  }

  /** Proposes the changes of all tasks now, unless a flush is in flight. */
  async flush(): Promise<void> {
    if (this.#flushing) return;
    this.#dueMs = Infinity;
    const changed = this.#changedTasks();
    if (changed.length === 0) return;
    this.#flushing = true;
    await this.proposeUpdates(changed);
    this.#flushing = false;
    if (this.#changedTasks().length > 0) this.scheduleFlush(PROGRESS_DELAY_MS);
  }

  /** Proposes the changes of these tasks to the log, in commands of limited size. */
  async proposeUpdates(tasks: readonly ItemTask[]): Promise<void> {
    await Promise.all(
      splitBySize(tasks).map((group) => this.#proposeGroup(group)),
    );
  }

  async #proposeGroup(tasks: readonly ItemTask[]): Promise<void> {
    const { log, events } = this.#options;
    const updates = tasks.map((task) =>
      task.prepareUpdate(this.#options.random.identifier())
    );
    const command = { kind: "update", updates, ...this.#speedsIfDue() };
    const result = await log.propose({ machine: "batches", command });
    if (result.err) {
      events.emit(BATCHES_EVENTS.progressNotKept, { ...result.val });
    }
    for (const task of tasks) this.#confirmUpdate(task);
  }

  #speedsIfDue(): { readonly speeds?: readonly EngineSpeed[] } {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs < this.#speedsDueMs) return {};
    this.#speedsDueMs = nowMs + SPEEDS_INTERVAL_MS;
    return { speeds: this.#options.engineSpeeds() };
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

/** Groups tasks so that the update of each group fits into a command, however long the log accepted none. */
function splitBySize(tasks: readonly ItemTask[]): readonly ItemTask[][] {
  const groups: ItemTask[][] = [];
  let group: ItemTask[] = [];
  let length = 0;
  for (const task of tasks) {
    const taskLength = task.unloggedTextLength + UPDATE_OVERHEAD;
    if (group.length > 0 && length + taskLength > MAXIMUM_COMMAND_LENGTH) {
      groups.push(group);
      group = [];
      length = 0;
    }
    group.push(task);
    length += taskLength;
  }
  if (group.length > 0) groups.push(group);
  return groups;
}
