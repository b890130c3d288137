/**
 * Puts what engines have made into the batch log, a few times a second.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import type { Clock, EventLog, Milliseconds, RandomSource } from "#core";
import type { BatchesMachine, HeldItem } from "./batches_machine.ts";
import { BATCHES_EVENTS } from "./events.ts";
import type { ItemWork } from "./item_work.ts";

/** Time within which progress is kept. */
export const PROGRESS_MS: Milliseconds = 250;

/** What a keeper is built from. */
export interface ProgressKeeperOptions {
  readonly log: ReplicatedLog;
  readonly machine: BatchesMachine;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly random: RandomSource;
  /** Items that are worked on. */
  readonly works: () => Iterable<ItemWork>;
  /** Called with each item that is listed now. */
  readonly onListed: (work: ItemWork) => void;
}

/** Keeps progress; one proposal for all items is under way at a time. */
export class ProgressKeeper {
  readonly #options: ProgressKeeperOptions;
  #flushing = false;
  #dueMs: Milliseconds = Infinity;

  constructor(options: ProgressKeeperOptions) {
    this.#options = options;
  }

  /** Keeps everything within a time. */
  within(delayMs: Milliseconds): void {
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
    const dirty = this.#dirty();
    if (dirty.length === 0) return;
    this.#flushing = true;
    await this.commit(dirty);
    this.#flushing = false;
    if (this.#dirty().length > 0) this.within(PROGRESS_MS);
  }

  /** Keeps the progress of these items. */
  async commit(works: readonly ItemWork[]): Promise<void> {
    const { log, events } = this.#options;
    const updates = works.map((work) =>
      work.takeUpdate(this.#options.random.identifier())
    );
    const command = { kind: "update", updates };
    const result = await log.propose({ machine: "batches", command });
    if (result.err) {
      events.emit(BATCHES_EVENTS.progressNotKept, { ...result.val });
    }
    for (const work of works) this.#settle(work);
  }

  #dirty(): readonly ItemWork[] {
    return [...this.#options.works()].filter((each) => each.dirty);
  }

  #settle(work: ItemWork): void {
    const held = this.#held(work);
    if (held === undefined) return;
    work.settle(held);
    if (held.listed) this.#options.onListed(work);
  }

  #held(work: ItemWork): HeldItem | undefined {
    const batch = this.#options.machine.find(work.batch.id);
    return batch?.items.get(work.item.id);
  }
}
