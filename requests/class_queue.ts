/**
 * The queue of one class, with weighted fair queueing among tenants and, within a tenant, among trainers.
 *
 * @module
 */
import type { WorkItem } from "./work_item.ts";

/** Fair-share weights of the tenants and trainers of a class. */
export interface ShareWeights {
  tenantWeight(name: string): number;
  trainerWeight(name: string): number;
}

/** Number of items that a search may still examine. */
export interface SearchBudget {
  remaining: number;
}

const MINIMUM_WEIGHT = 1e-6;

/** Holds the waiting items of one class. */
export class ClassQueue {
  readonly name: string;
  readonly #weights: ShareWeights;
  readonly #tenants = new Map<string, TenantFlow>();
  readonly #clock = new VirtualClock();
  #size = 0;

  constructor(name: string, weights: ShareWeights) {
    this.name = name;
    this.#weights = weights;
  }

  /** Number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** Appends an item to the items of the same tenant, trainer and urgency. */
  push(item: WorkItem): void {
    const tenant = this.#tenants.get(item.tenant) ?? new TenantFlow();
    this.#tenants.set(item.tenant, tenant);
    if (tenant.size === 0) tenant.start = this.#clock.join(tenant.start);
    tenant.push(item);
    this.#size += 1;
  }

  /** Removes an item without charging its tenant and trainer. */
  remove(item: WorkItem): void {
    if (this.#tenants.get(item.tenant)?.remove(item) === true) this.#size -= 1;
  }

  /** Returns the first item in order that fits, without removing it. */
  find(
    fits: (item: WorkItem) => boolean,
    budget: SearchBudget,
  ): WorkItem | undefined {
    for (const tenant of byStartTime(this.#tenants)) {
      const item = tenant.find(fits, budget);
      if (item !== undefined || budget.remaining <= 0) return item;
    }
    return undefined;
  }

  /** Removes an item and charges its cost to its tenant and trainer. */
  charge(item: WorkItem): void {
    const tenant = this.#tenants.get(item.tenant);
    if (tenant === undefined) return;
    this.#clock.advanceTo(tenant.start);
    tenant.start += weightedCost(
      item.cost,
      this.#weights.tenantWeight(item.tenant),
    );
    const weight = item.trainer === null
      ? 1
      : this.#weights.trainerWeight(item.trainer);
    tenant.charge(item, weightedCost(item.cost, weight));
    this.remove(item);
  }

  /** Returns all items, in no particular order. */
  *items(): Iterable<WorkItem> {
    for (const tenant of this.#tenants.values()) yield* tenant.items();
  }
}

/** Virtual clock of start-time fair queueing: the flow with the lowest start time is served next. */
class VirtualClock {
  #now = 0;

  /** Returns the start time of a flow that becomes active; idle time earns no credit. */
  join(start: number): number {
    return Math.max(start, this.#now);
  }

  advanceTo(start: number): void {
    this.#now = Math.max(this.#now, start);
  }
}

class TenantFlow {
  start = 0;
  size = 0;
  readonly #clock = new VirtualClock();
  readonly #trainers = new Map<string, TrainerFlow>();

  push(item: WorkItem): void {
    const name = item.trainer ?? "";
    const flow = this.#trainers.get(name) ?? new TrainerFlow();
    this.#trainers.set(name, flow);
    if (flow.size === 0) flow.start = this.#clock.join(flow.start);
    flow.queueFor(item).set(item.id, item);
    this.size += 1;
  }

  remove(item: WorkItem): boolean {
    const flow = this.#trainers.get(item.trainer ?? "");
    if (flow?.queueFor(item).delete(item.id) !== true) return false;
    this.size -= 1;
    return true;
  }

  find(
    fits: (item: WorkItem) => boolean,
    budget: SearchBudget,
  ): WorkItem | undefined {
    for (const flow of byStartTime(this.#trainers)) {
      for (const item of flow.items()) {
        if (budget.remaining <= 0) return undefined;
        budget.remaining -= 1;
        if (fits(item)) return item;
      }
    }
    return undefined;
  }

  charge(item: WorkItem, amount: number): void {
    const flow = this.#trainers.get(item.trainer ?? "");
    if (flow === undefined) return;
    this.#clock.advanceTo(flow.start);
    flow.start += amount;
  }

  *items(): Iterable<WorkItem> {
    for (const flow of this.#trainers.values()) yield* flow.items();
  }
}

class TrainerFlow {
  start = 0;
  readonly #urgent = new Map<string, WorkItem>();
  readonly #regular = new Map<string, WorkItem>();

  get size(): number {
    return this.#urgent.size + this.#regular.size;
  }

  queueFor(item: WorkItem): Map<string, WorkItem> {
    return item.urgent ? this.#urgent : this.#regular;
  }

  *items(): Iterable<WorkItem> {
    yield* this.#urgent.values();
    yield* this.#regular.values();
  }
}

function byStartTime<
  F extends { readonly start: number; readonly size: number },
>(
  flows: ReadonlyMap<string, F>,
): readonly F[] {
  const waiting: F[] = [];
  for (const flow of flows.values()) {
    if (flow.size > 0) waiting.push(flow);
  }
  if (waiting.length < 2) return waiting;
  return waiting.sort((a, b) => a.start - b.start);
}

function weightedCost(cost: number, weight: number): number {
  return cost / Math.max(MINIMUM_WEIGHT, weight);
}
