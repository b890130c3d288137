/**
 * Runs of items at engines: begins them, takes what they make, and draws the conclusions when they end.
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
import { type UpstreamDialect, UpstreamHttp } from "#requests";
import { match } from "ts-pattern";
import { EngineObservations } from "./engine_observations.ts";
import { BATCHES_EVENTS } from "./events.ts";
import { runItem, type RunOutcome } from "./item_run.ts";
import type { MoveReason } from "./item_plan.ts";
import { abortRun, type ActiveRun, type ItemTask } from "./item_task.ts";

/** What the runs are made with. */
export interface ItemRunsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dialect: UpstreamDialect;
  readonly upstreams: () => readonly FleetUpstream[];
  /** Called when there is something new to be kept. */
  readonly onProgress: () => void;
  /** Called when nothing more is to be run for an item. */
  readonly onItemDone: () => void;
  /** Called when a run has ended. */
  readonly onRunEnded: () => void;
}

/** The runs of one store VM. */
export class ItemRuns {
  readonly observations = new EngineObservations();
  readonly #options: ItemRunsOptions;
  readonly #http = new UpstreamHttp();

  constructor(options: ItemRunsOptions) {
    this.#options = options;
  }

  /** Closes all connections. */
  close(): void {
    this.#http.close();
  }

  /** Begins an item at an engine, or goes on with it there. */
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
    const { incarnation: key } = run;
    const outcome = await runItem({
      http: this.#http,
      dialect,
      upstream,
      batch: task.batch,
      item: task.item,
      afterEvent: task.lastEvent,
      allowsVersion: (version) => {
        this.observations.recordVersion(key, task.batch.model, version);
        return task.allowsVersion(version);
      },
      signal: run.abort.signal,
      onEvent: (event) => {
        if (task.run !== run) return;
        this.#recordEvent(run);
        task.addEvent(event);
        this.#options.onProgress();
      },
    });
    if (task.run !== run) return;
    task.run = undefined;
    this.#handleOutcome(task, upstream, outcome);
  }

  /** Ends a run here, so that it goes on at another engine. */
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

  /** Gives an item up. */
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

  #recordEvent(run: ActiveRun): void {
    const nowMs = this.#options.clock.nowMs();
    const intervalMs: Milliseconds = nowMs - run.lastEventMs;
    if (run.hasEvents) {
      this.observations.recordInterval(run.incarnation, intervalMs, nowMs);
    }
    run.hasEvents = true;
    run.lastEventMs = nowMs;
  }

  #handleOutcome(
    task: ItemTask,
    upstream: FleetUpstream,
    outcome: RunOutcome,
  ): void {
    if (outcome.kind === "complete") {
      task.finish("completed");
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
    const key = incarnationOf(upstream);
    const nowMs = this.#options.clock.nowMs();
    match(outcome)
      .with(
        { kind: "refused" },
        () => this.observations.recordRejection(key, nowMs),
      )
      .with(
        { kind: "broken" },
        () => this.observations.recordFailure(key, nowMs),
      )
      .with({ kind: "stale" }, () => {})
      .with({ kind: "wrong_version" }, () => {
        this.observations.recordRejection(key, nowMs);
        if (task.batch.singleVersion) task.restart();
      })
      .with(
        { kind: "impossible" },
        () => this.abandonItem(task, "the engine says that it can't be done"),
      )
      .with({ kind: "failed" }, () => this.#countFailure(task))
      .exhaustive();
    this.#options.onRunEnded();
  }

  #countFailure(task: ItemTask): void {
    task.countFailure();
    this.#options.onProgress();
    if (task.failures < task.batch.maximumFailures) return;
    this.abandonItem(task, `engines failed ${task.failures} times`);
  }
}
