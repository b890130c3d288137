/**
 * The queue of one target: classes in strict order with floors.
 *
 * @module
 */
import { ClassQueue, type ShareWeights } from "./class_queue.ts";
import type { WorkItem } from "./work_item.ts";

/** Order and floor of a class. */
export interface ClassPolicy {
  readonly rank: number;
  /** Part of the work (0 to 1) that the class gets while it has any waiting. */
  readonly floor: number;
}

/** Where the queue finds its policy. */
export interface QueuePolicy extends ShareWeights {
  classPolicy(name: string): ClassPolicy;
}

/** Most items looked at for one that fits. */
export const MAXIMUM_EXAMINED_ITEMS = 32;

/**
 * Work that waits for one target.
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
  /** Work that each class is owed by its floor. */
  readonly #credits = new Map<string, number>();

  constructor(policy: QueuePolicy) {
    this.#policy = policy;
  }

  /** Items that wait. */
  get size(): number {
    return this.#items.size;
  }

  /** Items of a class that wait. */
  sizeOf(name: string): number {
    return this.#classes.get(name)?.size ?? 0;
  }

  /** Items that go before a new one of the class by strict order. */
  aheadOf(name: string): number {
    const rank = this.#policy.classPolicy(name).rank;
    let ahead = 0;
    for (const each of this.#classes.values()) {
      if (this.#rankOf(each) <= rank) ahead += each.size;
    }
    return ahead;
  }

  /** Adds an item; an identifier that already waits is ignored. */
  push(item: WorkItem): void {
    if (this.#items.has(item.id)) return;
    const queue = this.#classes.get(item.class) ??
      new ClassQueue(item.class, this.#policy);
    this.#classes.set(item.class, queue);
    this.#items.set(item.id, item);
    queue.push(item);
  }

  /** Takes an item out; undefined if it does not wait. */
  remove(id: string): WorkItem | undefined {
    const item = this.#items.get(id);
    if (item === undefined) return undefined;
    this.#classes.get(item.class)?.remove(item);
    this.#dropItem(item);
    return item;
  }

  /** Takes the first item in order that fits, looking at no more than `MAXIMUM_EXAMINED`. */
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

  /** Every item that waits, in the order of arrival. */
  items(): Iterable<WorkItem> {
    return this.#items.values();
  }

  /** Classes owed their floor first, then all by rank. */
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

  /** A class without waiting work is owed nothing. */
  #dropItem(item: WorkItem): void {
    this.#items.delete(item.id);
    const left = this.#classes.get(item.class)?.size ?? 0;
    if (left === 0) this.#credits.delete(item.class);
  }

  #rankOf(queue: ClassQueue): number {
    return this.#policy.classPolicy(queue.name).rank;
  }
}
