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
  type UpstreamDialect,
  type UpstreamNotices,
} from "#requests";
import type { EngineReport } from "#weights";
import type { BatchesMachine } from "./batches_machine.ts";
import { BATCHES_EVENTS } from "./events.ts";
import { ForeignRuns } from "./foreign_runs.ts";
import { ItemRoutes } from "./item_routes.ts";
import { ItemRuns } from "./item_runs.ts";
import { ItemScoring, type ScoringPort } from "./item_scoring.ts";
import { abortRun } from "./item_task.ts";
import { OpenItems } from "./open_items.ts";
import { PROGRESS_DELAY_MS, ProgressWriter } from "./progress_writer.ts";
import { RunPlacement } from "./run_placement.ts";
import { TurnDelay } from "./turn_delay.ts";

const TICK_INTERVAL_MS: Milliseconds = 50;
/** Time without a lease after which a leader counts as replaced although it has not heard of another one. */
const MAXIMUM_LAPSE_MS: Milliseconds = 1_000;
const RESULT_FLUSH_DELAY_MS: Milliseconds = 30;

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
  readonly #items: OpenItems;
  readonly #placement: RunPlacement;
  readonly #progress: ProgressWriter;
  readonly #turnDelay = new TurnDelay(TICK_INTERVAL_MS);
  /** When the lease of this leader was first seen to have lapsed, or undefined. */
  #lapsedMs: Milliseconds | undefined;
  #ticks: Timer | undefined;
  #leading = false;
  #stopped = false;
  #wakePending = false;

  constructor(options: BatchRunnerOptions) {
    this.#options = options;
    const routes = new ItemRoutes(options.clock);
    this.#items = new OpenItems({
      ...options,
      routes,
      abandon: (task, reason) => this.#runs.abandonItem(task, reason),
      onDropped: (tasks) => this.#progress.proposeUpdates(tasks),
    });
    this.#progress = new ProgressWriter({
      ...options,
      tasks: () => this.#items.tasks.values(),
      engineSpeeds: () => this.#runs.observations.speeds(options.clock.nowMs()),
      onListed: (task) => this.#items.handleListed(task),
    });
    this.#runs = new ItemRuns({
      ...options,
      onProgress: () => this.#progress.scheduleFlush(PROGRESS_DELAY_MS),
      onItemDone: () => this.#progress.scheduleFlush(RESULT_FLUSH_DELAY_MS),
      onRunEnded: () => this.wake(),
    });
    this.#foreignRuns = new ForeignRuns({
      ...options,
      ownRuns: (incarnation) => this.#items.countRuns(incarnation),
      onReply: () => this.wake(),
    });
    this.#placement = new RunPlacement({
      ...options,
      foreignRuns: this.#foreignRuns,
      runs: this.#runs,
      tasks: this.#items.tasks,
      rules: this.#rules,
      routes,
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
    return this.#items.tasks.size;
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
    for (const task of this.#items.tasks.values()) abortRun(task);
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
    this.#items.synchronise();
    if (this.#items.tasks.size === 0) {
      this.#placement.clear();
      return;
    }
    const rules = this.#rules.of(this.#options.configuration());
    this.#items.abandonExpired();
    this.#items.abandonWithoutRoute(rules);
    this.#placement.planIfDue();
    if (rules !== null) this.#scoring.startCalls(this.#items.tasks, rules);
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
    this.#items.clear();
    this.#options.events.emit(BATCHES_EVENTS.runnerStoodDown);
  }
}
