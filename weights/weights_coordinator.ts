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
  type EngineOrder,
  type EventLog,
  type Metrics,
  type Milliseconds,
  type ModelEntry,
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
  readonly orders: readonly EngineOrder[];
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
    const leaderState = this.#leaderState ?? await this.#startLeading();
    if (leaderState === null) return;
    const published = await queryPublishedVersions(log);
    if (published === null || this.#leaderState !== leaderState) return;
    const rollouts: ModelRollout[] = [];
    const models = this.#options.bundle()?.signed.bundle.models ?? [];
    for (const model of models) {
      const version = published.get(model.name);
      if (version === undefined) continue;
      rollouts.push(await this.#rollOutModel(leaderState, model, version));
    }
    this.#rollouts = rollouts;
    await this.#removeDepartedEngines(leaderState);
  }

  /** Removes the orders of departed engines, so that the number of orders stays bounded. */
  async #removeDepartedEngines(leaderState: LeaderState): Promise<void> {
    const departed = leaderState.departedEngineDetector.findDeparted({
      orderedEngines: [...leaderState.orders.values()].map((order) =>
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
    if (reply.ok) removeEngines(leaderState, new Set(upstreams));
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
    const leaderState = createLeaderState(orders, clock.nowMs());
    this.#leaderState = leaderState;
    events.emit(WEIGHTS_EVENTS.leadershipAcquired, { orders: orders.length });
    return leaderState;
  }

  async #rollOutModel(
    leaderState: LeaderState,
    model: ModelEntry,
    version: number,
  ): Promise<ModelRollout> {
    const trackers = this.#engineTrackers(leaderState, model.name);
    this.#pollEngines(leaderState, trackers);
    const engineStates = trackers.map((tracker) => tracker.rolloutEngine());
    const engines = engineStates.filter((view) => view !== null);
    const plan = leaderState.plans.get(model.name) ??
      (this.#options.createPlan?.() ?? new WavePlan());
    leaderState.plans.set(model.name, plan);
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
    if (wishes.length > 0) await this.#commitAndSendOrders(leaderState, wishes);
    const serving = engines.filter((view) => view.serving === version).length;
    const loading = engines.filter((view) => view.loading).length;
    this.#enginesGauge.set({ model: model.name, state: "serving" }, serving);
    this.#enginesGauge.set({ model: model.name, state: "loading" }, loading);
    this.#enginesGauge.set(
      { model: model.name, state: "all" },
      trackers.length,
    );
    if (trackers.length > 0 && serving === trackers.length) {
      this.#recordCompletion(leaderState, model.name, version);
    }
    const counts = { engines: trackers.length, serving, loading };
    return { model: model.name, version, ...counts };
  }

  #recordCompletion(
    leaderState: LeaderState,
    model: string,
    version: number,
  ): void {
    if (leaderState.completedVersions.get(model) === version) return;
    leaderState.completedVersions.set(model, version);
    this.#options.events.emit(WEIGHTS_EVENTS.rolloutCompleted, {
      model,
      version,
    });
  }

  /** Returns the trackers of a model: of engines that announce it or have an order to serve it. */
  #engineTrackers(
    leaderState: LeaderState,
    model: string,
  ): readonly EngineTracker[] {
    const trackers: EngineTracker[] = [];
    for (const record of this.#options.upstreams().values()) {
      if (record.role !== "engine" || record.leaving) continue;
      const key = orderKey({ upstream: record.id, model });
      const announced = announcedVersion(record, model) !== null;
      const known = leaderState.trackers.get(key);
      if (!announced && !leaderState.orders.has(key)) continue;
      if (known === undefined) {
        const tracker = new EngineTracker(record, {
          model,
          earliestOrderMs: earliestOrderMs(leaderState, record),
        });
        leaderState.trackers.set(key, tracker);
        trackers.push(tracker);
        continue;
      }
      known.updateRecord(record);
      trackers.push(known);
    }
    return trackers;
  }

  #pollEngines(
    leaderState: LeaderState,
    trackers: readonly EngineTracker[],
  ): void {
    const nowMs = this.#options.clock.nowMs();
    const pollCycleMs = trackers.length * SECOND_MS / LOADING_POLLS_PER_SECOND;
    const loadingPollIntervalMs = Math.max(
      MINIMUM_POLL_INTERVAL_MS,
      pollCycleMs,
    );
    for (const tracker of trackers) {
      if (leaderState.activePolls >= MAXIMUM_CONCURRENT_POLLS) return;
      if (!tracker.needsPoll(nowMs, loadingPollIntervalMs)) continue;
      leaderState.activePolls += 1;
      void this.#pollEngine(leaderState, tracker);
    }
  }

  async #pollEngine(
    leaderState: LeaderState,
    tracker: EngineTracker,
  ): Promise<void> {
    const { clock, events } = this.#options;
    const startedAtMs = clock.nowMs();
    tracker.startPoll();
    const state = await this.#engines.readState(
      tracker.record.address,
      POLL_TIMEOUT_MS,
    );
    leaderState.activePolls -= 1;
    const nowMs = clock.nowMs();
    if (state.err) {
      tracker.recordPollFailure(nowMs);
      return;
    }
    const outcome = tracker.recordPoll(state.val, {
      startedAtMs,
      nowMs,
    });
    if (outcome !== "failed") return;
    events.emit(WEIGHTS_EVENTS.loadFailed, { upstream: tracker.record.id });
  }

  /** Commits the desired versions that are new or were rejected, then sends the orders. */
  async #commitAndSendOrders(
    leaderState: LeaderState,
    desiredVersions: readonly DesiredVersion[],
  ): Promise<void> {
    const uncommitted = desiredVersions.filter((desired) =>
      leaderState.rejectedOrders.has(orderKey(desired)) ||
      !isOrderForVersion(
        leaderState.orders.get(orderKey(desired)),
        desired.version,
      )
    );
    if (uncommitted.length > 0) {
      const reply = await this.#options.log.propose({
        machine: "orders",
        command: { kind: "wish", wishes: uncommitted },
      });
      if (reply.err) return;
      for (const order of (reply.val as OrdersReply).orders) {
        leaderState.orders.set(orderKey(order), order);
        leaderState.rejectedOrders.delete(orderKey(order));
      }
    }
    for (const desired of desiredVersions) {
      const order = leaderState.orders.get(orderKey(desired));
      const tracker = leaderState.trackers.get(orderKey(desired));
      if (order === undefined || tracker === undefined) continue;
      void this.#sendOrder(leaderState, tracker, order);
    }
  }

  async #sendOrder(
    leaderState: LeaderState,
    tracker: EngineTracker,
    order: EngineOrder,
  ): Promise<void> {
    const { clock, events, log } = this.#options;
    const nowMs = clock.nowMs();
    const leftMs = log.leaseUntilMs() - nowMs;
    const limitMs = Math.min(ORDER_TIMEOUT_MS, leftMs);
    if (
      this.#leaderState !== leaderState || limitMs < MINIMUM_ORDER_TIMEOUT_MS
    ) return;
    tracker.recordOrder(order.version, nowMs);
    events.emit(WEIGHTS_EVENTS.orderSent, { ...order });
    const result = await this.#engines.sendOrder(
      tracker.record.address,
      order,
      limitMs,
    );
    if (result.ok) return;
    const isRejected = result.val.kind === "stale_fence";
    events.emit(
      isRejected ? WEIGHTS_EVENTS.orderRejected : WEIGHTS_EVENTS.orderFailed,
      { ...order, reason: result.val.message },
    );
    if (isRejected) leaderState.rejectedOrders.add(orderKey(order));
    tracker.recordOrderFailure(clock.nowMs());
  }
}
