/**
 * The site of the overload benchmark, in virtual time: three zones with two entry VMs and two engines each, two
 * trainers, and callers that send lookups.
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
import { EngineModel, upstreamRecord } from "./overload_engine.ts";
import {
  DRAFTING_TOKENS_PER_SECOND,
  makeWorkItem,
  newTrainer,
  PAIRS_PER_ZONE,
  sampleTokens,
  SITE_TOKENS_PER_SECOND,
  type SiteFigures,
  type SiteOptions,
  type SiteRequest,
  SiteTimers,
  type TrainerState,
  ZONES,
} from "./overload_parts.ts";

const STEP_MS: Milliseconds = 10;
const REPORT_PERIOD_MS: Milliseconds = 1_000;
const REPORT_DELAY_MS: Milliseconds = 500;
const DEMAND_PERIOD_MS: Milliseconds = 200;
const SWEEP_PERIOD_MS: Milliseconds = 50;
const SAMPLE_DEADLINE_MS: Milliseconds = 540_000;
const LOOKUP_TOKENS = 40;
const LOOKUP_PROMPT_TOKENS = 300;
const LOOKUP_UNITS = LOOKUP_TOKENS + 20;
const LOOKUP_PREFIXES = 40;
const SAMPLE_PROMPT_TOKENS = 600;
const GROUPS_PER_STEP = 12;
const GROUP_SIZE = 8;
const TRAINING_MS: Milliseconds = 24_000;
const TRAINERS = ["grades", "routes"] as const;

/** Simulates one site. */
export class OverloadSite {
  readonly #options: SiteOptions;
  readonly #random: SeededRandom;
  readonly #engines: EngineModel[] = [];
  readonly #entries: Scheduler[] = [];
  readonly #requests = new Map<string, SiteRequest>();
  readonly #timers = new SiteTimers();
  readonly #trainers: TrainerState[];
  #nowMs: Milliseconds = 0;
  #lastId = 0;
  #submitted = 0;
  #nextLookupMs: Milliseconds = 0;
  #draftingTokens = 0;
  #lookupTokens = 0;
  #idleMs = 0;
  #lookupsOffered = 0;
  #lookupsRejected = 0;
  #expired = 0;
  readonly #stepTimesMs: Milliseconds[] = [];
  readonly #lookupTimesMs: Milliseconds[] = [];
  readonly #rejectionTimesMs: Milliseconds[] = [];

  constructor(options: SiteOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    for (const zone of ZONES) {
      for (let index = 0; index < PAIRS_PER_ZONE; index += 1) {
        const name = `${zone}-${index}`;
        this.#engines.push(new EngineModel(name, zone));
        if (options.policy.kind === "scheduler") {
          this.#entries.push(this.#makeEntry(name, zone));
        }
      }
    }
    this.#trainers = TRAINERS.map(newTrainer);
  }

  /** Runs the site for its full duration and returns its figures. */
  run(): SiteFigures {
    for (const trainer of this.#trainers) this.#requestStep(trainer);
    while (this.#nowMs < this.#options.durationMs) this.#advance();
    let wastedTokens = 0;
    for (const engine of this.#engines) wastedTokens += engine.wastedTokens;
    return {
      draftingTokens: this.#draftingTokens,
      lookupTokens: this.#lookupTokens,
      steps: this.#stepTimesMs.length,
      stepTimesMs: this.#stepTimesMs,
      idleFraction: this.#idleMs / (this.#nowMs * this.#trainers.length),
      lookupTimesMs: this.#lookupTimesMs,
      lookupsOffered: this.#lookupsOffered,
      lookupsRejected: this.#lookupsRejected,
      rejectionTimesMs: this.#rejectionTimesMs,
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
      ...(policy.kind === "scheduler" ? { settings: policy.settings } : {}),
    });
    scheduler.setBundle(OVERLOAD_BUNDLE);
    return scheduler;
  }

  #advance(): void {
    this.#nowMs += STEP_MS;
    if (this.#nowMs === STEP_MS) this.#announceEngines();
    this.#timers.runDue(this.#nowMs);
    this.#submitLookups();
    if (this.#nowMs % REPORT_PERIOD_MS === 0) this.#reportLoads();
    if (this.#nowMs % DEMAND_PERIOD_MS === 0) this.#shareDemand();
    if (this.#nowMs % SWEEP_PERIOD_MS === 0) this.#rejectLateWork();
    for (const entry of this.#entries) this.#dispatch(entry);
    for (const engine of this.#engines) engine.step(STEP_MS);
    for (const trainer of this.#trainers) this.#advanceTrainer(trainer);
  }

  #announceEngines(): void {
    const records = new Map(
      this.#engines.map((engine) => [engine.id, upstreamRecord(engine)]),
    );
    for (const entry of this.#entries) entry.setUpstreams(records, this.#nowMs);
  }

  #reportLoads(): void {
    const observed = this.#engines.map((engine) => ({
      id: engine.id,
      ...engine.load,
    }));
    this.#schedule(REPORT_DELAY_MS, () => {
      const loads = new Map<string, LoadReport>();
      for (const each of observed) {
        loads.set(each.id, {
          ...each,
          cacheUse: 0,
          receivedAtMs: this.#nowMs,
        });
      }
      for (const entry of this.#entries) entry.setLoads(loads);
    });
  }

  #shareDemand(): void {
    for (const [index, entry] of this.#entries.entries()) {
      const zone = Math.floor(index / PAIRS_PER_ZONE);
      for (const [neighbourIndex, neighbour] of this.#entries.entries()) {
        if (
          neighbourIndex === index ||
          Math.floor(neighbourIndex / PAIRS_PER_ZONE) !== zone
        ) {
          continue;
        }
        const name = this.#engines[index]?.id ?? "";
        neighbour.recordDemand(name, entry.demand(), this.#nowMs);
      }
    }
    for (const entry of this.#entries) entry.updateShares(this.#nowMs);
  }

  #rejectLateWork(): void {
    for (const entry of this.#entries) {
      for (const { item, failure } of entry.abandonLateWork(this.#nowMs)) {
        this.#reject(item.id, failure);
      }
    }
  }

  #dispatch(entry: Scheduler): void {
    for (const { item, selection } of entry.takeDispatches(this.#nowMs)) {
      const request = this.#requests.get(item.id);
      const { id } = selection.upstream;
      const engine = this.#engines.find((each) => each.id === id);
      if (request !== undefined && engine !== undefined) {
        this.#startRequest(request, engine);
      }
    }
  }

  #startRequest(request: SiteRequest, engine: EngineModel): void {
    request.engine = engine;
    request.startedMs = this.#nowMs;
    engine.admit({
      id: request.item.id,
      prefix: request.item.prefixKey,
      promptTokens: request.promptTokens,
      tokens: request.tokens,
      onComplete: () => this.#finishRequest(request, "whole"),
    });
    this.#schedule(request.item.deadlineMs - this.#nowMs, () => {
      if (request.isDone) return;
      engine.cancel(request.item.id);
      this.#finishRequest(request, "cancelled");
    });
  }

  #finishRequest(request: SiteRequest, result: "whole" | "cancelled"): void {
    if (request.isDone) return;
    request.isDone = true;
    this.#requests.delete(request.item.id);
    const totalMs = this.#nowMs - request.startedMs;
    this.#entries[request.entry]?.finish(request.item.id, {
      result,
      totalMs,
      firstByteMs: null,
      units: request.tokens,
    }, this.#nowMs);
    if (result === "whole") request.onComplete();
    else this.#expired += 1;
  }

  #submit(
    fields: Partial<WorkItem> & { readonly id: string },
    parameters: Pick<
      SiteRequest,
      "tokens" | "promptTokens" | "onComplete" | "onRejected"
    >,
  ): void {
    const index = this.#submitted % this.#engines.length;
    this.#submitted += 1;
    const item = makeWorkItem(fields, {
      nowMs: this.#nowMs,
      tokens: parameters.tokens,
    });
    const request: SiteRequest = {
      ...parameters,
      item,
      entry: index,
      engine: undefined,
      startedMs: 0,
      isDone: false,
    };
    this.#requests.set(item.id, request);
    const entry = this.#entries[index];
    const engine = this.#engines[index];
    if (entry === undefined) {
      if (engine !== undefined) this.#startRequest(request, engine);
      return;
    }
    const rejection = entry.submit(item, this.#nowMs);
    if (rejection !== undefined) this.#reject(item.id, rejection);
  }

  #reject(id: string, failure: Failure): void {
    const request = this.#requests.get(id);
    this.#requests.delete(id);
    request?.onRejected(failure);
  }

  #submitLookups(): void {
    const { load } = this.#options;
    if (load === null) return;
    const units = load * SITE_TOKENS_PER_SECOND - DRAFTING_TOKENS_PER_SECOND;
    const perSecond = Math.max(1, units / LOOKUP_UNITS);
    while (this.#nextLookupMs <= this.#nowMs) {
      this.#submitLookup();
      const intervalMs = -Math.log(1 - this.#random.fraction()) * 1_000 /
        perSecond;
      this.#nextLookupMs += intervalMs;
    }
  }

  #submitLookup(): void {
    this.#lookupsOffered += 1;
    const arrivedMs = this.#nowMs;
    this.#submit({
      id: this.#nextId("lookup"),
      prefixKey: `topo-${this.#random.below(LOOKUP_PREFIXES)}`,
    }, {
      tokens: LOOKUP_TOKENS,
      promptTokens: LOOKUP_PROMPT_TOKENS,
      onComplete: () => {
        this.#lookupTokens += LOOKUP_TOKENS;
        this.#lookupTimesMs.push(this.#nowMs - arrivedMs);
      },
      onRejected: () => {
        this.#lookupsRejected += 1;
        this.#rejectionTimesMs.push(this.#nowMs - arrivedMs);
      },
    });
  }

  #requestStep(trainer: TrainerState): void {
    trainer.remainingSamples = GROUPS_PER_STEP * GROUP_SIZE;
    trainer.startedMs = this.#nowMs;
    trainer.isStepComplete = false;
    for (let group = 0; group < GROUPS_PER_STEP; group += 1) {
      const prefixKey = this.#nextId("prompt");
      for (let index = 0; index < GROUP_SIZE; index += 1) {
        this.#requestSample(trainer, {
          prefixKey,
          tokens: sampleTokens(this.#random),
        });
      }
    }
  }

  #requestSample(
    trainer: TrainerState,
    sample: { readonly prefixKey: string; readonly tokens: number },
  ): void {
    this.#submit({
      id: this.#nextId("sample"),
      class: "drafting",
      trainer: trainer.name,
      prefixKey: sample.prefixKey,
      deadlineMs: this.#nowMs + SAMPLE_DEADLINE_MS,
    }, {
      tokens: sample.tokens,
      promptTokens: SAMPLE_PROMPT_TOKENS,
      onComplete: () => {
        this.#draftingTokens += sample.tokens;
        trainer.remainingSamples -= 1;
      },
      onRejected: (failure) =>
        this.#schedule(failure.retryAfterMs ?? 1_000, () => {
          this.#requestSample(trainer, sample);
        }),
    });
  }

  /** Advances a trainer, which trains on one step while the next is generated and is idle until that is complete. */
  #advanceTrainer(trainer: TrainerState): void {
    if (trainer.remainingSamples === 0 && !trainer.isStepComplete) {
      trainer.isStepComplete = true;
      this.#stepTimesMs.push(this.#nowMs - trainer.startedMs);
    }
    if (trainer.trainingUntilMs > this.#nowMs) return;
    if (!trainer.isStepComplete) {
      this.#idleMs += STEP_MS;
      return;
    }
    trainer.trainingUntilMs = this.#nowMs + TRAINING_MS;
    this.#requestStep(trainer);
  }

  #nextId(prefix: string): string {
    this.#lastId += 1;
    return `${prefix}-${this.#lastId}`;
  }

  #schedule(delayMs: Milliseconds, run: () => void): void {
    this.#timers.add(this.#nowMs + delayMs, run);
  }
}
