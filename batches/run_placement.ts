/**
 * Decides at intervals which items start on which engines and which runs move, and carries that out.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  type FleetUpstream,
  incarnationOf,
  type Metrics,
  type Milliseconds,
  type RoutingConfiguration,
  type ServiceLoad,
} from "#core";
import { isLimited, type Permits } from "#quotas";
import { type CachedRouteRules, heaviestService } from "#requests";
import { type PlannedStart, planStarts } from "./item_plan.ts";
import { planMoves } from "./move_plan.ts";
import type {
  EngineSnapshot,
  ItemPlanInput,
  PlacedRun,
  PlannedItem,
} from "./plan_types.ts";
import type { ForeignRuns } from "./foreign_runs.ts";
import type { ItemRoutes } from "./item_routes.ts";
import type { ItemRuns } from "./item_runs.ts";
import type { ItemTask } from "./item_task.ts";
import { serviceLoad } from "./service_load.ts";
import { planRestarts } from "./text_restarts.ts";
import { StartQueue } from "./start_queue.ts";
import { WaitingReport } from "./waiting_reasons.ts";

/** Least time between two plans; a plan after a short pause finds several ended runs at once. */
const PLAN_INTERVAL_MS: Milliseconds = 20;
/** Share of the time that plans may take, so that a busy leader still sends its heartbeats. */
const MAXIMUM_PLANNING_SHARE = 0.25;
const ESTIMATED_TOKENS_PER_EVENT = 72;

/** Options of `RunPlacement`. */
export interface RunPlacementOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly runs: ItemRuns;
  /** The tasks of all items in progress by their keys. */
  readonly tasks: ReadonlyMap<string, ItemTask>;
  readonly rules: CachedRouteRules;
  readonly routes: ItemRoutes;
  readonly configuration: () => RoutingConfiguration | null;
  readonly upstreams: () => readonly FleetUpstream[];
  readonly permits: Permits;
  /** How long an engine goes on serving, at least, once it is known to be draining. */
  readonly drainMs: Milliseconds;
  readonly foreignRuns: ForeignRuns;
  /** Returns how late this VM read events lately, at most. */
  readonly readingDelayMs: () => Milliseconds;
  /** Called when a plan is to be made after a time. */
  readonly wakeAfter: (delayMs: Milliseconds) => void;
}

/** Places the items of the leading store VM on engines. */
export class RunPlacement {
  readonly #options: RunPlacementOptions;
  readonly #starts: StartQueue;
  readonly #waiting: WaitingReport;
  /** Services for whose items permits were asked for. */
  #demanding: ReadonlySet<string> = new Set();
  /** Time before which no plan is made. */
  #nextPlanMs: Milliseconds = 0;

  constructor(options: RunPlacementOptions) {
    this.#options = options;
    this.#waiting = new WaitingReport(options);
    this.#starts = new StartQueue({
      clock: options.clock,
      start: ({ item, engine }) => {
        const task = options.tasks.get(item.key);
        if (task === undefined || task.isBusy) return;
        // A permit may have expired since the plan; the item then waits for the next one.
        if (!options.permits.use(engine)) return;
        options.runs.start(task, engine);
      },
      onEmpty: () => options.wakeAfter(0),
    });
  }

  /** Drops planned starts that have not begun, and asks for no more permits. */
  clear(): void {
    this.#starts.clear();
    this.#waiting.clear();
    for (const service of this.#demanding) {
      this.#options.permits.setBacklog(service, { count: 0, priority: 0 });
    }
    this.#demanding = new Set();
  }

  /** Returns the work for each service whose engines can be ordered; undefined if there is no such service. */
  load(): readonly ServiceLoad[] | undefined {
    const services = this.#options.configuration()?.services ?? [];
    const scaled = services.filter(({ engine, scaling }) =>
      engine !== null && scaling !== undefined
    );
    if (scaled.length === 0) return undefined;
    const input = this.#planInput();
    return scaled.map(({ name }) => serviceLoad(name, input));
  }

  /** Makes a plan and carries it out, unless the last one was made just now or still has runs to start. */
  planIfDue(): void {
    if (this.#starts.isBusy) return;
    const { clock } = this.#options;
    const startedMs = clock.nowMs();
    if (startedMs < this.#nextPlanMs) {
      this.#options.wakeAfter(this.#nextPlanMs - startedMs);
      return;
    }
    this.#options.foreignRuns.survey(this.#engines());
    this.#placeRuns();
    const endedMs = clock.nowMs();
    const pauseMs = (endedMs - startedMs) *
      (1 / MAXIMUM_PLANNING_SHARE - 1);
    this.#nextPlanMs = endedMs + Math.max(PLAN_INTERVAL_MS, pauseMs);
  }

  #placeRuns(): void {
    let input = this.#planInput();
    const moves = planMoves(input);
    for (const { key, reason, to } of moves) {
      const task = this.#options.tasks.get(key);
      if (task === undefined) continue;
      this.#options.runs.stopForMove(task, reason);
      if (to !== null) this.#options.runs.start(task, to);
    }
    if (moves.length > 0) input = this.#planInput();
    const restarts = planRestarts(input);
    for (const restart of restarts) {
      const task = this.#options.tasks.get(restart.key);
      if (task !== undefined) this.#options.runs.restartText(task, restart);
    }
    if (restarts.length > 0) input = this.#planInput();
    const starts = planStarts(input);
    this.#starts.add(starts);
    this.#reportWaiting(input, starts);
    this.#demandPermits(input, starts);
  }

  #reportWaiting(
    input: ItemPlanInput,
    starts: readonly PlannedStart[],
  ): void {
    if (!this.#waiting.isDue(input.nowMs)) return;
    const started = new Set(starts.map(({ item }) => item.key));
    const waiting = input.waiting.filter(({ key }) => !started.has(key));
    this.#waiting.update(waiting, input);
  }

  /** Asks for permits for the items of each service that are not placed yet, if its engines name limits. */
  #demandPermits(
    input: ItemPlanInput,
    starts: readonly PlannedStart[],
  ): void {
    const { permits } = this.#options;
    const limited = new Set<string>();
    for (const { upstream } of input.engines) {
      if (isLimited(upstream)) limited.add(upstream.service);
    }
    for (const service of [...limited, ...this.#demanding]) {
      const waiting = input.waiting.filter((each) => each.service === service);
      const started = starts.filter(({ item }) => item.service === service);
      const count = Math.max(0, waiting.length - started.length);
      const priority = this.#highestPriority(waiting);
      permits.setBacklog(service, { count, priority });
    }
    this.#demanding = limited;
  }

  #highestPriority(items: readonly PlannedItem[]): number {
    let highest = Number.MAX_SAFE_INTEGER;
    for (const { priority } of items) highest = Math.min(highest, priority);
    return highest;
  }

  #planInput(): ItemPlanInput {
    const { clock, configuration, routes, tasks } = this.#options;
    const nowMs = clock.nowMs();
    const rules = this.#options.rules.of(configuration());
    const engines = this.#engineSnapshots(nowMs);
    const unplanned = this.#unplannedEngines(engines);
    const priorities = tenantPriorities(configuration());
    const waiting: PlannedItem[] = [];
    const runs: PlacedRun[] = [];
    for (const task of tasks.values()) {
      if (task.done || task.textComplete) continue;
      const route = routes.find(task, rules);
      // All items of a route with a traffic split go to one service.
      const service = heaviestService(route?.split ?? []) ?? null;
      const { run, moves } = task;
      if (run === undefined && service === null) continue;
      const priority = priorities.get(task.batch.tenant ?? null) ??
        route?.priority ?? 0;
      const item = toPlannedItem(task, { service, priority });
      if (run === undefined) waiting.push(item);
      else if (service !== null || !unplanned.has(run.engine)) {
        runs.push({ ...run, item, moves });
      }
    }
    const readingDelayMs = this.#options.readingDelayMs();
    return { nowMs, readingDelayMs, waiting, runs, engines };
  }

  /** Returns the engines of services that the configuration no longer has; runs there go on if they have no route. */
  #unplannedEngines(engines: readonly EngineSnapshot[]): ReadonlySet<string> {
    const unplanned = new Set(this.#options.upstreams().map(({ id }) => id));
    for (const { upstream } of engines) unplanned.delete(upstream.id);
    return unplanned;
  }

  #engines(): readonly FleetUpstream[] {
    const services = this.#options.configuration()?.services ?? [];
    const names = new Set<string>();
    for (const { name, engine } of services) {
      if (engine !== null) names.add(name);
    }
    return this.#options.upstreams().filter((each) => names.has(each.service));
  }

  #engineSnapshots(nowMs: Milliseconds): readonly EngineSnapshot[] {
    const { drainMs, foreignRuns, permits } = this.#options;
    const { observations } = this.#options.runs;
    const services = this.#options.configuration()?.services ?? [];
    const snapshots: EngineSnapshot[] = [];
    const incarnations = new Set<string>();
    for (const upstream of this.#options.upstreams()) {
      const service = services.find((each) => each.name === upstream.service);
      if (service === undefined || service.engine === null) continue;
      const incarnation = incarnationOf(upstream);
      incarnations.add(incarnation);
      const foreign = foreignRuns.loadOf(upstream);
      const drainingForMs = observations.drainingForMs(
        incarnation,
        upstream,
        nowMs,
      );
      snapshots.push({
        upstream,
        versions: observations.versions(incarnation, upstream),
        eventIntervalMs: observations.eventIntervalMs(incarnation, nowMs),
        errorShare: observations.errorShare(incarnation, nowMs),
        pausedUntilMs: observations.pausedUntilMs(incarnation),
        cacheTokens: Math.max(0, service.engine.cacheTokens - foreign.tokens),
        foreignRuns: foreign.runs,
        servesForMs: drainingForMs === null
          ? Infinity
          : Math.max(0, drainMs - drainingForMs),
        startsLeft: permits.available(upstream),
      });
    }
    observations.retainOnly(incarnations);
    return snapshots;
  }
}

/** Returns the priorities of the tenants that have one, which take precedence over those of routes. */
function tenantPriorities(
  configuration: RoutingConfiguration | null,
): ReadonlyMap<string | null, number> {
  const priorities = new Map<string | null, number>();
  for (const { name, priority } of configuration?.tenants ?? []) {
    if (priority !== null) priorities.set(name, priority);
  }
  return priorities;
}

function toPlannedItem(
  task: ItemTask,
  route: { readonly service: string | null; readonly priority: number },
): PlannedItem {
  const { item, batch } = task;
  const generatedTokens = task.tokensGenerated(ESTIMATED_TOKENS_PER_EVENT);
  return {
    key: task.key,
    group: item.group,
    model: batch.model,
    ...route,
    minimumVersion: batch.minimumVersion ?? 0,
    boundVersion: task.boundVersion,
    dueMs: task.dueMs,
    tokensLeft: task.tokensLeft(ESTIMATED_TOKENS_PER_EVENT),
    generatedTokens,
    progressMs: task.progressMs,
    latestEngine: task.runUsage.latestEngine,
    failedRuns: task.failedRuns,
    usedTokens: item.promptTokens + generatedTokens,
    resubmitted: task.resubmitted,
    tenant: batch.tenant ?? null,
  };
}
