/**
 * The weights coordinator: on the leading control VM it brings engines to the published versions, in
 * waves, with fenced orders that are read back.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import {
  type AcceptedBundle,
  type Clock,
  type EventLog,
  type Metrics,
  type Milliseconds,
  type ModelEntry,
  type OrderView,
  type RandomSource,
  SECOND_MS,
  type Timer,
  type UpstreamRecord,
} from "#core";
import {
  announcedVersion,
  EngineMemory,
  isWished,
  READ_MS,
} from "./engine_memory.ts";
import { type EnginePort, HttpEnginePort } from "./engine_port.ts";
import { WEIGHTS_EVENTS } from "./events.ts";
import {
  beginLeadership,
  firstOrderMs,
  forgetEngines,
  keyOf,
  type Leadership,
  ORDER_TIMEOUT_MS,
} from "./leadership.ts";
import type { OrdersReply, Wish } from "./orders_machine.ts";
import { publishedVersions } from "./published_versions.ts";
import { type RolloutPlan, WavePlan } from "./rollout_plan.ts";

const TICK_MS: Milliseconds = 100;
/** An order with less time left under the lease isn't begun. */
const SHORTEST_ORDER_MS: Milliseconds = 50;
const READ_LIMIT_MS: Milliseconds = 2_000;
/** Most engines forgotten at once. */
const FORGET_BATCH = 1_024;
/** Readings of engines that load, all together. */
const READINGS_PER_SECOND = 200;
/** Most readings at once. */
const MAXIMUM_READINGS = 128;

/** What the coordinator is built from. */
export interface WeightsCoordinatorOptions {
  readonly vm: string;
  /** Address from which engines are called. */
  readonly sourceHost: string;
  readonly log: ReplicatedLog;
  readonly bundle: () => AcceptedBundle | null;
  readonly upstreams: () => ReadonlyMap<string, UpstreamRecord>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Engines over HTTP unless given. */
  readonly engines?: EnginePort;
  /** Waves unless given. */
  readonly makePlan?: () => RolloutPlan;
}

/** How far one model is. */
export interface ModelRollout {
  readonly model: string;
  readonly version: number;
  readonly engines: number;
  readonly serving: number;
  readonly loading: number;
}

/** What the coordinator tells of itself. */
export interface WeightsStatus {
  readonly leading: boolean;
  readonly orders: readonly OrderView[];
  readonly models: readonly ModelRollout[];
}

/** Gives orders while this VM leads. */
export class WeightsCoordinator {
  readonly #options: WeightsCoordinatorOptions;
  readonly #engines: EnginePort;
  #timer: Timer | null = null;
  #leadership: Leadership | null = null;
  #rollouts: readonly ModelRollout[] = [];
  #busy = false;
  readonly #gauge;

  constructor(options: WeightsCoordinatorOptions) {
    this.#options = options;
    this.#gauge = options.metrics.gauge({
      name: "cicadafield_rollout_engines",
      help: "Engines of a model by state, on the leading control VM.",
      labels: ["model", "state"],
    });
    this.#engines = options.engines ?? new HttpEnginePort(options);
  }

  /** Begins to watch for leadership. */
  start(): void {
    this.#timer ??= this.#options.clock.every(TICK_MS, () => {
      void this.#tick();
    });
  }

  /** Gives no more orders. */
  stop(): void {
    this.#timer?.cancel();
    this.#timer = null;
    this.#leadership = null;
    if (this.#engines instanceof HttpEnginePort) this.#engines.close();
  }

  /** What is known here; orders and models are empty unless this VM leads. */
  status(): WeightsStatus {
    return {
      leading: this.#leadership !== null,
      orders: [...this.#leadership?.orders.values() ?? []],
      models: this.#leadership === null ? [] : this.#rollouts,
    };
  }

  async #tick(): Promise<void> {
    if (this.#busy) return;
    this.#busy = true;
    try {
      await this.#advance();
    } finally {
      this.#busy = false;
    }
  }

  async #advance(): Promise<void> {
    const { clock, log } = this.#options;
    if (log.leaseUntilMs() <= clock.nowMs()) {
      this.#loseLeadership();
      return;
    }
    const leadership = this.#leadership ?? await this.#takeLeadership();
    if (leadership === null) return;
    const published = await publishedVersions(log);
    if (published === null || this.#leadership !== leadership) return;
    const rollouts: ModelRollout[] = [];
    const models = this.#options.bundle()?.signed.bundle.models ?? [];
    for (const model of models) {
      const version = published.get(model.name);
      if (version === undefined) continue;
      rollouts.push(await this.#rollOut(leadership, model, version));
    }
    this.#rollouts = rollouts;
    await this.#forget(leadership);
  }

  /** Drops the orders of engines that are gone, so that their number stays bounded. */
  async #forget(leadership: Leadership): Promise<void> {
    const gone = leadership.goneEngines.find({
      ordered: [...leadership.orders.values()].map((order) => order.upstream),
      known: this.#options.upstreams(),
      nowMs: this.#options.clock.nowMs(),
    });
    if (gone.length === 0) return;
    const upstreams = gone.slice(0, FORGET_BATCH);
    const reply = await this.#options.log.propose({
      machine: "orders",
      command: { kind: "forget", upstreams },
    });
    if (reply.ok) forgetEngines(leadership, new Set(upstreams));
  }

  #loseLeadership(): void {
    if (this.#leadership === null) return;
    this.#leadership = null;
    this.#options.events.emit(WEIGHTS_EVENTS.leadershipLost);
  }

  async #takeLeadership(): Promise<Leadership | null> {
    const { log, clock, events } = this.#options;
    const answer = await log.query({ machine: "orders", question: null });
    if (answer.err) return null;
    const { orders } = answer.val as OrdersReply;
    const leadership = beginLeadership(orders, clock.nowMs());
    this.#leadership = leadership;
    events.emit(WEIGHTS_EVENTS.leadershipAcquired, { orders: orders.length });
    return leadership;
  }

  async #rollOut(
    leadership: Leadership,
    model: ModelEntry,
    version: number,
  ): Promise<ModelRollout> {
    const memories = this.#engineMemories(leadership, model.name);
    this.#readBack(leadership, memories);
    const views = memories.map((memory) => memory.view());
    const engines = views.filter((view) => view !== null);
    const plan = leadership.plans.get(model.name) ??
      (this.#options.makePlan?.() ?? new WavePlan());
    leadership.plans.set(model.name, plan);
    const chosen = plan.selectEngines(
      engines,
      { ...model, version },
      this.#options.clock.nowMs(),
    );
    const wishes = chosen.map((upstream) => ({
      upstream,
      model: model.name,
      version,
    }));
    if (wishes.length > 0) await this.#order(leadership, wishes);
    const serving = engines.filter((view) => view.serving === version).length;
    const loading = engines.filter((view) => view.loading).length;
    this.#gauge.set({ model: model.name, state: "serving" }, serving);
    this.#gauge.set({ model: model.name, state: "loading" }, loading);
    this.#gauge.set({ model: model.name, state: "all" }, memories.length);
    if (memories.length > 0 && serving === memories.length) {
      this.#noteDone(leadership, model.name, version);
    }
    const counts = { engines: memories.length, serving, loading };
    return { model: model.name, version, ...counts };
  }

  #noteDone(leadership: Leadership, model: string, version: number): void {
    if (leadership.done.get(model) === version) return;
    leadership.done.set(model, version);
    this.#options.events.emit(WEIGHTS_EVENTS.rolloutCompleted, {
      model,
      version,
    });
  }

  /** Engines of a model: those that announce it, and those that were ordered to serve it. */
  #engineMemories(
    leadership: Leadership,
    model: string,
  ): readonly EngineMemory[] {
    const memories: EngineMemory[] = [];
    for (const record of this.#options.upstreams().values()) {
      if (record.role !== "engine" || record.leaving) continue;
      const key = keyOf({ upstream: record.id, model });
      const announced = announcedVersion(record, model) !== null;
      const known = leadership.memories.get(key);
      if (!announced && !leadership.orders.has(key)) continue;
      if (known === undefined) {
        const memory = new EngineMemory(record, {
          model,
          restUntilMs: firstOrderMs(leadership, record),
        });
        leadership.memories.set(key, memory);
        memories.push(memory);
        continue;
      }
      known.announce(record);
      memories.push(known);
    }
    return memories;
  }

  #readBack(leadership: Leadership, memories: readonly EngineMemory[]): void {
    const nowMs = this.#options.clock.nowMs();
    const paceMs = memories.length * SECOND_MS / READINGS_PER_SECOND;
    const loadingReadMs = Math.max(READ_MS, paceMs);
    for (const memory of memories) {
      if (leadership.readings >= MAXIMUM_READINGS) return;
      if (!memory.needsReading(nowMs, loadingReadMs)) continue;
      leadership.readings += 1;
      void this.#read(leadership, memory);
    }
  }

  async #read(leadership: Leadership, memory: EngineMemory): Promise<void> {
    const { clock, events } = this.#options;
    const begunAtMs = clock.nowMs();
    memory.beginReading();
    const state = await this.#engines.state(
      memory.record.address,
      READ_LIMIT_MS,
    );
    leadership.readings -= 1;
    const nowMs = clock.nowMs();
    if (state.err) {
      memory.readFailed(nowMs);
      return;
    }
    const outcome = memory.read(state.val, { begunAtMs, nowMs });
    if (outcome !== "failed") return;
    events.emit(WEIGHTS_EVENTS.loadFailed, { upstream: memory.record.id });
  }

  /** Commits the wishes that are new, then gives the orders. */
  async #order(
    leadership: Leadership,
    wishes: readonly Wish[],
  ): Promise<void> {
    const fresh = wishes.filter((wish) =>
      leadership.refused.has(keyOf(wish)) ||
      !isWished(leadership.orders.get(keyOf(wish)), wish.version)
    );
    if (fresh.length > 0) {
      const reply = await this.#options.log.propose({
        machine: "orders",
        command: { kind: "wish", wishes: fresh },
      });
      if (reply.err) return;
      for (const order of (reply.val as OrdersReply).orders) {
        leadership.orders.set(keyOf(order), order);
        leadership.refused.delete(keyOf(order));
      }
    }
    for (const wish of wishes) {
      const order = leadership.orders.get(keyOf(wish));
      const memory = leadership.memories.get(keyOf(wish));
      if (order === undefined || memory === undefined) continue;
      void this.#give(leadership, memory, order);
    }
  }

  async #give(
    leadership: Leadership,
    memory: EngineMemory,
    order: OrderView,
  ): Promise<void> {
    const { clock, events, log } = this.#options;
    const nowMs = clock.nowMs();
    const leftMs = log.leaseUntilMs() - nowMs;
    const limitMs = Math.min(ORDER_TIMEOUT_MS, leftMs);
    if (this.#leadership !== leadership || limitMs < SHORTEST_ORDER_MS) return;
    memory.ordered(order.version, nowMs);
    events.emit(WEIGHTS_EVENTS.orderSent, { ...order });
    const result = await this.#engines.sendOrder(
      memory.record.address,
      order,
      limitMs,
    );
    if (result.ok) return;
    const refused = result.val.kind === "stale_fence";
    events.emit(
      refused ? WEIGHTS_EVENTS.orderRejected : WEIGHTS_EVENTS.orderFailed,
      { ...order, reason: result.val.message },
    );
    if (refused) leadership.refused.add(keyOf(order));
    memory.orderFailed(clock.nowMs());
  }
}
