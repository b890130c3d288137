/**
 * Runs the items of all open batches on the store VM that leads the batch log. Progress goes into the log
 * several times a second, so that the next leader goes on from there.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import type {
  Clock,
  EventLog,
  FleetUpstream,
  Milliseconds,
  RoutingConfiguration,
} from "#core";
import { RouteRules, UpstreamHttp } from "#requests";
import type { UpstreamDialect } from "#requests";
import type { Batch } from "./batch_types.ts";
import type { BatchesMachine, HeldBatch, HeldItem } from "./batches_machine.ts";
import { EngineMemory } from "./engine_memory.ts";
import { BATCHES_EVENTS } from "./events.ts";
import {
  type EngineView,
  type ItemPlanInput,
  type PlacedRun,
  planMoves,
  planStarts,
  type WaitingItem,
} from "./item_plan.ts";
import { type RunEnd, runItem } from "./item_run.ts";
import { ItemWork, type OngoingRun } from "./item_work.ts";

const TICK_MS: Milliseconds = 50;
const PROGRESS_MS: Milliseconds = 250;
const RESULT_MS: Milliseconds = 30;
const GUESSED_TOKENS_PER_EVENT = 72;

/** What a runner is built from. */
export interface BatchRunnerOptions {
  readonly log: ReplicatedLog;
  readonly machine: BatchesMachine;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly dialect: UpstreamDialect;
  readonly upstreams: () => readonly FleetUpstream[];
  readonly configuration: () => RoutingConfiguration | null;
}

/** Works while this VM leads. */
export class BatchRunner {
  readonly #options: BatchRunnerOptions;
  readonly #http = new UpstreamHttp();
  readonly #memory = new EngineMemory();
  readonly #works = new Map<string, ItemWork>();
  readonly #taken = new Set<string>();
  #leading = false;
  #stopped = false;
  #flushing = false;
  #flushDueMs: Milliseconds = Infinity;
  #wakePending = false;

  constructor(options: BatchRunnerOptions) {
    this.#options = options;
  }

  /** Starts to look for work. */
  start(): void {
    this.#options.clock.every(TICK_MS, () => this.#tick());
    this.#options.log.onApplied(() => this.wake());
  }

  /** Ends all runs; what they have made goes into the log first. */
  async stop(): Promise<void> {
    this.#stopped = true;
    for (const work of this.#works.values()) endRun(work);
    await this.#flush();
    this.#http.close();
  }

  /** Looks for work soon. */
  wake(): void {
    if (this.#wakePending) return;
    this.#wakePending = true;
    this.#options.clock.after(0, () => {
      this.#wakePending = false;
      this.#tick();
    });
  }

  #tick(): void {
    if (this.#stopped) return;
    const { log, clock } = this.#options;
    if (log.leaseUntilMs() <= clock.nowMs()) {
      this.#standDown();
      return;
    }
    if (!this.#leading) {
      this.#leading = true;
      this.#options.events.emit(BATCHES_EVENTS.runnerLeads, {
        open: this.#options.machine.open().length,
      });
    }
    this.#follow();
    if (this.#works.size === 0) return;
    this.#giveUpOld();
    this.#place();
    if (clock.nowMs() >= this.#flushDueMs) this.#flush();
  }

  #standDown(): void {
    if (!this.#leading) return;
    this.#leading = false;
    for (const work of this.#works.values()) endRun(work);
    this.#works.clear();
    this.#taken.clear();
    this.#flushDueMs = Infinity;
    this.#options.events.emit(BATCHES_EVENTS.runnerStoodDown);
  }

  /** Takes up batches that are new and lets those go that have ended. */
  #follow(): void {
    const { machine } = this.#options;
    const open = new Set<string>();
    for (const held of machine.open()) {
      open.add(held.batch.id);
      if (!this.#taken.has(held.batch.id)) this.#take(held);
    }
    for (const id of this.#taken) {
      if (open.has(id)) continue;
      this.#taken.delete(id);
      this.#drop(id);
    }
  }

  #take(held: HeldBatch): void {
    const { clock } = this.#options;
    const { batch, acceptedMs } = held;
    this.#taken.add(batch.id);
    const ageMs = Math.max(0, clock.wallMs() - acceptedMs);
    const dueMs = clock.nowMs() + batch.dueMs - ageMs;
    for (const item of held.items.values()) {
      if (item.listed) continue;
      const work = new ItemWork(batch, { held: item, dueMs });
      this.#works.set(work.key, work);
    }
    this.#options.events.emit(BATCHES_EVENTS.batchTaken, {
      batch: batch.id,
      items: batch.items.length,
      listed: held.results.length,
      model: batch.model,
      minimumVersion: batch.minimumVersion,
    });
  }

  /** What was made of the items of an ended batch is kept: they can come again. */
  #drop(id: string): void {
    const kept: ItemWork[] = [];
    for (const [key, work] of this.#works) {
      if (work.batch.id !== id) continue;
      endRun(work);
      this.#works.delete(key);
      if (work.dirty) kept.push(work);
    }
    this.#options.events.emit(BATCHES_EVENTS.batchDropped, {
      batch: id,
      unfinished: kept.length,
    });
    if (kept.length > 0) this.#commit(kept);
  }

  #giveUpOld(): void {
    const { machine, clock } = this.#options;
    const wallMs = clock.wallMs();
    for (const held of machine.open()) {
      const limitMs = held.batch.maximumQueueMs;
      if (limitMs === null || wallMs < held.acceptedMs + limitMs) continue;
      for (const work of this.#worksOf(held.batch)) {
        if (work.done) continue;
        endRun(work);
        this.#end(work, "given_up", "its time in the queue is over");
      }
    }
  }

  #worksOf(batch: Batch): readonly ItemWork[] {
    return [...this.#works.values()].filter((each) => each.batch === batch);
  }

  #place(): void {
    const input = this.#planInput();
    for (const key of planMoves(input)) this.#move(key);
    for (const { item, engine } of planStarts(this.#planInput())) {
      const work = this.#works.get(item.key);
      if (work !== undefined) this.#begin(work, engine);
    }
  }

  #planInput(): ItemPlanInput {
    const { clock, configuration } = this.#options;
    const nowMs = clock.nowMs();
    const rules = configuration();
    const routes = rules === null ? null : new RouteRules(rules);
    const waiting: WaitingItem[] = [];
    const runs: PlacedRun[] = [];
    for (const work of this.#works.values()) {
      if (work.done) continue;
      const service = routes?.named(work.batch.route)?.split[0]?.service;
      if (service === undefined) continue;
      const item = describe(work, service);
      const { run, moves } = work;
      if (run === undefined) waiting.push(item);
      else runs.push({ item, moves, ...run });
    }
    return { nowMs, waiting, runs, engines: this.#engines(nowMs) };
  }

  #engines(nowMs: Milliseconds): readonly EngineView[] {
    const rules = this.#options.configuration();
    const views: EngineView[] = [];
    const known = new Set<string>();
    for (const upstream of this.#options.upstreams()) {
      const service = rules?.services.find((each) =>
        each.name === upstream.service
      );
      if (service === undefined || service.engine === null) continue;
      const key = engineKey(upstream);
      known.add(key);
      views.push({
        upstream,
        versions: this.#memory.versions(key, upstream),
        eventGapMs: this.#memory.gapMs(key, nowMs),
        pausedUntilMs: this.#memory.pausedUntilMs(key),
        memoryTokens: service.engine.cacheTokens,
      });
    }
    this.#memory.keepOnly(known);
    return views;
  }

  #move(key: string): void {
    const work = this.#works.get(key);
    if (work?.run === undefined) return;
    const { engine, lastEventMs } = work.run;
    const nowMs = this.#options.clock.nowMs();
    this.#options.events.emit(BATCHES_EVENTS.runMoved, {
      request: work.item.id,
      engine,
      lastEvent: work.lastEvent,
      silentMs: Math.round(nowMs - lastEventMs),
    });
    work.moves += 1;
    const upstream = this.#options.upstreams().find((each) =>
      each.id === engine
    );
    const gapMs = nowMs - lastEventMs;
    if (upstream !== undefined) {
      this.#memory.noteGap(engineKey(upstream), gapMs, nowMs);
      this.#memory.broke(engineKey(upstream), nowMs);
    }
    endRun(work);
  }

  #begin(work: ItemWork, upstream: FleetUpstream): void {
    const { clock, dialect } = this.#options;
    const key = engineKey(upstream);
    const run: OngoingRun = {
      engine: upstream.id,
      abort: new AbortController(),
      lastEventMs: clock.nowMs(),
      begun: false,
    };
    work.run = run;
    runItem({
      http: this.#http,
      dialect,
      upstream,
      batch: work.batch,
      item: work.item,
      afterEvent: work.lastEvent,
      mayMake: (version) => {
        this.#memory.noteVersion(key, work.batch.model, version);
        return work.mayMake(version);
      },
      signal: run.abort.signal,
      onEvent: (event) => {
        if (work.run !== run) return;
        const nowMs = clock.nowMs();
        if (run.begun) {
          this.#memory.noteGap(key, nowMs - run.lastEventMs, nowMs);
        }
        run.begun = true;
        run.lastEventMs = nowMs;
        work.add(event);
        this.#flushWithin(PROGRESS_MS);
      },
    }).then((end) => {
      if (work.run !== run) return;
      work.run = undefined;
      this.#ended(work, upstream, end);
    });
  }

  #ended(work: ItemWork, upstream: FleetUpstream, end: RunEnd): void {
    const nowMs = this.#options.clock.nowMs();
    const key = engineKey(upstream);
    if (end.kind === "complete") {
      this.#end(work, "completed", "whole");
      this.wake();
      return;
    }
    this.#options.events.emit(BATCHES_EVENTS.runEnded, {
      request: work.item.id,
      engine: upstream.id,
      lastEvent: work.lastEvent,
      ...end,
      end: end.kind,
    });
    if (end.kind === "refused") this.#memory.refused(key, nowMs);
    if (end.kind === "broken") this.#memory.broke(key, nowMs);
    if (end.kind === "wrong_version") {
      this.#memory.refused(key, nowMs);
      if (work.batch.singleVersion) work.restart();
    }
    if (end.kind === "impossible") {
      this.#end(work, "given_up", "the engine says that it can't be done");
    }
    if (end.kind === "failed") {
      work.fail();
      this.#flushWithin(PROGRESS_MS);
      if (work.failures >= work.batch.maximumFailures) {
        this.#end(work, "given_up", `failed ${work.failures} times`);
      }
    }
    this.wake();
  }

  #end(
    work: ItemWork,
    outcome: "completed" | "given_up",
    reason: string,
  ): void {
    work.finish(outcome);
    this.#flushWithin(RESULT_MS);
    if (outcome === "completed") return;
    this.#options.events.emit(BATCHES_EVENTS.itemGivenUp, {
      request: work.item.id,
      batch: work.batch.id,
      reason,
    });
  }

  #flushWithin(delayMs: Milliseconds): void {
    const dueMs = this.#options.clock.nowMs() + delayMs;
    if (dueMs >= this.#flushDueMs) return;
    this.#flushDueMs = dueMs;
    this.#options.clock.after(delayMs, () => {
      if (this.#flushDueMs <= this.#options.clock.nowMs()) this.#flush();
    });
  }

  async #flush(): Promise<void> {
    if (this.#flushing) return;
    const dirty = [...this.#works.values()].filter((each) => each.dirty);
    this.#flushDueMs = Infinity;
    if (dirty.length === 0) return;
    this.#flushing = true;
    await this.#commit(dirty);
    this.#flushing = false;
    if ([...this.#works.values()].some((each) => each.dirty)) {
      this.#flushWithin(PROGRESS_MS);
    }
  }

  async #commit(works: readonly ItemWork[]): Promise<void> {
    const { log, events } = this.#options;
    const updates = works.map((work) => work.takeUpdate());
    const command = { kind: "update", updates };
    const result = await log.propose({ machine: "batches", command });
    if (result.err) {
      events.emit(BATCHES_EVENTS.progressNotKept, { ...result.val });
    }
    for (const work of works) this.#settle(work);
  }

  #settle(work: ItemWork): void {
    const held = this.#held(work);
    if (held === undefined) return;
    work.settle(held);
    if (held.listed) this.#works.delete(work.key);
  }

  #held(work: ItemWork): HeldItem | undefined {
    const batch = this.#options.machine.find(work.batch.id);
    return batch?.items.get(work.item.id);
  }
}

function describe(work: ItemWork, service: string): WaitingItem {
  const { item, batch } = work;
  return {
    key: work.key,
    group: item.group,
    model: batch.model,
    service,
    minimumVersion: batch.minimumVersion ?? 0,
    onlyVersion: work.onlyVersion,
    dueMs: work.dueMs,
    tokensLeft: work.tokensLeft(GUESSED_TOKENS_PER_EVENT),
    memoryTokens: item.promptTokens + item.expectedTokens,
    again: work.again,
  };
}

function engineKey(upstream: FleetUpstream): string {
  return `${upstream.id}:${upstream.bornMs}`;
}

function endRun(work: ItemWork): void {
  const { run } = work;
  work.run = undefined;
  run?.abort.abort();
}
