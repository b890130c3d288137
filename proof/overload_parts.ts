/**
 * Options and figures of the site of the overload benchmark, and the state of its requests and trainers.
 *
 * @module
 */
import type { Failure, Milliseconds, RandomSource } from "#core";
import type { PolicySettings, WorkItem } from "#requests";
import {
  DECODE_TOKENS_PER_SECOND,
  ENGINE_CAPACITY,
  type EngineModel,
} from "./overload_engine.ts";

/** Zones of the site. */
export const ZONES = ["ngor", "plateau", "ouakam"] as const;
/** Number of pairs of an entry VM and an engine in a zone. */
export const PAIRS_PER_ZONE = 2;
/** Tokens per second of all engines together. */
export const SITE_TOKENS_PER_SECOND = ZONES.length * PAIRS_PER_ZONE *
  ENGINE_CAPACITY * DECODE_TOKENS_PER_SECOND;
/** Tokens per second that the trainers request when they never wait for samples. */
export const DRAFTING_TOKENS_PER_SECOND = 2_080;

const LOOKUP_DEADLINE_MS: Milliseconds = 5_000;

/** Policy by which a site assigns requests to engines. */
export type SitePolicy =
  | { readonly kind: "round_robin" }
  | { readonly kind: "scheduler"; readonly settings: PolicySettings };

/** Options of a site. */
export interface SiteOptions {
  readonly policy: SitePolicy;
  /** Offered load as a multiple of the capacity; null for drafting without lookups. */
  readonly load: number | null;
  readonly seed: number;
  readonly durationMs: Milliseconds;
}

/** Figures of one run of a site. */
export interface SiteFigures {
  readonly draftingTokens: number;
  readonly lookupTokens: number;
  readonly steps: number;
  readonly stepTimesMs: readonly Milliseconds[];
  readonly idleFraction: number;
  readonly lookupTimesMs: readonly Milliseconds[];
  readonly lookupsOffered: number;
  readonly lookupsRejected: number;
  readonly rejectionTimesMs: readonly Milliseconds[];
  readonly lookupsExpired: number;
  readonly wastedTokens: number;
}

/** A request and its state. */
export interface SiteRequest {
  readonly item: WorkItem;
  readonly tokens: number;
  readonly promptTokens: number;
  readonly entry: number;
  readonly onRejected: (failure: Failure) => void;
  readonly onComplete: () => void;
  engine: EngineModel | undefined;
  startedMs: Milliseconds;
  isDone: boolean;
}

/** A trainer and the state of its current step. */
export interface TrainerState {
  readonly name: string;
  remainingSamples: number;
  startedMs: Milliseconds;
  trainingUntilMs: Milliseconds;
  isStepComplete: boolean;
}

/** Returns a work item, which is a lookup unless `fields` override it. */
export function makeWorkItem(
  fields: Partial<WorkItem> & { readonly id: string },
  submission: { readonly nowMs: Milliseconds; readonly tokens: number },
): WorkItem {
  return {
    tenant: "agency",
    class: "lookup",
    trainer: null,
    target: { kind: "model", name: "topo" },
    prefixKey: "",
    minimumVersion: null,
    urgent: false,
    avoid: [],
    admitted: false,
    arrivedMs: submission.nowMs,
    deadlineMs: submission.nowMs + LOOKUP_DEADLINE_MS,
    cost: submission.tokens,
    ...fields,
  };
}

/** Returns the state of a trainer before its first step. */
export function newTrainer(name: string): TrainerState {
  return {
    name,
    remainingSamples: 0,
    startedMs: 0,
    trainingUntilMs: 0,
    isStepComplete: false,
  };
}

/** Returns a random sample length in tokens; one sample in twenty is long. */
export function sampleTokens(random: RandomSource): number {
  if (random.fraction() < 0.05) return 800;
  return 100 + random.below(300);
}

/** Timers of a site, in virtual time. */
export class SiteTimers {
  readonly #timers: {
    readonly atMs: Milliseconds;
    readonly run: () => void;
  }[] = [];

  /** Schedules `run` at a time. */
  add(atMs: Milliseconds, run: () => void): void {
    this.#timers.push({ atMs, run });
  }

  /** Runs and removes the timers that are due. */
  runDue(nowMs: Milliseconds): void {
    const due = this.#timers.filter((timer) => timer.atMs <= nowMs);
    if (due.length === 0) return;
    const pending = this.#timers.filter((timer) => timer.atMs > nowMs);
    this.#timers.splice(0, this.#timers.length, ...pending);
    for (const timer of due) timer.run();
  }
}
