/**
 * Runs the items of all open batches on the store VM that leads the batch log. Progress goes into the log
 * several times a second, so that the next leader goes on from there.
 *
 * @module
 */
import type { ReplicatedLog } from "#agreement";
import {
  type Clock,
  type EventLog,
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
  type RandomSource,
  type RoutingConfiguration,
  type WeightedService,
} from "#core";
import { RouteRules, type UpstreamDialect } from "#requests";
import type { BatchesMachine, HeldBatch } from "./batches_machine.ts";
import { BATCHES_EVENTS } from "./events.ts";
import {
  type EngineView,
  type ItemPlanInput,
  type PlacedRun,
  planMoves,
  planStarts,
  type WaitingItem,
} from "./item_plan.ts";
import { ItemRuns } from "./item_runs.ts";
import { endRun, ItemWork } from "./item_work.ts";
import { PROGRESS_MS, ProgressKeeper } from "./progress_keeper.ts";

const TICK_MS: Milliseconds = 50;
const RESULT_MS: Milliseconds = 30;
/** Clocks of VMs can differ and jump by seconds: no item is given up early for that. */
const CLOCK_MARGIN_MS: Milliseconds = 10_000;
const GUESSED_TOKENS_PER_EVENT = 72;

/** What a runner is built from. */
export interface BatchRunnerOptions {
  readonly log: ReplicatedLog;
  readonly machine: BatchesMachine;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly random: RandomSource;
  readonly dialect: UpstreamDialect;
  readonly upstreams: () => readonly FleetUpstream[];
  readonly configuration: () => RoutingConfiguration | null;
}

/** Works while this VM leads. */
export class BatchRunner {
  readonly #options: BatchRunnerOptions;
  readonly #runs: ItemRuns;
  readonly #progress: ProgressKeeper;
  readonly #works = new Map<string, ItemWork>();
  /** When this VM took each open batch up. */
  readonly #taken = new Map<string, Milliseconds>();
  #leading = false;
  #stopped = false;
  #wakePending = false;

  constructor(options: BatchRunnerOptions) {
    this.#options = options;
    this.#progress = new ProgressKeeper({
      ...options,
      works: () => this.#works.values(),
      onListed: (work) => this.#works.delete(work.key),
    });
    this.#runs = new ItemRuns({
      ...options,
      onProgress: () => this.#progress.within(PROGRESS_MS),
      onDone: () => this.#progress.within(RESULT_MS),
      onEnded: () => this.wake(),
    });
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
    await this.#progress.flush();
    this.#runs.close();
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
    this.#lead();
    this.#follow();
    this.#rebuild();
    if (this.#works.size === 0) return;
    this.#giveUpOld();
    this.#place();
    this.#progress.flushIfDue();
  }

  #lead(): void {
    if (this.#leading) return;
    this.#leading = true;
    const open = this.#options.machine.openBatches().length;
    this.#options.events.emit(BATCHES_EVENTS.runnerLeads, { open });
  }

  #standDown(): void {
    if (!this.#leading) return;
    this.#leading = false;
    for (const work of this.#works.values()) endRun(work);
    this.#works.clear();
    this.#taken.clear();
    this.#options.events.emit(BATCHES_EVENTS.runnerStoodDown);
  }

  /** Takes up batches that are new and lets those go that have ended. */
  #follow(): void {
    const open = new Set<string>();
    for (const held of this.#options.machine.openBatches()) {
      open.add(held.batch.id);
      if (!this.#taken.has(held.batch.id)) this.#take(held);
    }
    for (const id of this.#taken.keys()) {
      if (open.has(id)) continue;
      this.#taken.delete(id);
      this.#drop(id);
    }
  }

  /** Begins anew where the log holds something else than a work was built on. */
  #rebuild(): void {
    for (const work of this.#works.values()) {
      const batch = this.#options.machine.find(work.batch.id);
      const held = batch?.items.get(work.item.id);
      if (held === undefined || work.buildsOn(held)) continue;
      endRun(work);
      this.#works.delete(work.key);
      if (held.listed) continue;
      const { dueMs } = work;
      this.#works.set(work.key, new ItemWork(work.batch, { held, dueMs }));
    }
  }

  #take(held: HeldBatch): void {
    const { clock } = this.#options;
    const { batch, acceptedMs } = held;
    const nowMs = clock.nowMs();
    this.#taken.set(batch.id, nowMs);
    const ageMs = Math.max(0, clock.wallMs() - acceptedMs);
    const dueMs = nowMs + batch.dueMs - ageMs;
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
    for (const work of this.#worksOf(id)) {
      endRun(work);
      this.#works.delete(work.key);
      if (work.dirty) kept.push(work);
    }
    this.#options.events.emit(BATCHES_EVENTS.batchDropped, {
      batch: id,
      unfinished: kept.map((work) => work.item.id),
    });
    if (kept.length > 0) this.#progress.commit(kept);
  }

  #giveUpOld(): void {
    const nowMs = this.#options.clock.nowMs();
    for (const { batch } of this.#options.machine.openBatches()) {
      const limitMs = batch.maximumQueueMs;
      const takenMs = this.#taken.get(batch.id);
      if (limitMs === null || takenMs === undefined) continue;
      if (nowMs < takenMs + limitMs + CLOCK_MARGIN_MS) continue;
      for (const work of this.#worksOf(batch.id)) {
        if (work.done) continue;
        this.#runs.giveUp(work, "its time in the queue is over");
      }
    }
  }

  #worksOf(batch: string): readonly ItemWork[] {
    return [...this.#works.values()].filter((each) => each.batch.id === batch);
  }

  #place(): void {
    for (const { key, reason, to } of planMoves(this.#planInput())) {
      const work = this.#works.get(key);
      if (work === undefined) continue;
      this.#runs.move(work, reason);
      if (to !== null) this.#runs.begin(work, to);
    }
    for (const { item, engine } of planStarts(this.#planInput())) {
      const work = this.#works.get(item.key);
      if (work !== undefined) this.#runs.begin(work, engine);
    }
  }

  #planInput(): ItemPlanInput {
    const nowMs = this.#options.clock.nowMs();
    const rules = this.#options.configuration();
    const routes = rules === null ? null : new RouteRules(rules);
    const waiting: WaitingItem[] = [];
    const runs: PlacedRun[] = [];
    for (const work of this.#works.values()) {
      if (work.done) continue;
      const route = routes?.named(work.batch.route);
      const service = heaviestService(route?.split ?? []);
      if (service === undefined) continue;
      const item = describe(work, service);
      const { run, moves } = work;
      if (run === undefined) waiting.push(item);
      else runs.push({ ...run, item, moves });
    }
    return { nowMs, waiting, runs, engines: this.#engines(nowMs) };
  }

  #engines(nowMs: Milliseconds): readonly EngineView[] {
    const { memory } = this.#runs;
    const services = this.#options.configuration()?.services ?? [];
    const views: EngineView[] = [];
    const known = new Set<string>();
    for (const upstream of this.#options.upstreams()) {
      const service = services.find((each) => each.name === upstream.service);
      if (service === undefined || service.engine === null) continue;
      const key = incarnationOf(upstream);
      known.add(key);
      views.push({
        upstream,
        versions: memory.versions(key, upstream),
        eventGapMs: memory.gapMs(key, nowMs),
        pausedUntilMs: memory.pausedUntilMs(key),
        memoryTokens: service.engine.cacheTokens,
      });
    }
    memory.keepOnly(known);
    return views;
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
    heldTokens: item.promptTokens + work.tokensMade(GUESSED_TOKENS_PER_EVENT),
    again: work.again,
  };
}

/** Items of a route whose calls are split go where most of them go. */
function heaviestService(
  split: readonly WeightedService[],
): string | undefined {
  let best: WeightedService | undefined;
  for (const each of split) {
    if (each.weight > (best?.weight ?? 0)) best = each;
  }
  return best?.service;
}
