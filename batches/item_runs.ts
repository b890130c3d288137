/**
 * Manages the runs of items on engines: starts them, collects their events and handles their outcomes.
 *
 * @module
 */
import {
  type Clock,
  type EventLog,
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
} from "#core";
import {
  type UpstreamDialect,
  UpstreamHttp,
  type UpstreamNotices,
} from "#requests";
import { match } from "ts-pattern";
import { EngineObservations } from "./engine_observations.ts";
import { BATCHES_EVENTS } from "./events.ts";
import { runItem, type RunOutcome } from "./item_run.ts";
import type { MoveReason } from "./move_plan.ts";
import type { PlannedRestart } from "./text_restarts.ts";
import { abortRun, type ActiveRun, type ItemTask } from "./item_task.ts";

/** Options of `ItemRuns`. */
export interface ItemRunsOptions extends UpstreamNotices {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dialect: UpstreamDialect;
  readonly upstreams: () => readonly FleetUpstream[];
  /** Called when there is new progress to store. */
  readonly onProgress: () => void;
  /** Called when an item is completed or abandoned. */
  readonly onItemDone: () => void;
  /** Called when a run has ended without being aborted. */
  readonly onRunEnded: () => void;
}

/** The runs of items that one store VM supervises. */
export class ItemRuns {
  readonly observations = new EngineObservations();
  readonly #options: ItemRunsOptions;
  readonly #http = new UpstreamHttp();

  constructor(options: ItemRunsOptions) {
    this.#options = options;
  }

  /** Closes all connections to engines. */
  close(): void {
    this.#http.close();
  }

  /** Starts an item on an engine, or resumes it there, and waits for the end of the run. */
  async start(task: ItemTask, upstream: FleetUpstream): Promise<void> {
    const { clock, dialect } = this.#options;
    const nowMs = clock.nowMs();
    const run: ActiveRun = {
      engine: upstream.id,
      incarnation: incarnationOf(upstream),
      abort: new AbortController(),
      startedMs: nowMs,
      lastEventMs: nowMs,
      hasEvents: false,
    };
    task.run = run;
    task.runUsage.count += 1;
    task.runUsage.latestEngine = run.engine;
    const { incarnation } = run;
    const outcome = await runItem({
      http: this.#http,
      dialect,
      upstream,
      batch: task.batch,
      item: task.item,
      afterEvent: task.lastEvent,
      allowsVersion: (version) => {
        this.observations.recordVersion(incarnation, task.batch.model, version);
        return task.allowsVersion(version);
      },
      signal: run.abort.signal,
      notices: this.#options,
      onEvent: (event) => {
        if (task.run !== run) return;
        this.#recordEvent(task, run);
        task.addEvent(event);
        this.#options.onProgress();
      },
    });
    task.runUsage.totalMs += run.lastEventMs - run.startedMs;
    if (task.run !== run) return;
    task.run = undefined;
    this.#handleOutcome(task, upstream, outcome);
  }

  /** Aborts the run of an item, so that the item resumes on another engine. */
  stopForMove(task: ItemTask, reason: MoveReason): void {
    const { run } = task;
    if (run === undefined) return;
    const nowMs = this.#options.clock.nowMs();
    const silentMs = nowMs - run.lastEventMs;
    this.#options.events.emit(BATCHES_EVENTS.runMoved, {
      request: task.item.id,
      engine: run.engine,
      reason,
      lastEvent: task.lastEvent,
      silentMs: Math.round(silentMs),
    });
    task.moves += 1;
    if (reason === "silent") {
      this.observations.recordStall(run.incarnation, silentMs, nowMs);
    }
    abortRun(task);
  }

  /** Discards the text of an item that waits, so that it is begun anew. */
  restartText(task: ItemTask, restart: PlannedRestart): void {
    this.#options.events.emit(BATCHES_EVENTS.textRestarted, {
      request: task.item.id,
      batch: task.batch.id,
      reason: restart.reason,
      idleMs: Math.round(restart.idleMs),
      version: task.boundVersion,
      events: task.eventCount,
      engine: task.runUsage.latestEngine,
    });
    task.restart();
    this.#options.onProgress();
  }

  /** Aborts an item's run and lists the item as given up. */
  abandonItem(task: ItemTask, reason: string): void {
    abortRun(task);
    task.finish("given_up");
    this.#options.events.emit(BATCHES_EVENTS.itemGivenUp, {
      request: task.item.id,
      batch: task.batch.id,
      reason,
    });
    this.#options.onItemDone();
  }

  #recordEvent(task: ItemTask, run: ActiveRun): void {
    const { runUsage } = task;
    const nowMs = this.#options.clock.nowMs();
    task.progressMs = nowMs;
    task.failedRuns.recordProgress();
    const intervalMs: Milliseconds = nowMs - run.lastEventMs;
    if (run.hasEvents) {
      this.observations.recordInterval(run.incarnation, intervalMs, nowMs);
      runUsage.longestGapMs = Math.max(runUsage.longestGapMs, intervalMs);
    }
    run.hasEvents = true;
    run.lastEventMs = nowMs;
  }

  #handleOutcome(
    task: ItemTask,
    upstream: FleetUpstream,
    outcome: RunOutcome,
  ): void {
    const incarnation = incarnationOf(upstream);
    const nowMs = this.#options.clock.nowMs();
    if (outcome.kind === "complete") {
      this.observations.recordSoundRun(incarnation, nowMs);
      task.completeText();
      this.#options.onItemDone();
      this.#options.onRunEnded();
      return;
    }
    this.#options.events.emit(BATCHES_EVENTS.runEnded, {
      request: task.item.id,
      engine: upstream.id,
      lastEvent: task.lastEvent,
      ...outcome,
    });
    match(outcome)
      .with(
        { kind: "refused" },
        () => this.observations.recordRejection(incarnation, nowMs),
      )
      .with({ kind: "broken" }, () => {
        this.observations.recordFailure(incarnation, nowMs);
        this.#recordFailedRun(task, upstream);
      })
      .with({ kind: "error" }, () => this.#recordFailedRun(task, upstream))
      .with({ kind: "stale" }, () => {})
      // The text is kept: another engine may have its version (see `planRestarts`).
      .with(
        { kind: "wrong_version" },
        () => this.observations.recordRejection(incarnation, nowMs),
      )
      .with(
        { kind: "impossible" },
        () =>
          this.abandonItem(
            task,
            "the engine reported that it cannot process the request",
          ),
      )
      .with({ kind: "failed" }, () => {
        this.#recordFailedRun(task, upstream);
        this.#countFailure(task);
      })
      .exhaustive();
    this.#options.onRunEnded();
  }

  /** Records that an engine failed a run, for this item and for the choice of engines. */
  #recordFailedRun(task: ItemTask, upstream: FleetUpstream): void {
    const incarnation = incarnationOf(upstream);
    const nowMs = this.#options.clock.nowMs();
    task.failedRuns.record(incarnation, nowMs);
    const errors = this.observations.recordFailedRun(incarnation, nowMs);
    if (!errors.isNews) return;
    this.#options.events.emit(BATCHES_EVENTS.engineFails, {
      engine: upstream.id,
      share: Number(errors.share.toFixed(2)),
    });
  }

  #countFailure(task: ItemTask): void {
    task.countFailure();
    this.#options.onProgress();
    if (task.failures < task.batch.maximumFailures) return;
    this.abandonItem(task, `engines failed ${task.failures} times`);
  }
}
