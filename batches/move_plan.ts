/**
 * Decides which runs stop and resume on another engine. Performs no I/O.
 *
 * A run that stalls moves and resumes from its last event; so does a slow run while a faster engine has a free slot.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";
import {
  addLoad,
  bestEngine,
  canRun,
  hasCapacity,
  hasVersion,
  loadByEngine,
  type LoadsByEngine,
} from "./engine_choice.ts";
import type { EngineLoad } from "./engine_load.ts";
import {
  type EngineSnapshot,
  ESTIMATED_TOKEN_MS,
  type ItemPlanInput,
  type PlacedRun,
  type PlannedItem,
} from "./plan_types.ts";
import { latestStartMs } from "./start_order.ts";

/** Time without events after which a run counts as stalled, in expected intervals between events. */
const STALL_EVENT_INTERVALS = 6;
const MINIMUM_STALL_MS: Milliseconds = 350;
/** Longer for a run without events, which may have to wait until its prompt is read. */
const MINIMUM_FIRST_EVENT_STALL_MS: Milliseconds = 700;
/** How many times faster another engine must be for a run to move there. */
const MOVE_SPEED_RATIO = 1.7;
/** The same for a run that may miss its due time on its engine. */
const LATE_MOVE_SPEED_RATIO = 1.2;
/** Texts often become twice as long as estimated. */
const LENGTH_SAFETY_FACTOR = 2;
const MINIMUM_MOVE_GAIN_MS: Milliseconds = 150;
/** No run moves to an engine of whose latest runs more than this share failed. */
const MAXIMUM_MOVE_ERROR_SHARE = 0.1;
/** Limit on the moves of one item to faster engines. Moves away from stalled engines are not limited. */
const MAXIMUM_MOVES = 6;
/** Minimum time before a run moves again, since an engine seems slow while it reads the prompts of new runs. */
const MINIMUM_STAY_MS: Milliseconds = 1_000;

/** Why a run moves to another engine. */
export type MoveReason = "engine_leaves" | "silent" | "faster_elsewhere";

/** A run that is to stop and resume on another engine. */
export interface PlannedMove {
  readonly key: string;
  readonly reason: MoveReason;
  /** Engine on which it resumes at once, or null if `planStarts` is to find one. */
  readonly to: FleetUpstream | null;
}

/** Returns the runs that are to stop and resume on another engine. */
export function planMoves(input: ItemPlanInput): readonly PlannedMove[] {
  const loads = loadByEngine(input.runs);
  const reading = enginesReadingPrompts(input.runs);
  const enginesById = new Map(
    input.engines.map((each) => [each.upstream.id, each]),
  );
  const moves: PlannedMove[] = [];
  const leastSlackFirst = [...input.runs].sort((a, b) =>
    latestStartMs(a.item) - latestStartMs(b.item)
  );
  for (const run of leastSlackFirst) {
    const engine = enginesById.get(run.engine);
    if (engine === undefined || shouldLeave(run, engine, { input, loads })) {
      moves.push({ key: run.item.key, reason: "engine_leaves", to: null });
      continue;
    }
    const readUntilMs = input.nowMs - input.readingDelayMs;
    if (isStalled(run, engine, readUntilMs)) {
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

/**
 * Whether a run leaves an engine that will not serve for long. One that could go nowhere else stays for as long as it
 * is served; one whose text no other engine may continue stays only if it may be complete by then.
 */
function shouldLeave(run: PlacedRun, engine: EngineSnapshot, state: {
  readonly input: ItemPlanInput;
  readonly loads: LoadsByEngine;
}): boolean {
  const { item } = run;
  if (engine.upstream.phase === "ready" || item.service === null) return false;
  const { input, loads } = state;
  const { engines, nowMs } = input;
  const successor = bestEngine(item, { engines, nowMs, loads });
  if (successor !== undefined) {
    addLoad(loads, successor.upstream.id, item);
    return true;
  }
  if (item.boundVersion === null) return false;
  const isLastOfVersion = !engines.some((each) =>
    each.upstream.phase === "ready" && hasVersion(item, each)
  );
  if (!isLastOfVersion) return false;
  const begunAnew = { ...item, boundVersion: null };
  const other = bestEngine(begunAnew, { engines, nowMs, loads });
  if (other === undefined) return false;
  if (mayBeComplete(item, engine, nowMs)) return false;
  addLoad(loads, other.upstream.id, begunAnew);
  return true;
}

/** Whether a text may be complete while its engine drains: surely enough, or at least if one begun anew would be late. */
function mayBeComplete(
  item: PlannedItem,
  { servesForMs }: EngineSnapshot,
  nowMs: Milliseconds,
): boolean {
  const leftMs = item.tokensLeft * ESTIMATED_TOKEN_MS;
  const textMs = leftMs + item.generatedTokens * ESTIMATED_TOKEN_MS;
  const safety = nowMs + textMs > item.dueMs ? 1 : LENGTH_SAFETY_FACTOR;
  return leftMs * safety <= servesForMs;
}

/** Returns whether a run has had no event for too long. */
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

/**
 * Returns the engines that are reading a prompt. No runs move there meanwhile: runs that moved to one engine all
 * at once would slow each other down.
 */
function enginesReadingPrompts(runs: readonly PlacedRun[]): Set<string> {
  const reading = new Set<string>();
  for (const run of runs) {
    if (!run.hasEvents) reading.add(run.engine);
  }
  return reading;
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
  // The most frequent reason against a move is checked first: a plan looks at each pair of a run and an engine.
  const intervalMs = engine.eventIntervalMs - input.readingDelayMs;
  const maximumIntervalMs = intervalMs / LATE_MOVE_SPEED_RATIO;
  for (const other of input.engines) {
    if (other.eventIntervalMs > maximumIntervalMs) continue;
    if (other.errorShare > MAXIMUM_MOVE_ERROR_SHARE) continue;
    if (other === engine || !canRun(run.item, other, input.nowMs)) continue;
    // An engine with a limit gets no run that has a place already.
    if (other.startsLeft !== Infinity) continue;
    if (reading.has(other.upstream.id)) continue;
    if (!hasCapacity(run.item, other, loads)) continue;
    if (other.eventIntervalMs >= (best?.eventIntervalMs ?? Infinity)) continue;
    const ratio = intervalMs / other.eventIntervalMs;
    const move = { ratio, nowMs: input.nowMs };
    if (isWorthMoving(run.item, move)) best = other;
  }
  return best;
}

function isWorthMoving(
  item: PlannedItem,
  move: {
    /** How many times faster the other engine surely is. */
    readonly ratio: number;
    readonly nowMs: Milliseconds;
  },
): boolean {
  const { ratio } = move;
  const leftMs = item.tokensLeft * ESTIMATED_TOKEN_MS;
  if (leftMs * (ratio - 1) < MINIMUM_MOVE_GAIN_MS) return false;
  const atRisk =
    move.nowMs + leftMs * LENGTH_SAFETY_FACTOR * ratio > item.dueMs;
  return ratio >= (atRisk ? LATE_MOVE_SPEED_RATIO : MOVE_SPEED_RATIO);
}
