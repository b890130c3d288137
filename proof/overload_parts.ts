/**
 * What the site of the overload benchmark is run with, what comes out, and what it keeps of requests and
 * trainers.
 *
 * @module
 */
import type { Failure, Milliseconds, RandomSource } from "#core";
import type { PolicySettings, WorkItem } from "#requests";
import {
  ENGINE_CAPACITY,
  type EngineModel,
  TOKENS_PER_SECOND,
} from "./overload_engine.ts";

/** Zones of the site. */
export const ZONES = ["ngor", "plateau", "ouakam"] as const;
/** Entries, and engines, in a zone. */
export const PER_ZONE = 2;
/** Tokens a second of all engines. */
export const SITE_TOKENS_PER_SECOND = ZONES.length * PER_ZONE *
  ENGINE_CAPACITY * TOKENS_PER_SECOND;
/** Tokens a second that the trainers ask for when they never wait. */
export const DRAFTING_TOKENS_PER_SECOND = 2_080;

const LOOKUP_DEADLINE_MS: Milliseconds = 5_000;

/** How requests are routed. */
export type SitePolicy =
  | { readonly kind: "round_robin" }
  | { readonly kind: "scheduler"; readonly tuning: PolicySettings };

/** What a site is run with. */
export interface SiteOptions {
  readonly policy: SitePolicy;
  /** Offered load over capacity; null for drafting alone. */
  readonly load: number | null;
  readonly seed: number;
  readonly durationMs: Milliseconds;
}

/** What came out. */
export interface SiteFigures {
  readonly draftingTokens: number;
  readonly lookupTokens: number;
  readonly steps: number;
  readonly stepTimesMs: readonly Milliseconds[];
  readonly idlePart: number;
  readonly lookupTimesMs: readonly Milliseconds[];
  readonly lookupsOffered: number;
  readonly lookupsRefused: number;
  readonly refusalTimesMs: readonly Milliseconds[];
  readonly lookupsExpired: number;
  readonly wastedTokens: number;
}

/** One request with what becomes of it. */
export interface Work {
  readonly item: WorkItem;
  readonly tokens: number;
  readonly promptTokens: number;
  readonly entry: number;
  readonly onRefused: (failure: Failure) => void;
  readonly onWhole: () => void;
  engine: EngineModel | undefined;
  startedMs: Milliseconds;
  isDone: boolean;
}

/** A trainer and its step. */
export interface TrainerState {
  readonly name: string;
  left: number;
  startedMs: Milliseconds;
  trainingUntilMs: Milliseconds;
  isWhole: boolean;
}

/** A request; a lookup where the fields say nothing else. */
export function workItem(
  fields: Partial<WorkItem> & { readonly id: string },
  at: { readonly nowMs: Milliseconds; readonly tokens: number },
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
    arrivedMs: at.nowMs,
    deadlineMs: at.nowMs + LOOKUP_DEADLINE_MS,
    cost: at.tokens,
    ...fields,
  };
}

/** A trainer before its first step. */
export function newTrainer(name: string): TrainerState {
  return {
    name,
    left: 0,
    startedMs: 0,
    trainingUntilMs: 0,
    isWhole: false,
  };
}

/** Length of the next sample: few are long. */
export function sampleTokens(random: RandomSource): number {
  if (random.fraction() < 0.05) return 800;
  return 100 + random.below(300);
}

/** What is due at set times of a site. */
export class SiteTimers {
  readonly #timers: {
    readonly atMs: Milliseconds;
    readonly run: () => void;
  }[] = [];

  /** Sets a timer. */
  add(atMs: Milliseconds, run: () => void): void {
    this.#timers.push({ atMs, run });
  }

  /** Runs what is due. */
  run(nowMs: Milliseconds): void {
    const due = this.#timers.filter((timer) => timer.atMs <= nowMs);
    if (due.length === 0) return;
    const left = this.#timers.filter((timer) => timer.atMs > nowMs);
    this.#timers.splice(0, this.#timers.length, ...left);
    for (const timer of due) timer.run();
  }
}
