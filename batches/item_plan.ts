/**
 * Decides which items start on which engines, and which runs are to go on elsewhere. Without input or output.
 *
 * The tail of a step decides when it is whole: the item with the least time to spare goes first, on the
 * engine that makes events fastest; a run that makes no events, or makes them slowly while a faster engine
 * has a free place, goes on there from its last event.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";
import { EngineLoad } from "./engine_load.ts";

/** An item that waits for an engine. */
export interface PlannedItem {
  readonly key: string;
  readonly group: string;
  readonly model: string;
  readonly service: string;
  /** Oldest version that may make its tokens. */
  readonly minimumVersion: number;
  /** The only version that may go on with its text, or null. */
  readonly boundVersion: number | null;
  /** When its result is wanted, on this VM's clock. */
  readonly dueMs: Milliseconds;
  /** Tokens still to be made, by estimate. */
  readonly tokensLeft: number;
  /** Tokens of its prompt and of what it has made: they go into an engine's memory. */
  readonly usedTokens: number;
  /** Whether an earlier batch had it: the trainer waits for it in any case. */
  readonly resubmitted: boolean;
}

/** A run at an engine. */
export interface PlacedRun {
  readonly item: PlannedItem;
  readonly engine: string;
  readonly startedMs: Milliseconds;
  /** When its last event came, or when it began. */
  readonly lastEventMs: Milliseconds;
  readonly hasEvents: boolean;
  readonly moves: number;
}

/** An engine as the plan sees it. */
export interface EngineSnapshot {
  readonly upstream: FleetUpstream;
  /** Version of each model as far as is known. */
  readonly versions: ReadonlyMap<string, number>;
  /** Mean time between two events of one run. */
  readonly eventIntervalMs: Milliseconds;
  /** No new runs before this time. */
  readonly pausedUntilMs: Milliseconds;
  /** Tokens that fit into its memory, or Infinity. */
  readonly cacheTokens: number;
}

/** What a plan is made from. */
export interface ItemPlanInput {
  readonly nowMs: Milliseconds;
  readonly waiting: readonly PlannedItem[];
  readonly runs: readonly PlacedRun[];
  readonly engines: readonly EngineSnapshot[];
}

/** An item and the engine that it is to start at. */
export interface PlannedStart {
  readonly item: PlannedItem;
  readonly engine: FleetUpstream;
}

/** Silence of a run, in mean gaps between events, after which it goes on elsewhere. */
const STALL_EVENT_INTERVALS = 6;
const MINIMUM_STALL_MS: Milliseconds = 350;
/** A run that has no event yet may have to wait for its prompt. */
const MINIMUM_FIRST_EVENT_STALL_MS: Milliseconds = 700;
/** How many times faster another engine must be for a run to go on there. */
const MOVE_SPEED_RATIO = 1.7;
/** The same for a run that may be late where it is. */
const LATE_MOVE_SPEED_RATIO = 1.2;
/** Texts get longer than estimated, often by as much again. */
const LENGTH_SAFETY_FACTOR = 2;
const MINIMUM_MOVE_GAIN_MS: Milliseconds = 150;
/** Moves of one item to faster engines; there is no bound on leaving silent ones. */
const MAXIMUM_MOVES = 6;
/** How long a run stays at least: an engine that reads the prompts of new runs seems slow meanwhile. */
const MINIMUM_STAY_MS: Milliseconds = 1_000;
const RESUBMITTED_HEAD_START_MS: Milliseconds = 3_000;
const USABLE_CACHE_FRACTION = 0.9;
const ESTIMATED_TOKEN_MS: Milliseconds = 0.6;

/** Items to start now. */
export function planStarts(input: ItemPlanInput): readonly PlannedStart[] {
  const loads = loadByEngine(input.runs);
  const starts: PlannedStart[] = [];
  const ordered = [...input.waiting].sort((a, b) =>
    latestStartMs(a) - latestStartMs(b)
  );
  for (const item of ordered) {
    const engine = bestEngine(item, input, loads);
    if (engine === undefined) continue;
    addLoad(loads, engine.upstream.id, item);
    starts.push({ item, engine: engine.upstream });
  }
  return starts;
}

/** Why a run goes on elsewhere. */
export type MoveReason = "engine_leaves" | "silent" | "faster_elsewhere";

/** A run that is to end here and go on elsewhere. */
export interface PlannedMove {
  readonly key: string;
  readonly reason: MoveReason;
  /** Where it goes on at once, or null if that is still to be found. */
  readonly to: FleetUpstream | null;
}

/** Runs that are to end here and go on elsewhere. */
export function planMoves(input: ItemPlanInput): readonly PlannedMove[] {
  const loads = loadByEngine(input.runs);
  const reading = enginesReadingPrompts(input.runs);
  const enginesById = new Map(
    input.engines.map((each) => [each.upstream.id, each]),
  );
  const moves: PlannedMove[] = [];
  const slowest = [...input.runs].sort((a, b) =>
    latestStartMs(a.item) - latestStartMs(b.item)
  );
  for (const run of slowest) {
    const engine = enginesById.get(run.engine);
    if (engine === undefined || engine.upstream.phase !== "ready") {
      moves.push({ key: run.item.key, reason: "engine_leaves", to: null });
      continue;
    }
    if (isStalled(run, engine, input.nowMs)) {
      moves.push({ key: run.item.key, reason: "silent", to: null });
      continue;
    }
    if (run.moves >= MAXIMUM_MOVES) continue;
    if (input.nowMs < run.startedMs + MINIMUM_STAY_MS) continue;
    const to = fasterEngine(run, engine, { input, loads, reading })?.upstream;
    if (to === undefined) continue;
    addLoad(loads, to.id, run.item);
    reading.add(to.id);
    moves.push({ key: run.item.key, reason: "faster_elsewhere", to });
  }
  return moves;
}

/** Whether a run has made no event for too long. */
export function isStalled(
  run: PlacedRun,
  engine: EngineSnapshot,
  nowMs: Milliseconds,
): boolean {
  const minimumMs = run.hasEvents
    ? MINIMUM_STALL_MS
    : MINIMUM_FIRST_EVENT_STALL_MS;
  const allowedMs = Math.max(
    minimumMs,
    STALL_EVENT_INTERVALS * engine.eventIntervalMs,
  );
  return nowMs - run.lastEventMs > allowedMs;
}

function latestStartMs(item: PlannedItem): number {
  const headStartMs = item.resubmitted ? RESUBMITTED_HEAD_START_MS : 0;
  return item.dueMs - item.tokensLeft * ESTIMATED_TOKEN_MS - headStartMs;
}

function loadByEngine(runs: readonly PlacedRun[]): Map<string, EngineLoad> {
  const loads = new Map<string, EngineLoad>();
  for (const run of runs) addLoad(loads, run.engine, run.item);
  return loads;
}

/** Engines that read a prompt now. Runs that came to one all at once would slow each other down. */
function enginesReadingPrompts(runs: readonly PlacedRun[]): Set<string> {
  const reading = new Set<string>();
  for (const run of runs) {
    if (!run.hasEvents) reading.add(run.engine);
  }
  return reading;
}

function addLoad(
  loads: Map<string, EngineLoad>,
  engine: string,
  item: PlannedItem,
): void {
  const load = loads.get(engine) ?? new EngineLoad();
  load.add(item);
  loads.set(engine, load);
}

function bestEngine(
  item: PlannedItem,
  input: ItemPlanInput,
  loads: ReadonlyMap<string, EngineLoad>,
): EngineSnapshot | undefined {
  let best: EngineSnapshot | undefined;
  let bestScore = Infinity;
  for (const engine of input.engines) {
    if (!canRun(item, engine, input.nowMs)) continue;
    if (!hasCapacity(item, engine, loads)) continue;
    const score = placementScore(item, engine, loads);
    if (score >= bestScore) continue;
    best = engine;
    bestScore = score;
  }
  return best;
}

function canRun(
  item: PlannedItem,
  engine: EngineSnapshot,
  nowMs: Milliseconds,
): boolean {
  const { upstream } = engine;
  if (upstream.service !== item.service || upstream.phase !== "ready") {
    return false;
  }
  if (nowMs < engine.pausedUntilMs) return false;
  const version = engine.versions.get(item.model) ?? 0;
  if (item.boundVersion !== null && version !== item.boundVersion) return false;
  return version >= item.minimumVersion;
}

function hasCapacity(
  item: PlannedItem,
  engine: EngineSnapshot,
  loads: ReadonlyMap<string, EngineLoad>,
): boolean {
  const load = loads.get(engine.upstream.id);
  if (load === undefined) return true;
  if (load.running >= engine.upstream.slots) return false;
  return load.peakTokensWith(item) <=
    engine.cacheTokens * USABLE_CACHE_FRACTION;
}

/** The less the better: speed first, then a prompt that is there, then the emptier engine. */
function placementScore(
  item: PlannedItem,
  engine: EngineSnapshot,
  loads: ReadonlyMap<string, EngineLoad>,
): number {
  const load = loads.get(engine.upstream.id);
  const fullness = (load?.running ?? 0) / Math.max(1, engine.upstream.slots);
  const promptCached = load?.hasGroup(item.group) === true;
  const loadPenalty = promptCached ? fullness * 0.5 : 0.3 + fullness;
  return engine.eventIntervalMs * (1 + loadPenalty);
}

function fasterEngine(
  run: PlacedRun,
  engine: EngineSnapshot,
  state: {
    readonly input: ItemPlanInput;
    readonly loads: ReadonlyMap<string, EngineLoad>;
    readonly reading: ReadonlySet<string>;
  },
): EngineSnapshot | undefined {
  const { input, loads, reading } = state;
  let best: EngineSnapshot | undefined;
  for (const other of input.engines) {
    if (other === engine || !canRun(run.item, other, input.nowMs)) continue;
    if (reading.has(other.upstream.id)) continue;
    if (!hasCapacity(run.item, other, loads)) continue;
    if (other.eventIntervalMs >= (best?.eventIntervalMs ?? Infinity)) continue;
    const move = { from: engine, to: other, nowMs: input.nowMs };
    if (isWorthMoving(run.item, move)) best = other;
  }
  return best;
}

function isWorthMoving(
  item: PlannedItem,
  move: {
    readonly from: EngineSnapshot;
    readonly to: EngineSnapshot;
    readonly nowMs: Milliseconds;
  },
): boolean {
  const ratio = move.from.eventIntervalMs / move.to.eventIntervalMs;
  const leftMs = item.tokensLeft * ESTIMATED_TOKEN_MS;
  if (leftMs * (ratio - 1) < MINIMUM_MOVE_GAIN_MS) return false;
  const atRisk =
    move.nowMs + leftMs * LENGTH_SAFETY_FACTOR * ratio > item.dueMs;
  return ratio >= (atRisk ? LATE_MOVE_SPEED_RATIO : MOVE_SPEED_RATIO);
}
