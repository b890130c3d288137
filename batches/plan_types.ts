/**
 * What the plans of items see: the items, their runs, and the engines.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";
import type { KnownFailedRuns } from "./failed_runs.ts";

/** Estimated time in which an engine generates a token of one run. */
export const ESTIMATED_TOKEN_MS: Milliseconds = 0.6;

/** An item as the plan uses it, waiting for an engine or running. */
export interface PlannedItem {
  readonly key: string;
  readonly group: string;
  readonly model: string;
  /** Service of its route, or null for an item that runs but whose route has been removed. */
  readonly service: string | null;
  /** Priority of its tenant or else of its route; 0 is the highest. */
  readonly priority: number;
  /** Oldest weight version that may generate its tokens. */
  readonly minimumVersion: number;
  /** The only version that may continue its text, or null. */
  readonly boundVersion: number | null;
  /** When its result is due, on this VM's clock. */
  readonly dueMs: Milliseconds;
  /** Estimated number of tokens still to be generated. */
  readonly tokensLeft: number;
  /** Estimated number of tokens generated so far. */
  readonly generatedTokens: number;
  /** When its last event arrived on this VM, or since when this VM has the item. */
  readonly progressMs: Milliseconds;
  /** The engine of its last run on this VM, or null before the first. */
  readonly latestEngine: string | null;
  /** Its failed runs on this VM. */
  readonly failedRuns: KnownFailedRuns;
  /** Tokens of its prompt and of its generated text, which occupy the cache of an engine. */
  readonly usedTokens: number;
  /** Tenant of its batch; null or absent if it has none. */
  readonly tenant?: string | null;
  /** Whether an earlier batch contained it; the trainer waits for such an item in any case. */
  readonly resubmitted: boolean;
}

/** A run on an engine. */
export interface PlacedRun {
  readonly item: PlannedItem;
  readonly engine: string;
  readonly startedMs: Milliseconds;
  /** When its last event arrived, or its start time before the first event. */
  readonly lastEventMs: Milliseconds;
  /** Whether an event has arrived since the run started. */
  readonly hasEvents: boolean;
  /** How often the item has been moved to another engine. */
  readonly moves: number;
}

/** Status of an engine at the time of the plan. */
export interface EngineSnapshot {
  readonly upstream: FleetUpstream;
  /** Last known version of each model. */
  readonly versions: ReadonlyMap<string, number>;
  /** Expected time between two events of one run. */
  readonly eventIntervalMs: Milliseconds;
  /** Share of its latest runs that failed, 0 to 1. */
  readonly errorShare: number;
  /** No runs start on the engine before this time. */
  readonly pausedUntilMs: Milliseconds;
  /** Capacity of its cache in tokens, or Infinity, without what `foreignRuns` occupy. */
  readonly cacheTokens: number;
  /** Runs on it that this VM did not start. */
  readonly foreignRuns: number;
  /** How long it goes on serving its runs; Infinity unless it is draining. */
  readonly servesForMs: Milliseconds;
  /** Runs that may start on it now; Infinity unless it names a limit of requests. */
  readonly startsLeft: number;
}

/** Input of the plan functions. */
export interface ItemPlanInput {
  readonly nowMs: Milliseconds;
  /** How late this VM read events lately, at most; intervals between events seem longer by up to that. */
  readonly readingDelayMs: Milliseconds;
  readonly waiting: readonly PlannedItem[];
  readonly runs: readonly PlacedRun[];
  readonly engines: readonly EngineSnapshot[];
}
