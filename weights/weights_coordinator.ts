/**
 * The weights coordinator: on the leading control VM it brings engines to the published versions, in waves,
 * with fenced orders whose result is confirmed by polling the engines.
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
  EngineTracker,
  isOrderForVersion,
  MINIMUM_POLL_INTERVAL_MS,
} from "./engine_tracker.ts";
import { type EnginePort, HttpEnginePort } from "./engine_port.ts";
import { WEIGHTS_EVENTS } from "./events.ts";
import {
  createLeaderState,
  earliestOrderMs,
  type LeaderState,
  ORDER_TIMEOUT_MS,
  orderKey,
  removeEngines,
} from "./leader_state.ts";
import type { DesiredVersion, OrdersReply } from "./orders_machine.ts";
import { queryPublishedVersions } from "./published_versions.ts";
import { type RolloutPlan, WavePlan } from "./rollout_plan.ts";

const TICK_INTERVAL_MS: Milliseconds = 100;
/** An order is not sent if less time than this remains under the lease. */
const MINIMUM_ORDER_TIMEOUT_MS: Milliseconds = 50;
const POLL_TIMEOUT_MS: Milliseconds = 2_000;
/** Maximum number of departed engines whose orders are removed by one command. */
const MAXIMUM_REMOVED_ENGINES = 1_024;
/** Rate limit of the polls of loading engines, for all engines of a model together. */
const LOADING_POLLS_PER_SECOND = 200;
/** Maximum number of polls in progress. */
const MAXIMUM_CONCURRENT_POLLS = 128;

/** Options of `WeightsCoordinator`. */
export interface WeightsCoordinatorOptions {
  readonly vm: string;
  /** Local address from which connections to engines are opened. */
  readonly sourceHost: string;
  readonly log: ReplicatedLog;
  readonly bundle: () => AcceptedBundle | null;
  readonly upstreams: () => ReadonlyMap<string, UpstreamRecord>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly metrics: Metrics;
  /** Port to the engines; `HttpEnginePort` by default. */
  readonly engines?: EnginePort;
  /** Creates the rollout plan of a model; `WavePlan` by default. */
  readonly createPlan?: () => RolloutPlan;
}

/** Progress of the rollout of one model. */
export interface ModelRollout {
  readonly model: string;
  readonly version: number;
  readonly engines: number;
  readonly serving: number;
  readonly loading: number;
}

/** Status of the coordinator. */
export interface WeightsStatus {
  readonly leading: boolean;
  readonly orders: readonly OrderView[];
  readonly models: readonly ModelRollout[];
}

/** Sends orders to engines while this VM is the leader. */
export class WeightsCoordinator {
  readonly #options: WeightsCoordinatorOptions;
  readonly #engines: EnginePort;
  #timer: Timer | null = null;
  #leaderState: LeaderState | null = null;
  #rollouts: readonly ModelRollout[] = [];
  #ticking = false;
  readonly #enginesGauge;

  constructor(options: WeightsCoordinatorOptions) {
    this.#options = options;
    this.#enginesGauge = options.metrics.gauge({
      name: "cicadafield_rollout_engines",
      help: "Engines of a model by state, on the leading control VM.",
      labels: ["model", "state"],
    });
    this.#engines = options.engines ?? new HttpEnginePort(options);
  }

  /** Starts the periodic check of the lease and of the rollouts. */
  start(): void {
    this.#timer ??= this.#options.clock.every(TICK_INTERVAL_MS, () => {
      void this.#tick();
    });
  }

  /** Stops sending orders and closes idle connections. */
  stop(): void {
    this.#timer?.cancel();
    this.#timer = null;
    this.#leaderState = null;
    if (this.#engines instanceof HttpEnginePort) this.#engines.close();
  }

  /** Returns the current status; orders and models are empty unless this VM is the leader. */
  status(): WeightsStatus {
    return {
      leading: this.#leaderState !== null,
      orders: [...this.#leaderState?.orders.values() ?? []],
      models: this.#leaderState === null ? [] : this.#rollouts,
    };
  }

  async #tick(): Promise<void> {
    if (this.#ticking) return;
    this.#ticking = true;
    try {
      await this.#advance();
    } finally {
      this.#ticking = false;
    }
  }

  async #advance(): Promise<void> {
    const { clock, log } = this.#options;
    if (log.leaseUntilMs() <= clock.nowMs()) {
      this.#stopLeading();
      return;
    }
    const leadership = this.#leaderState ?? await this.#startLeading();
    if (leadership === null) return;
    const published = await queryPublishedVersions(log);
    if (published === null || this.#leaderState !== leadership) return;
    const rollouts: ModelRollout[] = [];
    const models = this.#options.bundle()?.signed.bundle.models ?? [];
    for (const model of models) {
      const version = published.get(model.name);
      if (version === undefined) continue;
      rollouts.push(await this.#rollOutModel(leadership, model, version));
    }
    this.#rollouts = rollouts;
    await this.#removeDepartedEngines(leadership);
  }

  /** Removes the orders of departed engines, so that the number of orders stays bounded. */
  async #removeDepartedEngines(leadership: LeaderState): Promise<void> {
    const departed = leadership.departedEngineDetector.findDeparted({
      orderedEngines: [...leadership.orders.values()].map((order) =>
        order.upstream
      ),
      registeredEngines: this.#options.upstreams(),
      nowMs: this.#options.clock.nowMs(),
    });
    if (departed.length === 0) return;
    const upstreams = departed.slice(0, MAXIMUM_REMOVED_ENGINES);
    const reply = await this.#options.log.propose({
      machine: "orders",
      command: { kind: "forget", upstreams },
    });
    if (reply.ok) removeEngines(leadership, new Set(upstreams));
  }

  #stopLeading(): void {
    if (this.#leaderState === null) return;
    this.#leaderState = null;
    this.#options.events.emit(WEIGHTS_EVENTS.leadershipLost);
  }

  async #startLeading(): Promise<LeaderState | null> {
    const { log, clock, events } = this.#options;
    const answer = await log.query({ machine: "orders", question: null });
    if (answer.err) return null;
    const { orders } = answer.val as OrdersReply;
    const leadership = createLeaderState(orders, clock.nowMs());
    this.#leaderState = leadership;
    events.emit(WEIGHTS_EVENTS.leadershipAcquired, { orders: orders.length });
    return leadership;
  }

  async #rollOutModel(
    leadership: LeaderState,
    model: ModelEntry,
    version: number,
  ): Promise<ModelRollout> {
    const memories = this.#engineTrackers(leadership, model.name);
    this.#pollEngines(leadership, memories);
    const engineStates = memories.map((memory) => memory.rolloutEngine());
    const engines = engineStates.filter((view) => view !== null);
    const plan = leadership.plans.get(model.name) ??
      (this.#options.createPlan?.() ?? new WavePlan());
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
    if (wishes.length > 0) await this.#commitAndSendOrders(leadership, wishes);
    const serving = engines.filter((view) => view.serving === version).length;
    const loading = engines.filter((view) => view.loading).length;
    this.#enginesGauge.set({ model: model.name, state: "serving" }, serving);
    this.#enginesGauge.set({ model: model.name, state: "loading" }, loading);
    this.#enginesGauge.set(
      { model: model.name, state: "all" },
      memories.length,
    );
    if (memories.length > 0 && serving === memories.length) {
      this.#recordCompletion(leadership, model.name, version);
    }
    const counts = { engines: memories.length, serving, loading };
    return { model: model.name, version, ...counts };
  }

  #recordCompletion(
    leadership: LeaderState,
    model: string,
    version: number,
  ): void {
    if (leadership.completedVersions.get(model) === version) return;
    leadership.completedVersions.set(model, version);
    this.#options.events.emit(WEIGHTS_EVENTS.rolloutCompleted, {
      model,
      version,
    });
  }

  /** Returns the trackers of a model: of engines that announce it or have an order to serve it. */
  #engineTrackers(
    leadership: LeaderState,
    model: string,
  ): readonly EngineTracker[] {
    const memories: EngineTracker[] = [];
    for (const record of this.#options.upstreams().values()) {
      if (record.role !== "engine" || record.leaving) continue;
      const key = orderKey({ upstream: record.id, model });
      const announced = announcedVersion(record, model) !== null;
      const known = leadership.trackers.get(key);
      if (!announced && !leadership.orders.has(key)) continue;
      if (known === undefined) {
        const memory = new EngineTracker(record, {
          model,
          earliestOrderMs: earliestOrderMs(leadership, record),
        });
        leadership.trackers.set(key, memory);
        memories.push(memory);
        continue;
      }
      known.updateRecord(record);
      memories.push(known);
    }
    return memories;
  }

  #pollEngines(
    leadership: LeaderState,
    memories: readonly EngineTracker[],
  ): void {
    const nowMs = this.#options.clock.nowMs();
    const pollCycleMs = memories.length * SECOND_MS / LOADING_POLLS_PER_SECOND;
    const loadingPollIntervalMs = Math.max(
      MINIMUM_POLL_INTERVAL_MS,
      pollCycleMs,
    );
    for (const memory of memories) {
      if (leadership.activePolls >= MAXIMUM_CONCURRENT_POLLS) return;
      if (!memory.needsPoll(nowMs, loadingPollIntervalMs)) continue;
      leadership.activePolls += 1;
      void this.#pollEngine(leadership, memory);
    }
  }

  async #pollEngine(
    leadership: LeaderState,
    memory: EngineTracker,
  ): Promise<void> {
    const { clock, events } = this.#options;
    const startedAtMs = clock.nowMs();
    memory.startPoll();
    const state = await this.#engines.state(
      memory.record.address,
      POLL_TIMEOUT_MS,
    );
    leadership.activePolls -= 1;
    const nowMs = clock.nowMs();
    if (state.err) {
      memory.recordPollFailure(nowMs);
      return;
    }
    const outcome = memory.recordPoll(state.val, {
      startedAtMs,
      nowMs,
    });
    if (outcome !== "failed") return;
    events.emit(WEIGHTS_EVENTS.loadFailed, { upstream: memory.record.id });
  }

  /** Commits the desired versions that are new or were rejected, then sends the orders. */
  async #commitAndSendOrders(
    leadership: LeaderState,
    wishes: readonly DesiredVersion[],
  ): Promise<void> {
    const uncommitted = wishes.filter((wish) =>
      leadership.rejectedOrders.has(orderKey(wish)) ||
      !isOrderForVersion(leadership.orders.get(orderKey(wish)), wish.version)
    );
    if (uncommitted.length > 0) {
      const reply = await this.#options.log.propose({
        machine: "orders",
        command: { kind: "wish", wishes: uncommitted },
      });
      if (reply.err) return;
      for (const order of (reply.val as OrdersReply).orders) {
        leadership.orders.set(orderKey(order), order);
        leadership.rejectedOrders.delete(orderKey(order));
      }
    }
    for (const wish of wishes) {
      const order = leadership.orders.get(orderKey(wish));
      const memory = leadership.trackers.get(orderKey(wish));
      if (order === undefined || memory === undefined) continue;
      void this.#sendOrder(leadership, memory, order);
    }
  }

  async #sendOrder(
    leadership: LeaderState,
    memory: EngineTracker,
    order: OrderView,
  ): Promise<void> {
    const { clock, events, log } = this.#options;
    const nowMs = clock.nowMs();
    const leftMs = log.leaseUntilMs() - nowMs;
    const limitMs = Math.min(ORDER_TIMEOUT_MS, leftMs);
    if (
      this.#leaderState !== leadership || limitMs < MINIMUM_ORDER_TIMEOUT_MS
    ) return;
    memory.recordOrder(order.version, nowMs);
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
    if (refused) leadership.rejectedOrders.add(orderKey(order));
    memory.recordOrderFailure(clock.nowMs());
  }
}
