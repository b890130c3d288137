/**
 * Runs the items of all open batches on the store VM that leads the batch log. Progress is appended to the log
 * several times a second, so that the next leader resumes from there.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import {
  type Clock,
  type EventLog,
  type FleetUpstream,
  type Metrics,
  type Milliseconds,
  type RandomSource,
  type RoutingConfiguration,
  type ServiceLoad,
  type Timer,
} from "#core";
import type { Permits } from "#quotas";
import {
  CachedRouteRules,
  type RouteRules,
  type UpstreamDialect,
  type UpstreamNotices,
} from "#requests";
import type { EngineReport } from "#weights";
import type { BatchState } from "./batch_state.ts";
import { BatchTimings } from "./batch_timings.ts";
import type { BatchesMachine } from "./batches_machine.ts";
import { BATCHES_EVENTS } from "./events.ts";
import { ForeignRuns } from "./foreign_runs.ts";
import { ItemRoutes } from "./item_routes.ts";
import { ItemRuns } from "./item_runs.ts";
import { ItemScoring, type ScoringPort } from "./item_scoring.ts";
import { abortRun, ItemTask } from "./item_task.ts";
import { PROGRESS_DELAY_MS, ProgressWriter } from "./progress_writer.ts";
import { RunPlacement } from "./run_placement.ts";
import { TurnDelay } from "./turn_delay.ts";

const TICK_INTERVAL_MS: Milliseconds = 50;
/** Time without a lease after which a leader counts as replaced although it has not heard of another one. */
const MAXIMUM_LAPSE_MS: Milliseconds = 1_000;
const RESULT_FLUSH_DELAY_MS: Milliseconds = 30;
/** Margin for clocks of VMs that differ or jump by seconds, so that no item is abandoned early. */
const CLOCK_ERROR_MARGIN_MS: Milliseconds = 10_000;

/** Options of `BatchRunner`. */
export interface BatchRunnerOptions extends UpstreamNotices {
  readonly log: ReplicatedLog;
  readonly machine: BatchesMachine;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly metrics: Metrics;
  readonly random: RandomSource;
  readonly dialect: UpstreamDialect;
  readonly upstreams: () => readonly FleetUpstream[];
  /** Permits for engines that name a limit of requests. */
  readonly permits: Permits;
  readonly configuration: () => RoutingConfiguration | null;
  /** How long an engine goes on serving, at least, once it is known to be draining. */
  readonly drainMs: Milliseconds;
  readonly scoringPort: ScoringPort;
  /** Fetches the state of an engine; returns undefined if the call fails. */
  readonly fetchReport: (
    engine: FleetUpstream,
  ) => Promise<EngineReport | undefined>;
  /** Called when this VM starts to lead the log. */
  readonly onLeads: () => void;
}

/** Schedules and supervises the runs of items while this VM leads the batch log. */
export class BatchRunner {
  readonly #options: BatchRunnerOptions;
  readonly #runs: ItemRuns;
  readonly #scoring: ItemScoring;
  readonly #foreignRuns: ForeignRuns;
  readonly #rules = new CachedRouteRules();
  readonly #routes: ItemRoutes;
  readonly #placement: RunPlacement;
  readonly #progress: ProgressWriter;
  readonly #tasks = new Map<string, ItemTask>();
  readonly #turnDelay = new TurnDelay(TICK_INTERVAL_MS);
  /** How the open batches progress on this VM, by batch identifier. */
  readonly #timings = new Map<string, BatchTimings>();
  /** When the lease of this leader was first seen to have lapsed, or undefined. */
  #lapsedMs: Milliseconds | undefined;
  #ticks: Timer | undefined;
  #leading = false;
  #stopped = false;
  #wakePending = false;

  constructor(options: BatchRunnerOptions) {
    this.#options = options;
    this.#routes = new ItemRoutes(options.clock);
    this.#progress = new ProgressWriter({
      ...options,
      tasks: () => this.#tasks.values(),
      engineSpeeds: () => this.#runs.observations.speeds(options.clock.nowMs()),
      onListed: (task) => this.#handleListed(task),
    });
    this.#runs = new ItemRuns({
      ...options,
      onProgress: () => this.#progress.scheduleFlush(PROGRESS_DELAY_MS),
      onItemDone: () => this.#progress.scheduleFlush(RESULT_FLUSH_DELAY_MS),
      onRunEnded: () => this.wake(),
    });
    this.#foreignRuns = new ForeignRuns({
      ...options,
      ownRuns: (incarnation) => this.#countRuns(incarnation),
      onReply: () => this.wake(),
    });
    this.#placement = new RunPlacement({
      ...options,
      foreignRuns: this.#foreignRuns,
      runs: this.#runs,
      tasks: this.#tasks,
      rules: this.#rules,
      routes: this.#routes,
      readingDelayMs: () => this.#turnDelay.worstMs(options.clock.nowMs()),
      wakeAfter: (delayMs) => this.#wakeAfter(delayMs),
    });
    this.#scoring = new ItemScoring({
      ...options,
      port: options.scoringPort,
      onScored: () => {
        this.#progress.scheduleFlush(RESULT_FLUSH_DELAY_MS);
        this.wake();
      },
      onFailed: () => this.#progress.scheduleFlush(PROGRESS_DELAY_MS),
      abandon: (task, reason) => this.#runs.abandonItem(task, reason),
    });
  }

  /** Number of items that this VM runs or will run; 0 unless it leads the log. */
  get itemsInProgress(): number {
    return this.#tasks.size;
  }

  /**
   * Returns the work for each service whose engines can be ordered; undefined if there is none, or if this VM does not
   * run the items.
   */
  load(): readonly ServiceLoad[] | undefined {
    return this.#leading ? this.#placement.load() : undefined;
  }

  /** Starts to schedule items periodically and whenever the log applies an entry. */
  start(): void {
    const { clock } = this.#options;
    this.#ticks = clock.every(TICK_INTERVAL_MS, () => {
      this.#turnDelay.recordTick(clock.nowMs());
      this.#tick();
    });
    this.#options.log.onApplied(() => this.wake());
  }

  /** Aborts all runs, proposes their progress to the log and closes the connections. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.#ticks?.cancel();
    this.#placement.clear();
    for (const task of this.#tasks.values()) abortRun(task);
    await this.#progress.flush();
    this.#runs.close();
  }

  /** Schedules items in the next turn of the event loop. */
  wake(): void {
    this.#wakeAfter(0);
  }

  #wakeAfter(delayMs: Milliseconds): void {
    if (this.#wakePending) return;
    this.#wakePending = true;
    this.#options.clock.after(delayMs, () => {
      this.#wakePending = false;
      this.#tick();
    });
  }

  #tick(): void {
    if (this.#stopped) return;
    if (!this.#holdsLease()) {
      if (this.#isReplaced()) this.#stopLeading();
      return;
    }
    this.#lapsedMs = undefined;
    this.#startLeading();
    this.#syncOpenBatches();
    this.#replaceOutdatedTasks();
    if (this.#tasks.size === 0) {
      this.#placement.clear();
      return;
    }
    const rules = this.#rules.of(this.#options.configuration());
    this.#abandonExpiredItems();
    this.#abandonItemsWithoutRoute(rules);
    this.#placement.planIfDue();
    if (rules !== null) this.#scoring.startCalls(this.#tasks, rules);
    this.#progress.flushIfDue();
  }

  #holdsLease(): boolean {
    const { log, clock } = this.#options;
    return log.leaseUntilMs() > clock.nowMs();
  }

  /**
   * Whether runs are to be cancelled after the lease has lapsed. A busy leader loses it for some milliseconds; its runs
   * go on meanwhile, but nothing is started or stored.
   */
  #isReplaced(): boolean {
    const { log, clock } = this.#options;
    if (log.status().role !== "leader") return true;
    const nowMs = clock.nowMs();
    this.#lapsedMs ??= nowMs;
    return nowMs - this.#lapsedMs > MAXIMUM_LAPSE_MS;
  }

  #startLeading(): void {
    if (this.#leading) return;
    this.#leading = true;
    const { clock, events, machine, onLeads } = this.#options;
    onLeads();
    const speeds = machine.engineSpeeds(clock.wallMs());
    this.#runs.observations.adopt(speeds, clock.nowMs());
    const open = machine.openBatches().length;
    if (open > 0) this.#foreignRuns.start();
    events.emit(BATCHES_EVENTS.runnerLeads, { open, speeds: speeds.length });
  }

  #stopLeading(): void {
    if (!this.#leading) return;
    this.#leading = false;
    this.#lapsedMs = undefined;
    this.#foreignRuns.stop();
    this.#placement.clear();
    for (const task of this.#tasks.values()) abortRun(task);
    this.#tasks.clear();
    this.#timings.clear();
    this.#options.events.emit(BATCHES_EVENTS.runnerStoodDown);
  }

  /** Starts batches that are new and drops those that have ended. */
  #syncOpenBatches(): void {
    const open = new Set<string>();
    for (const state of this.#options.machine.openBatches()) {
      open.add(state.batch.id);
      if (!this.#timings.has(state.batch.id)) this.#startBatch(state);
    }
    for (const [id, timings] of this.#timings) {
      if (open.has(id)) continue;
      this.#timings.delete(id);
      this.#dropBatch(id, timings);
    }
  }

  #handleListed(task: ItemTask): void {
    this.#tasks.delete(task.key);
    const timings = this.#timings.get(task.batch.id);
    timings?.record(task, this.#options.clock.nowMs());
  }

  /** Replaces tasks whose item has a logged state other than the one they are based on. */
  #replaceOutdatedTasks(): void {
    for (const task of this.#tasks.values()) {
      const batch = this.#options.machine.find(task.batch.id);
      const state = batch?.items.get(task.item.id);
      if (state === undefined || task.isBasedOn(state)) continue;
      abortRun(task);
      this.#tasks.delete(task.key);
      if (state.listed) continue;
      const { dueMs } = task;
      this.#tasks.set(
        task.key,
        new ItemTask(task.batch, {
          logged: state,
          dueMs,
          nowMs: this.#options.clock.nowMs(),
        }),
      );
    }
  }

  #startBatch(state: BatchState): void {
    const { clock } = this.#options;
    const { batch, acceptedMs } = state;
    const nowMs = clock.nowMs();
    this.#timings.set(batch.id, new BatchTimings(nowMs));
    const ageMs = Math.max(0, clock.wallMs() - acceptedMs);
    const dueMs = nowMs + batch.dueMs - ageMs;
    for (const item of state.items.values()) {
      if (item.listed) continue;
      const task = new ItemTask(batch, { logged: item, dueMs, nowMs });
      this.#tasks.set(task.key, task);
    }
    this.#options.events.emit(BATCHES_EVENTS.batchTaken, {
      batch: batch.id,
      items: state.items.size,
      listed: state.results.length,
      model: batch.model,
      minimumVersion: batch.minimumVersion,
      ageMs: Math.round(ageMs),
    });
  }

  /** Drops the tasks of an ended batch but logs their progress: a later batch can contain the same items. */
  #dropBatch(id: string, timings: BatchTimings): void {
    const unfinished: ItemTask[] = [];
    for (const task of this.#tasksOf(id)) {
      abortRun(task);
      this.#tasks.delete(task.key);
      if (task.hasUnloggedChanges) unfinished.push(task);
    }
    const { clock, events } = this.#options;
    events.emit(BATCHES_EVENTS.batchDropped, {
      batch: id,
      afterMs: Math.round(clock.nowMs() - timings.startedMs),
      slowest: timings.slowest(),
      unfinished: unfinished.map((task) => task.item.id),
    });
    if (unfinished.length > 0) this.#progress.proposeUpdates(unfinished);
  }

  #abandonExpiredItems(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const { batch } of this.#options.machine.openBatches()) {
      const limitMs = batch.maximumQueueMs;
      const startedMs = this.#timings.get(batch.id)?.startedMs;
      if (limitMs === null || startedMs === undefined) continue;
      if (nowMs < startedMs + limitMs + CLOCK_ERROR_MARGIN_MS) continue;
      for (const task of this.#tasksOf(batch.id)) {
        if (task.done) continue;
        this.#runs.abandonItem(task, "maximum queue time exceeded");
      }
    }
  }

  /** Abandons the items that wait for an engine and whose route has ended; those that run may still be completed. */
  #abandonItemsWithoutRoute(rules: RouteRules | null): void {
    for (const task of this.#tasks.values()) {
      if (task.isBusy || !this.#routes.hasEnded(task, rules)) continue;
      this.#runs.abandonItem(task, "no route has its host and path any more");
    }
  }

  #countRuns(incarnation: string): number {
    let count = 0;
    for (const { run } of this.#tasks.values()) {
      if (run?.incarnation === incarnation) count += 1;
    }
    return count;
  }

  #tasksOf(batch: string): readonly ItemTask[] {
    return [...this.#tasks.values()].filter((each) => each.batch.id === batch);
  }
}
