/**
 * Fuzz model of the admission queue against a sorted array: both must select the same next item, and a class with a
 * floor must receive its share of the work while it has items waiting.
 *
 * @module
 */
import fc from "fast-check";
import { AdmissionQueue, type QueuePolicy, type WorkItem } from "#requests";
import type { FuzzOptions } from "./fuzz.ts";

const CLASSES = {
  drafting: { rank: 1, floor: 0 },
  cards: { rank: 2, floor: 0.2 },
  lookup: { rank: 3, floor: 0.1 },
} as const;
const TENANTS = { tana: 1, agency: 3 } as const;
const TRAINERS = { first: 1, second: 2 } as const;

const POLICY: QueuePolicy = {
  classPolicy: (name) => CLASSES[name as keyof typeof CLASSES],
  tenantWeight: (name) => TENANTS[name as keyof typeof TENANTS],
  trainerWeight: (name) => TRAINERS[name as keyof typeof TRAINERS],
};

type ItemFields = Pick<
  WorkItem,
  "class" | "tenant" | "trainer" | "urgent" | "cost"
>;

type Step =
  | { readonly step: "push"; readonly fields: ItemFields }
  | { readonly step: "take"; readonly refuse: number }
  | { readonly step: "remove"; readonly index: number };

const fieldsArbitrary: fc.Arbitrary<ItemFields> = fc.record({
  class: fc.constantFrom("drafting", "cards", "lookup"),
  tenant: fc.constantFrom("tana", "agency"),
  trainer: fc.constantFrom("first", "second", null),
  urgent: fc.boolean(),
  cost: fc.integer({ min: 1, max: 20 }),
}, { noNullPrototype: true });

const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  fc.record({ step: fc.constant("push" as const), fields: fieldsArbitrary }, {
    noNullPrototype: true,
  }),
  fc.record({
    step: fc.constant("take" as const),
    refuse: fc.constantFrom(0, 0, 2, 3),
  }, { noNullPrototype: true }),
  fc.record({
    step: fc.constant("remove" as const),
    index: fc.nat({ max: 30 }),
  }, { noNullPrototype: true }),
);

/** Runs the fuzz model; on a failed check throws an error with the seed and the shrunk steps. */
export function fuzz(options: FuzzOptions): Promise<void> {
  fc.assert(
    fc.property(
      fc.array(stepArbitrary, { maxLength: 120, size: "max" }),
      (steps) => runSteps(steps),
    ),
    {
      seed: options.seed,
      numRuns: options.runs,
      includeErrorInReport: true,
    },
  );
  fc.assert(
    fc.property(
      fc.array(fieldsArbitrary, { minLength: 20, maxLength: 80, size: "max" }),
      (all) => runBacklog(all),
    ),
    {
      seed: options.seed,
      numRuns: options.runs,
      includeErrorInReport: true,
    },
  );
  return Promise.resolve();
}

function runSteps(steps: readonly Step[]): void {
  const queue = new AdmissionQueue(POLICY);
  const oracle = new SortedArrayOracle();
  for (const [index, step] of steps.entries()) {
    if (step.step === "push") {
      const item = createItem(index, step.fields);
      queue.push(item);
      oracle.push(item);
    } else if (step.step === "remove") {
      const id = `item-${step.index}`;
      assertSame(queue.remove(id)?.id, oracle.remove(id));
    } else {
      const fits = (item: WorkItem): boolean =>
        step.refuse === 0 || Number(item.id.slice(5)) % step.refuse !== 0;
      assertSame(queue.take(fits)?.id, oracle.take(fits));
    }
    assertSame(queue.size, oracle.size);
  }
}

/** Keeps a backlog in every class and checks that each receives its floor of the total cost. */
function runBacklog(all: readonly ItemFields[]): void {
  const queue = new AdmissionQueue(POLICY);
  const cost = 5;
  let createdItems = 0;
  const push = (name: string, fields: ItemFields): void => {
    queue.push(createItem(createdItems, { ...fields, class: name, cost }));
    createdItems += 1;
  };
  const costByClass = new Map<string, number>();
  let totalCost = 0;
  for (const fields of all) {
    for (const name of Object.keys(CLASSES)) {
      while (queue.sizeOf(name) < 3) push(name, fields);
    }
    const item = queue.take(() => true);
    if (item === undefined) throw new Error("the queue returned no item");
    totalCost += item.cost;
    costByClass.set(item.class, (costByClass.get(item.class) ?? 0) + item.cost);
    for (const [name, policy] of Object.entries(CLASSES)) {
      const minimumCost = policy.floor * totalCost - 2 * cost;
      if ((costByClass.get(name) ?? 0) >= minimumCost) continue;
      throw new Error(
        `${name} received ${costByClass.get(name)} of ${totalCost}`,
      );
    }
  }
}

/** Oracle of the queue: sorts all items for each selection. */
class SortedArrayOracle {
  #items: WorkItem[] = [];
  readonly #startTags = new Map<string, number>();
  readonly #virtualTimes = new Map<string, number>();
  readonly #credits = new Map<string, number>();
  readonly #flowOrder: string[] = [];

  get size(): number {
    return this.#items.length;
  }

  push(item: WorkItem): void {
    for (const [flow, group] of flowsOf(item)) {
      if (!this.#flowOrder.includes(flow)) this.#flowOrder.push(flow);
      if (this.#items.some((each) => flowNames(each).includes(flow))) continue;
      const startTag = this.#startTags.get(flow) ?? 0;
      this.#startTags.set(
        flow,
        Math.max(startTag, this.#virtualTimes.get(group) ?? 0),
      );
    }
    this.#items.push(item);
  }

  remove(id: string): string | undefined {
    const item = this.#items.find((each) => each.id === id);
    if (item !== undefined) this.#removeItem(item);
    return item?.id;
  }

  take(fits: (item: WorkItem) => boolean): string | undefined {
    const sorted = this.#sortedItems();
    const item = sorted.slice(0, 32).find(fits);
    if (item === undefined) return undefined;
    for (const name of new Set(this.#items.map((each) => each.class))) {
      const floor = POLICY.classPolicy(name).floor;
      const credit = this.#credits.get(name) ?? 0;
      this.#credits.set(name, credit + floor * item.cost);
    }
    const credit = (this.#credits.get(item.class) ?? 0) - item.cost;
    this.#credits.set(item.class, Math.max(0, credit));
    const [tenant, trainer] = flowsOf(item);
    this.#charge(tenant, item.cost / POLICY.tenantWeight(item.tenant));
    const weight = item.trainer === null
      ? 1
      : POLICY.trainerWeight(item.trainer);
    this.#charge(trainer, item.cost / weight);
    this.#removeItem(item);
    return item.id;
  }

  #charge(flow: readonly [string, string], amount: number): void {
    const [name, group] = flow;
    const startTag = this.#startTags.get(name) ?? 0;
    const clock = this.#virtualTimes.get(group) ?? 0;
    this.#virtualTimes.set(group, Math.max(clock, startTag));
    this.#startTags.set(name, startTag + amount);
  }

  #removeItem(item: WorkItem): void {
    this.#items = this.#items.filter((each) => each !== item);
    if (this.#items.some((each) => each.class === item.class)) return;
    this.#credits.delete(item.class);
  }

  /** Sorts by class below its floor, rank, start tag of the tenant, start tag of the trainer, urgency and arrival. */
  #sortedItems(): readonly WorkItem[] {
    const byRest = [...this.#items].sort((a, b) => this.#compare(a, b));
    const owed = new Set<string>();
    for (const name of new Set(byRest.map((each) => each.class))) {
      const first = byRest.find((each) => each.class === name);
      const credit = this.#credits.get(name) ?? 0;
      if (first !== undefined && credit > 0 && credit >= first.cost) {
        owed.add(name);
      }
    }
    return [
      ...byRest.filter((each) => owed.has(each.class)),
      ...byRest.filter((each) => !owed.has(each.class)),
    ];
  }

  #compare(a: WorkItem, b: WorkItem): number {
    const keysA = this.#sortKeys(a);
    const keysB = this.#sortKeys(b);
    for (const [index, key] of keysA.entries()) {
      const difference = key - (keysB[index] ?? 0);
      if (difference !== 0) return difference;
    }
    return 0;
  }

  #sortKeys(item: WorkItem): readonly number[] {
    const [tenant, trainer] = flowNames(item);
    return [
      POLICY.classPolicy(item.class).rank,
      this.#startTags.get(tenant ?? "") ?? 0,
      this.#flowOrder.indexOf(tenant ?? ""),
      this.#startTags.get(trainer ?? "") ?? 0,
      this.#flowOrder.indexOf(trainer ?? ""),
      item.urgent ? 0 : 1,
      this.#items.indexOf(item),
    ];
  }
}

/** Returns the tenant flow and the trainer flow of an item, each with the group in which it shares capacity. */
function flowsOf(
  item: WorkItem,
): readonly [readonly [string, string], readonly [string, string]] {
  const tenant = `${item.class}/${item.tenant}`;
  return [
    [tenant, item.class],
    [`${tenant}/${item.trainer ?? ""}`, tenant],
  ];
}

function flowNames(item: WorkItem): readonly string[] {
  return flowsOf(item).map(([name]) => name);
}

function createItem(index: number, fields: ItemFields): WorkItem {
  return {
    id: `item-${index}`,
    ...fields,
    target: { kind: "model", name: "m" },
    prefixKey: "",
    minimumVersion: null,
    avoid: [],
    admitted: false,
    arrivedMs: 0,
    deadlineMs: 1_000,
  };
}

function assertSame(actual: unknown, expected: unknown): void {
  if (actual === expected) return;
  throw new Error(`the queue returned ${actual}, the array ${expected}`);
}
