/**
 * A site for the overload benchmark in virtual time: three zones, each with two entries and two engines,
 * two trainers and callers who look things up.
 *
 * @module
 */
import {
  type Failure,
  type LoadReport,
  type Milliseconds,
  SeededRandom,
} from "#core";
import { Scheduler, type WorkItem } from "#requests";
import { OVERLOAD_BUNDLE } from "./overload_bundle.ts";
import { EngineModel, recordOf } from "./overload_engine.ts";
import {
  DRAFTING_TOKENS_PER_SECOND,
  newTrainer,
  PER_ZONE,
  sampleTokens,
  SITE_TOKENS_PER_SECOND,
  type SiteFigures,
  type SiteOptions,
  SiteTimers,
  type TrainerState,
  type Work,
  workItem,
  ZONES,
} from "./overload_parts.ts";

const STEP_MS: Milliseconds = 10;
const REPORT_PERIOD_MS: Milliseconds = 1_000;
const REPORT_LAG_MS: Milliseconds = 500;
const DEMAND_PERIOD_MS: Milliseconds = 200;
const SWEEP_PERIOD_MS: Milliseconds = 50;
const SAMPLE_DEADLINE_MS: Milliseconds = 540_000;
const LOOKUP_TOKENS = 40;
const LOOKUP_PROMPT = 300;
const LOOKUP_UNITS = LOOKUP_TOKENS + 20;
const LOOKUP_PREFIXES = 40;
const SAMPLE_PROMPT = 600;
const GROUPS = 12;
const GROUP_SIZE = 8;
const TRAIN_MS: Milliseconds = 24_000;
const TRAINERS = ["grades", "routes"] as const;

/** Runs one site from start to end. */
export class OverloadSite {
  readonly #options: SiteOptions;
  readonly #random: SeededRandom;
  readonly #engines: EngineModel[] = [];
  readonly #entries: Scheduler[] = [];
  readonly #works = new Map<string, Work>();
  readonly #timers = new SiteTimers();
  readonly #trainers: TrainerState[];
  #nowMs: Milliseconds = 0;
  #made = 0;
  #turn = 0;
  #nextLookupMs: Milliseconds = 0;
  #draftingTokens = 0;
  #lookupTokens = 0;
  #idleMs = 0;
  #offered = 0;
  #refused = 0;
  #expired = 0;
  readonly #stepTimesMs: Milliseconds[] = [];
  readonly #lookupTimesMs: Milliseconds[] = [];
  readonly #refusalTimesMs: Milliseconds[] = [];

  constructor(options: SiteOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    for (const zone of ZONES) {
      for (let index = 0; index < PER_ZONE; index += 1) {
        const name = `${zone}-${index}`;
        this.#engines.push(new EngineModel(name, zone));
        if (options.policy.kind === "scheduler") {
          this.#entries.push(this.#makeEntry(name, zone));
        }
      }
    }
    this.#trainers = TRAINERS.map(newTrainer);
  }

  /** Plays the whole time. */
  run(): SiteFigures {
    for (const trainer of this.#trainers) this.#askStep(trainer);
    while (this.#nowMs < this.#options.durationMs) this.#step();
    let wastedTokens = 0;
    for (const engine of this.#engines) wastedTokens += engine.wastedTokens;
    return {
      draftingTokens: this.#draftingTokens,
      lookupTokens: this.#lookupTokens,
      steps: this.#stepTimesMs.length,
      stepTimesMs: this.#stepTimesMs,
      idlePart: this.#idleMs / (this.#nowMs * this.#trainers.length),
      lookupTimesMs: this.#lookupTimesMs,
      lookupsOffered: this.#offered,
      lookupsRefused: this.#refused,
      refusalTimesMs: this.#refusalTimesMs,
      lookupsExpired: this.#expired,
      wastedTokens,
    };
  }

  #makeEntry(vm: string, zone: string): Scheduler {
    const { policy } = this.#options;
    const scheduler = new Scheduler({
      vm,
      zone,
      random: this.#random,
      ...(policy.kind === "scheduler" ? { settings: policy.tuning } : {}),
    });
    scheduler.setBundle(OVERLOAD_BUNDLE);
    return scheduler;
  }

  #step(): void {
    this.#nowMs += STEP_MS;
    if (this.#nowMs === STEP_MS) this.#announce();
    this.#timers.run(this.#nowMs);
    this.#arrivals();
    if (this.#nowMs % REPORT_PERIOD_MS === 0) this.#report();
    if (this.#nowMs % DEMAND_PERIOD_MS === 0) this.#tellDemand();
    if (this.#nowMs % SWEEP_PERIOD_MS === 0) this.#sweep();
    for (const entry of this.#entries) this.#pump(entry);
    for (const engine of this.#engines) engine.step(STEP_MS);
    for (const trainer of this.#trainers) this.#train(trainer);
  }

  #announce(): void {
    const records = new Map(
      this.#engines.map((engine) => [engine.id, recordOf(engine)]),
    );
    for (const entry of this.#entries) entry.setUpstreams(records, this.#nowMs);
  }

  #report(): void {
    const seen = this.#engines.map((engine) => ({
      id: engine.id,
      ...engine.load,
    }));
    this.#after(REPORT_LAG_MS, () => {
      const loads = new Map<string, LoadReport>();
      for (const each of seen) {
        loads.set(each.id, {
          ...each,
          cacheUse: 0,
          receivedAtMs: this.#nowMs,
        });
      }
      for (const entry of this.#entries) entry.setLoads(loads);
    });
  }

  #tellDemand(): void {
    for (const [index, entry] of this.#entries.entries()) {
      const zone = Math.floor(index / PER_ZONE);
      for (const [other, neighbour] of this.#entries.entries()) {
        if (other === index || Math.floor(other / PER_ZONE) !== zone) continue;
        const name = this.#engines[index]?.id ?? "";
        neighbour.recordDemand(name, entry.demand(), this.#nowMs);
      }
    }
    for (const entry of this.#entries) entry.updateShares(this.#nowMs);
  }

  #sweep(): void {
    for (const entry of this.#entries) {
      for (const { item, failure } of entry.abandonLateWork(this.#nowMs)) {
        this.#refuse(item.id, failure);
      }
    }
  }

  #pump(entry: Scheduler): void {
    for (const { item, selection } of entry.takeDispatches(this.#nowMs)) {
      const work = this.#works.get(item.id);
      const { id } = selection.upstream;
      const engine = this.#engines.find((each) => each.id === id);
      if (work !== undefined && engine !== undefined) this.#start(work, engine);
    }
  }

  #start(work: Work, engine: EngineModel): void {
    work.engine = engine;
    work.startedMs = this.#nowMs;
    engine.admit({
      id: work.item.id,
      prefix: work.item.prefixKey,
      promptTokens: work.promptTokens,
      tokens: work.tokens,
      onWhole: () => this.#finish(work, "whole"),
    });
    this.#after(work.item.deadlineMs - this.#nowMs, () => {
      if (work.isDone) return;
      engine.cancel(work.item.id);
      this.#finish(work, "cancelled");
    });
  }

  #finish(work: Work, result: "whole" | "cancelled"): void {
    if (work.isDone) return;
    work.isDone = true;
    this.#works.delete(work.item.id);
    const totalMs = this.#nowMs - work.startedMs;
    this.#entries[work.entry]?.finish(work.item.id, {
      result,
      totalMs,
      firstByteMs: null,
      units: work.tokens,
    }, this.#nowMs);
    if (result === "whole") work.onWhole();
    else this.#expired += 1;
  }

  #submit(
    fields: Partial<WorkItem> & { readonly id: string },
    work: Pick<Work, "tokens" | "promptTokens" | "onWhole" | "onRefused">,
  ): void {
    const index = this.#turn % this.#engines.length;
    this.#turn += 1;
    const item = workItem(fields, {
      nowMs: this.#nowMs,
      tokens: work.tokens,
    });
    const made: Work = {
      ...work,
      item,
      entry: index,
      engine: undefined,
      startedMs: 0,
      isDone: false,
    };
    this.#works.set(item.id, made);
    const entry = this.#entries[index];
    const engine = this.#engines[index];
    if (entry === undefined) {
      if (engine !== undefined) this.#start(made, engine);
      return;
    }
    const refusal = entry.submit(item, this.#nowMs);
    if (refusal !== undefined) this.#refuse(item.id, refusal);
  }

  #refuse(id: string, failure: Failure): void {
    const work = this.#works.get(id);
    this.#works.delete(id);
    work?.onRefused(failure);
  }

  #arrivals(): void {
    const { load } = this.#options;
    if (load === null) return;
    const units = load * SITE_TOKENS_PER_SECOND - DRAFTING_TOKENS_PER_SECOND;
    const perSecond = Math.max(1, units / LOOKUP_UNITS);
    while (this.#nextLookupMs <= this.#nowMs) {
      this.#lookUp();
      const gap = -Math.log(1 - this.#random.fraction()) * 1_000 / perSecond;
      this.#nextLookupMs += gap;
    }
  }

  #lookUp(): void {
    this.#offered += 1;
    const arrivedMs = this.#nowMs;
    this.#submit({
      id: this.#name("lookup"),
      prefixKey: `topo-${this.#random.below(LOOKUP_PREFIXES)}`,
    }, {
      tokens: LOOKUP_TOKENS,
      promptTokens: LOOKUP_PROMPT,
      onWhole: () => {
        this.#lookupTokens += LOOKUP_TOKENS;
        this.#lookupTimesMs.push(this.#nowMs - arrivedMs);
      },
      onRefused: () => {
        this.#refused += 1;
        this.#refusalTimesMs.push(this.#nowMs - arrivedMs);
      },
    });
  }

  #askStep(trainer: TrainerState): void {
    trainer.left = GROUPS * GROUP_SIZE;
    trainer.startedMs = this.#nowMs;
    trainer.isWhole = false;
    for (let group = 0; group < GROUPS; group += 1) {
      const prefixKey = this.#name("prompt");
      for (let index = 0; index < GROUP_SIZE; index += 1) {
        this.#askSample(trainer, {
          prefixKey,
          tokens: sampleTokens(this.#random),
        });
      }
    }
  }

  #askSample(
    trainer: TrainerState,
    sample: { readonly prefixKey: string; readonly tokens: number },
  ): void {
    this.#submit({
      id: this.#name("sample"),
      class: "drafting",
      trainer: trainer.name,
      prefixKey: sample.prefixKey,
      deadlineMs: this.#nowMs + SAMPLE_DEADLINE_MS,
    }, {
      tokens: sample.tokens,
      promptTokens: SAMPLE_PROMPT,
      onWhole: () => {
        this.#draftingTokens += sample.tokens;
        trainer.left -= 1;
      },
      onRefused: (failure) =>
        this.#after(failure.retryAfterMs ?? 1_000, () => {
          this.#askSample(trainer, sample);
        }),
    });
  }

  /** A trainer trains on a step while the next one is generated, and is idle while that isn't whole. */
  #train(trainer: TrainerState): void {
    if (trainer.left === 0 && !trainer.isWhole) {
      trainer.isWhole = true;
      this.#stepTimesMs.push(this.#nowMs - trainer.startedMs);
    }
    if (trainer.trainingUntilMs > this.#nowMs) return;
    if (!trainer.isWhole) {
      this.#idleMs += STEP_MS;
      return;
    }
    trainer.trainingUntilMs = this.#nowMs + TRAIN_MS;
    this.#askStep(trainer);
  }

  #name(prefix: string): string {
    this.#made += 1;
    return `${prefix}-${this.#made}`;
  }

  #after(delayMs: Milliseconds, run: () => void): void {
    this.#timers.add(this.#nowMs + delayMs, run);
  }
}
