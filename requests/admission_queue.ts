/**
 * The queue of one target: classes in strict priority order, each with a guaranteed floor.
 *
 * @module
 */
import { ClassQueue, type ShareWeights } from "./class_queue.ts";
import type { WorkItem } from "./work_item.ts";

/** Priority and floor of a class. */
export interface ClassPolicy {
  /** Priority; the lowest rank goes first. */
  readonly rank: number;
  /** Fraction of the work (0 to 1) that the class is guaranteed while it has waiting items. */
  readonly floor: number;
}

/** Source of class policies and fair-share weights. */
export interface QueuePolicy extends ShareWeights {
  classPolicy(name: string): ClassPolicy;
}

/** Maximum number of items that one `take` examines. */
export const MAXIMUM_EXAMINED_ITEMS = 32;

/**
 * Holds the items that wait for one target.
 *
 * @example
 * ```ts
 * const queue = new AdmissionQueue(policy);
 * queue.push(item);
 * const next = queue.take(() => true);
 * ```
 */
export class AdmissionQueue {
  readonly #policy: QueuePolicy;
  readonly #classes = new Map<string, ClassQueue>();
  readonly #items = new Map<string, WorkItem>();
  /** Work that each class has earned by its floor and not yet received. */
  readonly #credits = new Map<string, number>();

  constructor(policy: QueuePolicy) {
    this.#policy = policy;
  }

  /** Number of waiting items. */
  get size(): number {
    return this.#items.size;
  }

  /** Returns the number of waiting items of a class. */
  sizeOf(name: string): number {
    return this.#classes.get(name)?.size ?? 0;
  }

  /** Returns the number of items that precede a new one of the class in strict priority order. */
  aheadOf(name: string): number {
    const rank = this.#policy.classPolicy(name).rank;
    let ahead = 0;
    for (const each of this.#classes.values()) {
      if (this.#rankOf(each) <= rank) ahead += each.size;
    }
    return ahead;
  }

  /** Appends an item; has no effect if an item with its identifier is waiting. */
  push(item: WorkItem): void {
    if (this.#items.has(item.id)) return;
    const queue = this.#classes.get(item.class) ??
      new ClassQueue(item.class, this.#policy);
    this.#classes.set(item.class, queue);
    this.#items.set(item.id, item);
    queue.push(item);
  }

  /** Removes and returns an item; undefined if it is not waiting. */
  remove(id: string): WorkItem | undefined {
    const item = this.#items.get(id);
    if (item === undefined) return undefined;
    this.#classes.get(item.class)?.remove(item);
    this.#dropItem(item);
    return item;
  }

  /** Removes and returns the first item in order that fits, of at most `MAXIMUM_EXAMINED_ITEMS` examined. */
  take(fits: (item: WorkItem) => boolean): WorkItem | undefined {
    const budget = { remaining: MAXIMUM_EXAMINED_ITEMS };
    for (const queue of this.#classOrder()) {
      const item = queue.find(fits, budget);
      if (item !== undefined) {
        this.#charge(queue, item);
        return item;
      }
      if (budget.remaining <= 0) return undefined;
    }
    return undefined;
  }

  /** Returns all waiting items in order of arrival. */
  items(): Iterable<WorkItem> {
    return this.#items.values();
  }

  /** Returns classes with waiting items: those owed their floor first, then the others by rank. */
  #classOrder(): readonly ClassQueue[] {
    const ranked = this.#backlogged();
    if (ranked.length < 2) return ranked;
    const owed = ranked.filter((each) => this.#isOwed(each));
    if (owed.length === 0) return ranked;
    return [...owed, ...ranked.filter((each) => !owed.includes(each))];
  }

  #backlogged(): ClassQueue[] {
    const waiting: ClassQueue[] = [];
    for (const each of this.#classes.values()) {
      if (each.size > 0) waiting.push(each);
    }
    if (waiting.length < 2) return waiting;
    return waiting.sort((a, b) => this.#rankOf(a) - this.#rankOf(b));
  }

  #isOwed(queue: ClassQueue): boolean {
    const credit = this.#credits.get(queue.name) ?? 0;
    if (credit <= 0) return false;
    const first = queue.find(() => true, { remaining: 1 });
    return first !== undefined && credit >= first.cost;
  }

  #charge(queue: ClassQueue, item: WorkItem): void {
    for (const each of this.#classes.values()) {
      if (each.size === 0) continue;
      const earned = this.#policy.classPolicy(each.name).floor * item.cost;
      const credit = this.#credits.get(each.name) ?? 0;
      this.#credits.set(each.name, credit + earned);
    }
    const credit = this.#credits.get(item.class) ?? 0;
    this.#credits.set(item.class, Math.max(0, credit - item.cost));
    queue.charge(item);
    this.#dropItem(item);
  }

  /** Removes an item; a class without waiting items loses its credit. */
  #dropItem(item: WorkItem): void {
    this.#items.delete(item.id);
    const left = this.#classes.get(item.class)?.size ?? 0;
    if (left === 0) this.#credits.delete(item.class);
  }

  #rankOf(queue: ClassQueue): number {
    return this.#policy.classPolicy(queue.name).rank;
  }
}
