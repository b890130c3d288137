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
import { EngineMemory } from "./engine_memory.ts";
import { BATCHES_EVENTS } from "./events.ts";
import { type RunEnd, runItem } from "./item_run.ts";
import type { MoveReason } from "./item_plan.ts";
import { endRun, type ItemWork, type OngoingRun } from "./item_work.ts";

/** What the runs are made with. */
export interface ItemRunsOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dialect: UpstreamDialect;
  readonly upstreams: () => readonly FleetUpstream[];
  /** Called when there is something new to be kept. */
  readonly onProgress: () => void;
  /** Called when nothing more is to be run for an item. */
  readonly onDone: () => void;
  /** Called when a run has ended. */
  readonly onEnded: () => void;
}

/** The runs of one store VM. */
export class ItemRuns {
  readonly memory = new EngineMemory();
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
  async begin(work: ItemWork, upstream: FleetUpstream): Promise<void> {
    const { clock, dialect } = this.#options;
    const nowMs = clock.nowMs();
    const run: OngoingRun = {
      engine: upstream.id,
      key: incarnationOf(upstream),
      abort: new AbortController(),
      startedMs: nowMs,
      lastEventMs: nowMs,
      begun: false,
    };
    work.run = run;
    const { key } = run;
    const end = await runItem({
      http: this.#http,
      dialect,
      upstream,
      batch: work.batch,
      item: work.item,
      afterEvent: work.lastEvent,
      mayMake: (version) => {
        this.memory.noteVersion(key, work.batch.model, version);
        return work.mayMake(version);
      },
      signal: run.abort.signal,
      onEvent: (event) => {
        if (work.run !== run) return;
        this.#noteEvent(run);
        work.add(event);
        this.#options.onProgress();
      },
    });
    if (work.run !== run) return;
    work.run = undefined;
    this.#conclude(work, upstream, end);
  }

  /** Ends a run here, so that it goes on at another engine. */
  move(work: ItemWork, reason: MoveReason): void {
    const { run } = work;
    if (run === undefined) return;
    const nowMs = this.#options.clock.nowMs();
    const silentMs = nowMs - run.lastEventMs;
    this.#options.events.emit(BATCHES_EVENTS.runMoved, {
      request: work.item.id,
      engine: run.engine,
      reason,
      lastEvent: work.lastEvent,
      silentMs: Math.round(silentMs),
    });
    work.moves += 1;
    if (reason === "silent") this.memory.silent(run.key, silentMs, nowMs);
    endRun(work);
  }

  /** Gives an item up. */
  giveUp(work: ItemWork, reason: string): void {
    endRun(work);
    work.finish("given_up");
    this.#options.events.emit(BATCHES_EVENTS.itemGivenUp, {
      request: work.item.id,
      batch: work.batch.id,
      reason,
    });
    this.#options.onDone();
  }

  #noteEvent(run: OngoingRun): void {
    const nowMs = this.#options.clock.nowMs();
    const gapMs: Milliseconds = nowMs - run.lastEventMs;
    if (run.begun) this.memory.noteGap(run.key, gapMs, nowMs);
    run.begun = true;
    run.lastEventMs = nowMs;
  }

  #conclude(work: ItemWork, upstream: FleetUpstream, end: RunEnd): void {
    if (end.kind === "complete") {
      work.finish("completed");
      this.#options.onDone();
      this.#options.onEnded();
      return;
    }
    this.#options.events.emit(BATCHES_EVENTS.runEnded, {
      request: work.item.id,
      engine: upstream.id,
      lastEvent: work.lastEvent,
      ...end,
    });
    const key = incarnationOf(upstream);
    const nowMs = this.#options.clock.nowMs();
    match(end)
      .with({ kind: "refused" }, () => this.memory.refused(key, nowMs))
      .with({ kind: "broken" }, () => this.memory.broke(key, nowMs))
      .with({ kind: "stale" }, () => {})
      .with({ kind: "wrong_version" }, () => {
        this.memory.refused(key, nowMs);
        if (work.batch.singleVersion) work.restart();
      })
      .with(
        { kind: "impossible" },
        () => this.giveUp(work, "the engine says that it can't be done"),
      )
      .with({ kind: "failed" }, () => this.#countFailure(work))
      .exhaustive();
    this.#options.onEnded();
  }

  #countFailure(work: ItemWork): void {
    work.fail();
    this.#options.onProgress();
    if (work.failures < work.batch.maximumFailures) return;
    this.giveUp(work, `engines failed ${work.failures} times`);
  }
}
