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
export interface WaitingItem {
  readonly key: string;
  readonly group: string;
  readonly model: string;
  readonly service: string;
  /** Oldest version that may make its tokens. */
  readonly minimumVersion: number;
  /** The only version that may go on with its text, or null. */
  readonly onlyVersion: number | null;
  /** When its result is wanted, on this VM's clock. */
  readonly dueMs: Milliseconds;
  /** Tokens still to be made, by estimate. */
  readonly tokensLeft: number;
  /** Tokens of its prompt and of what it has made: they go into an engine's memory. */
  readonly heldTokens: number;
  /** Whether an earlier batch had it: the trainer waits for it in any case. */
  readonly again: boolean;
}

/** A run at an engine. */
export interface PlacedRun {
  readonly item: WaitingItem;
  readonly engine: string;
  readonly startedMs: Milliseconds;
  /** When its last event came, or when it began. */
  readonly lastEventMs: Milliseconds;
  readonly begun: boolean;
  readonly moves: number;
}

/** An engine as the plan sees it. */
export interface EngineView {
  readonly upstream: FleetUpstream;
  /** Version of each model as far as is known. */
  readonly versions: ReadonlyMap<string, number>;
  /** Mean time between two events of one run. */
  readonly eventGapMs: Milliseconds;
  /** No new runs before this time. */
  readonly pausedUntilMs: Milliseconds;
  /** Tokens that fit into its memory, or Infinity. */
  readonly memoryTokens: number;
}

/** What a plan is made from. */
export interface ItemPlanInput {
  readonly nowMs: Milliseconds;
  readonly waiting: readonly WaitingItem[];
  readonly runs: readonly PlacedRun[];
  readonly engines: readonly EngineView[];
}

/** An item and the engine that it is to start at. */
export interface Placing {
  readonly item: WaitingItem;
  readonly engine: FleetUpstream;
}

/** Silence of a run, in mean gaps between events, after which it goes on elsewhere. */
const SILENT_GAPS = 6;
const LEAST_SILENCE_MS: Milliseconds = 350;
/** A run that has no event yet may have to wait for its prompt. */
const LEAST_FIRST_SILENCE_MS: Milliseconds = 700;
/** How many times faster another engine must be for a run to go on there. */
const MUCH_FASTER = 1.7;
/** The same for a run that may be late where it is. */
const FASTER = 1.2;
/** Texts get longer than estimated, often by as much again. */
const LENGTH_RISK = 2;
const LEAST_GAIN_MS: Milliseconds = 150;
/** Moves of one item to faster engines; there is no bound on leaving silent ones. */
const MOST_MOVES = 6;
/** How long a run stays at least: an engine that reads the prompts of new runs seems slow meanwhile. */
const LEAST_STAY_MS: Milliseconds = 1_000;
const AGAIN_HEAD_START_MS: Milliseconds = 3_000;
const MEMORY_PART = 0.9;
const GUESSED_TOKEN_MS: Milliseconds = 0.6;

/** Items to start now. */
export function planStarts(input: ItemPlanInput): readonly Placing[] {
  const loads = loadOf(input.runs);
  const placings: Placing[] = [];
  const ordered = [...input.waiting].sort((a, b) => urgency(a) - urgency(b));
  for (const item of ordered) {
    const engine = bestEngine(item, input, loads);
    if (engine === undefined) continue;
    addLoad(loads, engine.upstream.id, item);
    placings.push({ item, engine: engine.upstream });
  }
  return placings;
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
  const loads = loadOf(input.runs);
  const reading = enginesThatRead(input.runs);
  const views = new Map(input.engines.map((each) => [each.upstream.id, each]));
  const moves: PlannedMove[] = [];
  const slowest = [...input.runs].sort((a, b) =>
    urgency(a.item) - urgency(b.item)
  );
  for (const run of slowest) {
    const view = views.get(run.engine);
    if (view === undefined || view.upstream.phase !== "ready") {
      moves.push({ key: run.item.key, reason: "engine_leaves", to: null });
      continue;
    }
    if (isSilent(run, view, input.nowMs)) {
      moves.push({ key: run.item.key, reason: "silent", to: null });
      continue;
    }
    if (run.moves >= MOST_MOVES) continue;
    if (input.nowMs < run.startedMs + LEAST_STAY_MS) continue;
    const to = fasterEngine(run, view, { input, loads, reading })?.upstream;
    if (to === undefined) continue;
    addLoad(loads, to.id, run.item);
    reading.add(to.id);
    moves.push({ key: run.item.key, reason: "faster_elsewhere", to });
  }
  return moves;
}

/** Whether a run has made no event for too long. */
export function isSilent(
  run: PlacedRun,
  view: EngineView,
  nowMs: Milliseconds,
): boolean {
  const least = run.begun ? LEAST_SILENCE_MS : LEAST_FIRST_SILENCE_MS;
  const allowedMs = Math.max(least, SILENT_GAPS * view.eventGapMs);
  return nowMs - run.lastEventMs > allowedMs;
}

function urgency(item: WaitingItem): number {
  const headStartMs = item.again ? AGAIN_HEAD_START_MS : 0;
  return item.dueMs - item.tokensLeft * GUESSED_TOKEN_MS - headStartMs;
}

function loadOf(runs: readonly PlacedRun[]): Map<string, EngineLoad> {
  const loads = new Map<string, EngineLoad>();
  for (const run of runs) addLoad(loads, run.engine, run.item);
  return loads;
}

/** Engines that read a prompt now. Runs that came to one all at once would slow each other down. */
function enginesThatRead(runs: readonly PlacedRun[]): Set<string> {
  const reading = new Set<string>();
  for (const run of runs) {
    if (!run.begun) reading.add(run.engine);
  }
  return reading;
}

function addLoad(
  loads: Map<string, EngineLoad>,
  engine: string,
  item: WaitingItem,
): void {
  const load = loads.get(engine) ?? new EngineLoad();
  load.add(item);
  loads.set(engine, load);
}

function bestEngine(
  item: WaitingItem,
  input: ItemPlanInput,
  loads: ReadonlyMap<string, EngineLoad>,
): EngineView | undefined {
  let best: EngineView | undefined;
  let bestScore = Infinity;
  for (const view of input.engines) {
    if (!mayRun(item, view, input.nowMs)) continue;
    if (!fits(item, view, loads)) continue;
    const score = scoreOf(item, view, loads);
    if (score >= bestScore) continue;
    best = view;
    bestScore = score;
  }
  return best;
}

function mayRun(
  item: WaitingItem,
  view: EngineView,
  nowMs: Milliseconds,
): boolean {
  const { upstream } = view;
  if (upstream.service !== item.service || upstream.phase !== "ready") {
    return false;
  }
  if (nowMs < view.pausedUntilMs) return false;
  const version = view.versions.get(item.model) ?? 0;
  if (item.onlyVersion !== null && version !== item.onlyVersion) return false;
  return version >= item.minimumVersion;
}

function fits(
  item: WaitingItem,
  view: EngineView,
  loads: ReadonlyMap<string, EngineLoad>,
): boolean {
  const load = loads.get(view.upstream.id);
  if (load === undefined) return true;
  if (load.running >= view.upstream.slots) return false;
  return load.peakWith(item) <= view.memoryTokens * MEMORY_PART;
}

/** The less the better: speed first, then a prompt that is there, then the emptier engine. */
function scoreOf(
  item: WaitingItem,
  view: EngineView,
  loads: ReadonlyMap<string, EngineLoad>,
): number {
  const load = loads.get(view.upstream.id);
  const fullness = (load?.running ?? 0) / Math.max(1, view.upstream.slots);
  const promptThere = load?.hasGroup(item.group) === true;
  const crowd = promptThere ? fullness * 0.5 : 0.3 + fullness;
  return view.eventGapMs * (1 + crowd);
}

function fasterEngine(
  run: PlacedRun,
  view: EngineView,
  state: {
    readonly input: ItemPlanInput;
    readonly loads: ReadonlyMap<string, EngineLoad>;
    readonly reading: ReadonlySet<string>;
  },
): EngineView | undefined {
  const { input, loads, reading } = state;
  let best: EngineView | undefined;
  for (const other of input.engines) {
    if (other === view || !mayRun(run.item, other, input.nowMs)) continue;
    if (reading.has(other.upstream.id)) continue;
    if (!fits(run.item, other, loads)) continue;
    if (other.eventGapMs >= (best?.eventGapMs ?? Infinity)) continue;
    const gain = { from: view, to: other, nowMs: input.nowMs };
    if (isWorthMoving(run.item, gain)) best = other;
  }
  return best;
}

function isWorthMoving(
  item: WaitingItem,
  gain: {
    readonly from: EngineView;
    readonly to: EngineView;
    readonly nowMs: Milliseconds;
  },
): boolean {
  const ratio = gain.from.eventGapMs / gain.to.eventGapMs;
  const leftMs = item.tokensLeft * GUESSED_TOKEN_MS;
  if (leftMs * (ratio - 1) < LEAST_GAIN_MS) return false;
  const atRisk = gain.nowMs + leftMs * LENGTH_RISK * ratio > item.dueMs;
  return ratio >= (atRisk ? FASTER : MUCH_FASTER);
}
