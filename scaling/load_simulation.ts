/**
 * Simulates batches on upstreams that are lost, reclaimed, partitioned or too few, without a network, and compares the
 * autoscaler with a fixed fleet: the part of the items that end in time, and the cost of the upstreams.
 * `node build/scaling/load_simulation.js` prints a table.
 *
 * @module
 */
import process from "node:process";
import { fileURLToPath } from "node:url";
import {
  type Milliseconds,
  type RandomSource,
  SECOND_MS,
  SeededRandom,
} from "#core";
import { ScalingWorld, SERVICE, type WorldUpstream } from "./scaling_world.ts";
import { subjectKey } from "./upstream_order_port.ts";

const TICK_MS: Milliseconds = 100;
const STEP_INTERVAL_MS: Milliseconds = 4 * SECOND_MS;
const DUE_MS: Milliseconds = 7.5 * SECOND_MS;
const MEAN_WORK_MS: Milliseconds = 1_200;
/** Part of the works that are long, and how many times longer. */
const TAIL_SHARE = 0.1;
const TAIL_FACTOR = 3;
const SLOTS = 8;
const DURATION_S = 600;
const FAULT_S = 60;
const FLEET = {
  a: { normal: 3, spot: 2 },
  b: { normal: 3, spot: 2 },
  c: { normal: 3, spot: 2 },
};

/** A course of events that a simulation runs. */
export interface Scenario {
  readonly name: string;
  /** Load as a part of the capacity at the start. */
  readonly load: (second: number) => number;
  /** Called at the beginning of each second. */
  readonly act: (world: ScalingWorld, second: number) => void;
}

/** Results of a simulation. */
export interface SimulationResult {
  readonly items: number;
  readonly inTime: number;
  /** Cost in seconds of an upstream with price 1. */
  readonly cost: number;
  readonly orders: number;
  /** Most upstreams that served at a time. */
  readonly most: number;
}

interface Item {
  readonly dueMs: Milliseconds;
  leftMs: Milliseconds;
  on: WorldUpstream | undefined;
}

/** The scenarios of the design page. */
export const SCENARIOS: readonly Scenario[] = [
  scenario("steady", 0.6, () => {}),
  scenario("short crashes", 0.6, (world, second) => {
    if (second % 20 !== 0) return;
    for (const each of world.ready().slice(0, 2)) world.crash(each, 3_000);
  }),
  scenario("four lost", 0.8, (world, second) => {
    if (second === FAULT_S) loseFour(world);
  }),
  scenario("spot of a zone reclaimed", 0.8, (world, second) => {
    if (second === FAULT_S) reclaimAll(world, ["a"]);
  }),
  scenario("all spot reclaimed", 0.8, (world, second) => {
    if (second === FAULT_S) reclaimAll(world, ["a", "b", "c"]);
  }),
  {
    ...scenario("twice the load for 3 min", 0.7, () => {}),
    load: (second) => second >= FAULT_S && second < 4 * FAULT_S ? 1.4 : 0.7,
  },
  scenario("a zone partitioned for 1 min", 0.6, (world, second) => {
    if (second === FAULT_S) world.partition("c");
    if (second === 2 * FAULT_S) world.partitioned.clear();
  }),
  scenario("four lost, new holder", 0.8, (world, second) => {
    if (second === FAULT_S) loseFour(world);
    if (second === FAULT_S + 12) world.changeHolder("c2");
  }),
  scenario("four lost, API silent for 30 s", 0.8, (world, second) => {
    if (second === FAULT_S) {
      loseFour(world);
      world.api = "silent";
    }
    if (second === FAULT_S + 30) world.api = "up";
  }),
];

/** Runs a scenario, with or without the autoscaler. */
export async function simulate(
  { load, act }: Scenario,
  options: { readonly scaled: boolean; readonly seed: number },
): Promise<SimulationResult> {
  const world = new ScalingWorld(FLEET);
  if (options.scaled) {
    world.startHolder("c1");
    world.startHolder("c2");
  }
  const random = new SeededRandom(options.seed);
  const capacity = world.ready().length * SLOTS;
  const work = new Work(world, random);
  let cost = 0;
  let most = 0;
  for (let second = 0; second < DURATION_S; second += 1) {
    act(world, second);
    const stepS = STEP_INTERVAL_MS / SECOND_MS;
    if (second % stepS === 0) work.submit(load(second) * capacity);
    for (let tick = 0; tick < SECOND_MS / TICK_MS; tick += 1) work.advance();
    world.load = work.load();
    cost += costOf(world);
    most = Math.max(most, world.ready().length);
    await world.clock.advanceAsync(SECOND_MS);
  }
  const { items, inTime } = work;
  return { items, inTime, cost, orders: world.orders.length, most };
}

/** The items of the steps, and their runs. */
class Work {
  items = 0;
  inTime = 0;
  readonly #world: ScalingWorld;
  readonly #random: RandomSource;
  #open: Item[] = [];
  #nowMs: Milliseconds;

  constructor(world: ScalingWorld, random: RandomSource) {
    this.#world = world;
    this.#random = random;
    this.#nowMs = world.clock.nowMs();
  }

  /** Submits a step that occupies so many slots until the next one. */
  submit(slots: number): void {
    let totalMs = slots * STEP_INTERVAL_MS;
    while (totalMs > 0) {
      const isLong = this.#random.fraction() < TAIL_SHARE;
      const factor = isLong ? TAIL_FACTOR : 1;
      const leftMs = MEAN_WORK_MS * factor * (0.5 + this.#random.fraction());
      const dueMs = this.#nowMs + DUE_MS;
      this.#open.push({ dueMs, leftMs, on: undefined });
      totalMs -= leftMs;
    }
  }

  /** Lets the items run for one tick, those due first. Late items are dropped. */
  advance(): void {
    this.#nowMs += TICK_MS;
    const serving = this.#world.ready().filter(({ zone }) =>
      !this.#world.partitioned.has(zone)
    );
    const free = new Map(serving.map((each) => [each, SLOTS]));
    for (const item of this.#open) {
      const left = item.on === undefined ? undefined : free.get(item.on);
      if (item.on === undefined || left === undefined) item.on = undefined;
      else free.set(item.on, left - 1);
    }
    const open: Item[] = [];
    for (const item of this.#open) {
      if (item.on === undefined) item.on = claimSlot(free);
      if (item.on !== undefined) item.leftMs -= TICK_MS;
      if (item.leftMs <= 0) this.inTime += 1;
      if (item.leftMs <= 0 || item.dueMs <= this.#nowMs) this.items += 1;
      else open.push(item);
    }
    this.#open = open;
  }

  load(): ScalingWorld["load"] {
    let workMs = 0;
    let needed = 0;
    for (const { leftMs, dueMs } of this.#open) {
      workMs += leftMs;
      const timeMs = dueMs - this.#nowMs;
      if (leftMs <= timeMs) needed = Math.max(needed, workMs / timeMs);
    }
    const running = this.#open.filter(({ on }) => on !== undefined).length;
    return {
      service: SERVICE,
      queued: this.#open.length - running,
      running,
      neededSlots: Math.min(this.#open.length, Math.ceil(needed)),
    };
  }
}

function scenario(
  name: string,
  load: number,
  act: Scenario["act"],
): Scenario {
  return { name, load: () => load, act };
}

function loseFour(world: ScalingWorld): void {
  for (const each of world.ready().slice(0, 4)) world.crash(each, null);
}

/** Reclaims the spot upstreams of some zones; none are available from then on. */
function reclaimAll(world: ScalingWorld, zones: readonly string[]): void {
  for (const zone of zones) {
    world.reclaim(zone);
    world.unavailable.add(subjectKey({ service: SERVICE, zone, spot: true }));
  }
}

function claimSlot(
  free: Map<WorldUpstream, number>,
): WorldUpstream | undefined {
  for (const [upstream, slots] of free) {
    if (slots === 0) continue;
    free.set(upstream, slots - 1);
    return upstream;
  }
  return undefined;
}

function costOf(world: ScalingWorld): number {
  const { zonePrices, spotPriceRatio } = world.rule;
  let cost = 0;
  for (const { zone, spot, state } of world.upstreams) {
    if (state === "gone" || state === "down") continue;
    cost += (zonePrices[zone] ?? 1) * (spot ? spotPriceRatio ?? 1 : 1);
  }
  return cost;
}

async function main(): Promise<void> {
  console.log("scenario | in time, fixed | scaled | cost, fixed | scaled");
  for (const each of SCENARIOS) {
    const fixed = await simulate(each, { scaled: false, seed: 1 });
    const scaled = await simulate(each, { scaled: true, seed: 1 });
    const share = ({ inTime, items }: SimulationResult): string =>
      (inTime / items).toFixed(4);
    console.log(
      `${each.name} | ${share(fixed)} | ${share(scaled)} | ` +
        `${fixed.cost.toFixed(0)} | ${scaled.cost.toFixed(0)}, ` +
        `${scaled.orders} orders, up to ${scaled.most} upstreams`,
    );
  }
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await main();
