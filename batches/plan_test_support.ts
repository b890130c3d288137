/**
 * Parts of plan inputs for tests.
 *
 * @module
 */
import { NO_FAILED_RUNS } from "./failed_runs.ts";
import type { EngineSnapshot, PlannedItem } from "./plan_types.ts";

/** Fields of an item that has not run yet. */
export const FRESH_ITEM = {
  boundVersion: null,
  generatedTokens: 0,
  progressMs: 0,
  latestEngine: null,
  failedRuns: NO_FAILED_RUNS,
  resubmitted: false,
} as const satisfies Partial<PlannedItem>;

/** Fields of a ready engine on which nothing but the planned runs is going on. */
export const SOUND_ENGINE = {
  errorShare: 0,
  pausedUntilMs: 0,
  foreignRuns: 0,
  servesForMs: Infinity,
  startsLeft: Infinity,
} as const satisfies Partial<EngineSnapshot>;
