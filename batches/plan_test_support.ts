/**
 * Parts of plan inputs for tests.
 *
 * @module
 */
import { NO_FAILED_RUNS } from "./failed_runs.ts";
import type { FleetUpstream } from "#core";
import type { EngineSnapshot, PlacedRun, PlannedItem } from "./plan_types.ts";

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

/** The time of the plans that tests make. */
export const PLAN_MS = 10_000;

/** Returns an item that waits; `change` replaces its values. */
export function plannedItem(
  key: string,
  change: Partial<PlannedItem> = {},
): PlannedItem {
  return {
    ...FRESH_ITEM,
    key,
    group: "g",
    model: "m",
    service: "models",
    priority: 1,
    minimumVersion: 1,
    dueMs: PLAN_MS + 7_000,
    tokensLeft: 1_000,
    usedTokens: 500,
    ...change,
  };
}

/** Returns an engine with two slots and version 1; `change` and `upstream` replace its values. */
export function engineSnapshot(
  id: string,
  change: Partial<EngineSnapshot> = {},
  upstream: Partial<FleetUpstream> = {},
): EngineSnapshot {
  return {
    ...SOUND_ENGINE,
    upstream: {
      id,
      bornMs: 1,
      sequence: 1,
      service: "models",
      zone: "a",
      address: { host: "10.0.0.1", port: 80 },
      slots: 2,
      phase: "ready",
      serves: [],
      ...upstream,
    },
    versions: new Map([["m", 1]]),
    eventIntervalMs: 40,
    cacheTokens: 100_000,
    ...change,
  };
}

/** Returns a run that has had events for two seconds; `change` replaces its values. */
export function placedRun(
  key: string,
  engine: string,
  change: Partial<PlacedRun> = {},
): PlacedRun {
  return {
    item: plannedItem(key),
    engine,
    startedMs: PLAN_MS - 2_000,
    lastEventMs: PLAN_MS - 40,
    hasEvents: true,
    moves: 0,
    ...change,
  };
}
