/**
 * Which engines can run an item, and which of them is best. Performs no I/O.
 *
 * @module
 */
import { incarnationOf, type Milliseconds } from "#core";
import { EngineLoad } from "./engine_load.ts";
import type { EngineSnapshot, PlacedRun, PlannedItem } from "./plan_types.ts";

const USABLE_CACHE_FRACTION = 0.9;
/** Estimates of lengths are often far too high: an item that has waited so long starts on an engine with room now. */
const ESTIMATE_PATIENCE_MS: Milliseconds = 1_000;
/** How much slower an engine counts whose runs all fail; it is still used while the others are full. */
const ERROR_PENALTY = 4;

/** The loads of engines by their identifiers. */
export type LoadsByEngine = Map<string, EngineLoad>;

/** Returns the load of each engine, by its identifier. */
export function loadByEngine(
  runs: readonly PlacedRun[],
): LoadsByEngine {
  const loads = new Map<string, EngineLoad>();
  for (const run of runs) addLoad(loads, run.engine, run.item);
  return loads;
}

/** Adds a run to the load of an engine. */
export function addLoad(
  loads: LoadsByEngine,
  engine: string,
  item: PlannedItem,
): void {
  const load = loads.get(engine) ?? new EngineLoad();
  load.add(item);
  loads.set(engine, load);
}

/** Returns the engine with room for an item on which it starts best, or undefined if none can run it now. */
export function bestEngine(
  item: PlannedItem,
  state: {
    readonly engines: Iterable<EngineSnapshot>;
    readonly nowMs: Milliseconds;
    readonly loads: ReadonlyMap<string, EngineLoad>;
  },
): EngineSnapshot | undefined {
  const { loads, nowMs } = state;
  const hasWaited = nowMs - item.progressMs >= ESTIMATE_PATIENCE_MS;
  let best: EngineSnapshot | undefined;
  let bestScore = Infinity;
  let fewestFailedRuns = Infinity;
  for (const engine of state.engines) {
    if (!canRun(item, engine, nowMs)) continue;
    const hasRoom = hasCapacity(item, engine, loads) ||
      (hasWaited && isUnderHalfFull(item, engine, loads));
    if (!hasRoom) continue;
    const failures = failedRunsAt(item, engine);
    if (failures > fewestFailedRuns) continue;
    const score = placementScore(item, engine, loads);
    if (failures === fewestFailedRuns && score >= bestScore) continue;
    best = engine;
    bestScore = score;
    fewestFailedRuns = failures;
  }
  return best;
}

/** Returns whether an engine may run an item now, whatever its load. */
export function canRun(
  item: PlannedItem,
  engine: EngineSnapshot,
  nowMs: Milliseconds,
): boolean {
  if (engine.upstream.phase !== "ready") return false;
  if (nowMs < engine.pausedUntilMs || !hasVersion(item, engine)) return false;
  const { failedRuns } = item;
  // A plan looks at each pair of an item and an engine.
  return failedRuns.isEmpty ||
    failedRuns.mayStart(incarnationOf(engine.upstream), nowMs);
}

/** Returns how often runs of an item failed at an engine. */
function failedRunsAt(item: PlannedItem, { upstream }: EngineSnapshot): number {
  const { failedRuns } = item;
  return failedRuns.isEmpty ? 0 : failedRuns.countAt(incarnationOf(upstream));
}

/** Returns whether an engine of the item's service has a version that may continue its text. */
export function hasVersion(item: PlannedItem, engine: EngineSnapshot): boolean {
  if (engine.upstream.service !== item.service) return false;
  const version = engine.versions.get(item.model) ?? 0;
  if (item.boundVersion !== null && version !== item.boundVersion) return false;
  return version >= item.minimumVersion;
}

/** Returns whether an engine has a free slot. */
export function hasFreeSlot(
  engine: EngineSnapshot,
  loads: ReadonlyMap<string, EngineLoad>,
): boolean {
  return runsOn(engine, loads) < engine.upstream.slots;
}

function runsOn(
  engine: EngineSnapshot,
  loads: ReadonlyMap<string, EngineLoad>,
): number {
  return engine.foreignRuns + (loads.get(engine.upstream.id)?.running ?? 0);
}

/** Returns whether an engine has a free slot, and room in its cache for an item. */
export function hasCapacity(
  item: PlannedItem,
  engine: EngineSnapshot,
  loads: ReadonlyMap<string, EngineLoad>,
): boolean {
  if (!hasFreeSlot(engine, loads)) return false;
  const load = loads.get(engine.upstream.id);
  if (load === undefined) return true;
  return load.peakTokensWith(item) <=
    engine.cacheTokens * USABLE_CACHE_FRACTION;
}

/** Returns whether an engine has at most half of its slots and of its cache in use with an item, as its runs are now. */
function isUnderHalfFull(
  item: PlannedItem,
  engine: EngineSnapshot,
  loads: ReadonlyMap<string, EngineLoad>,
): boolean {
  const runs = runsOn(engine, loads) + 1;
  const usedTokens = (loads.get(engine.upstream.id)?.usedTokens ?? 0) +
    item.usedTokens;
  return runs <= engine.upstream.slots / 2 &&
    usedTokens <= engine.cacheTokens / 2;
}

/**
 * Returns a score, lower is better: speed and sound runs count first, then a cached prompt, then the lower load.
 */
function placementScore(
  item: PlannedItem,
  engine: EngineSnapshot,
  loads: ReadonlyMap<string, EngineLoad>,
): number {
  const load = loads.get(engine.upstream.id);
  const fullness = runsOn(engine, loads) / Math.max(1, engine.upstream.slots);
  const promptCached = load?.hasGroup(item.group) === true;
  const loadPenalty = promptCached ? fullness * 0.5 : 0.3 + fullness;
  const errorPenalty = engine.errorShare * ERROR_PENALTY;
  return engine.eventIntervalMs * (1 + loadPenalty) * (1 + errorPenalty);
}
