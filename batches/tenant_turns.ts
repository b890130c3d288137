/**
 * Turns of tenants whose items wait for the same engines: a tenant with many items must not delay those of others.
 *
 * @module
 */
import type { PlacedRun, PlannedItem } from "./plan_types.ts";

/** The waiting items of one tenant. */
interface TenantQueue {
  readonly items: readonly PlannedItem[];
  next: number;
  /** Slots that its items have, or get before the next turn. */
  slots: number;
}

/**
 * Returns the waiting items such that the next slot goes to the tenant whose items have fewest slots of the same service
 * and priority. The order within a tenant stays; with one tenant, or without any, nothing changes.
 *
 * @example
 * ```ts
 * const next = inTenantTurns(waiting, runs)[0];
 * ```
 */
export function inTenantTurns(
  waiting: readonly PlannedItem[],
  runs: readonly PlacedRun[],
): readonly PlannedItem[] {
  const tenants = new Set(waiting.map(({ tenant }) => tenant ?? null));
  if (tenants.size <= 1) return waiting;
  const groups = new Map<string, PlannedItem[]>();
  for (const item of waiting) {
    const key = groupOf(item);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [item]);
    else group.push(item);
  }
  const turns = new Map<string, Iterator<PlannedItem>>();
  for (const [key, items] of groups) {
    const running = runs.filter(({ item }) => groupOf(item) === key);
    turns.set(key, turnsOf(items, running));
  }
  // The order between services and priorities stays: an item of the same group is at each place.
  return waiting.map((item) => turns.get(groupOf(item))?.next().value ?? item);
}

function* turnsOf(
  waiting: readonly PlannedItem[],
  runs: readonly PlacedRun[],
): Generator<PlannedItem> {
  const items = new Map<string | null, PlannedItem[]>();
  for (const item of waiting) {
    const tenant = item.tenant ?? null;
    const own = items.get(tenant);
    if (own === undefined) items.set(tenant, [item]);
    else own.push(item);
  }
  const queues = [...items].map(([tenant, own]): TenantQueue => ({
    items: own,
    next: 0,
    slots: runs.filter(({ item }) => (item.tenant ?? null) === tenant).length,
  }));
  for (const _ of waiting) {
    const queue = fewestSlots(queues);
    const item = queue?.items[queue.next];
    if (queue === undefined || item === undefined) return;
    queue.next += 1;
    queue.slots += 1;
    yield item;
  }
}

/** Returns the queue that is next; the first one of equal ones has the most urgent item. */
function fewestSlots(queues: readonly TenantQueue[]): TenantQueue | undefined {
  let fewest: TenantQueue | undefined;
  for (const queue of queues) {
    if (queue.next >= queue.items.length) continue;
    if (queue.slots < (fewest?.slots ?? Infinity)) fewest = queue;
  }
  return fewest;
}

function groupOf({ service, priority }: PlannedItem): string {
  return `${priority} ${service}`;
}
