/**
 * Trainers in front of engines of uneven speed that restart and are slow at first, on virtual time: plays the plans of
 * items without a network, for tests.
 *
 * @module
 */
import {
  incarnationOf,
  type Milliseconds,
  type RandomSource,
  SeededRandom,
} from "#core";
import { EngineObservations } from "./engine_observations.ts";
import { drawNormal, drawTokens } from "./item_lengths.ts";
import { planStarts } from "./item_plan.ts";
import { planMoves } from "./move_plan.ts";
import type {
  EngineSnapshot,
  ItemPlanInput,
  PlannedItem,
} from "./plan_types.ts";
import { FRESH_ITEM, SOUND_ENGINE } from "./plan_test_support.ts";

const ENGINES = 34;
const SLOTS = 8;
const TOKEN_MS: Milliseconds = 0.55;
const EVENT_TOKENS = 72;
const PLAN_INTERVAL_MS: Milliseconds = 50;
const STEP_INTERVAL_MS: Milliseconds = 4_000;
const DUE_MS: Milliseconds = 7_500;
const GROUP_ITEMS = 8;
const PROMPT_MS: Milliseconds = 150;
/** Speeds of engines, in multiples of the usual one: from the slowest on, evenly distributed. */
const MINIMUM_SPEED = 0.7;
const SPEED_RANGE = 1;
const SLOW_SPELL_FACTOR = 2.5;
const SLOW_SPELL_MS: Milliseconds = 4_000;
const SLOW_SPELL_SHARE = 0.15;
const RESTART_INTERVAL_MS: Milliseconds = 1_000;
const COLD_MS: Milliseconds = 3_000;

/** Options of `playUneven`. */
export interface UnevenWorldOptions {
  readonly seed: number;
  /** Groups of the step that is due every 4 s. */
  readonly groups: number;
  readonly durationMs: Milliseconds;
  /** How many times slower an engine is for 3 s after its restart. */
  readonly coldFactor: number;
}

/** What the trainers got. */
export interface UnevenOutcome {
  /** Share of the groups that were complete when they were due. */
  readonly inTime: number;
  /** Mean time from the submission of a group to its completion. */
  readonly meanGroupMs: Milliseconds;
  /** Largest number of runs on an engine in the first second after its restart. */
  readonly peakAfterRestart: number;
  readonly moves: number;
}

interface Item {
  plan: PlannedItem;
  readonly submittedMs: Milliseconds;
  tokensLeft: number;
  engine: Engine | undefined;
  startedMs: Milliseconds;
  lastEventMs: Milliseconds;
  hasEvents: boolean;
  pendingTokens: number;
  moves: number;
}

interface Engine {
  readonly speed: number;
  readonly index: number;
  bornMs: Milliseconds;
  slowUntilMs: Milliseconds;
}

/** Plays the load and returns what trainers got. */
export function playUneven(options: UnevenWorldOptions): UnevenOutcome {
  const random = new SeededRandom(options.seed);
  const observations = new EngineObservations();
  const engines: Engine[] = Array.from({ length: ENGINES }, (_, index) => ({
    speed: MINIMUM_SPEED + SPEED_RANGE * random.fraction(),
    index,
    bornMs: -Infinity,
    slowUntilMs: 0,
  }));
  let items: Item[] = [];
  const left = new Map<string, number>();
  const groupMs: Milliseconds[] = [];
  let submitted = 0;
  let peakAfterRestart = 0;
  let moves = 0;
  for (let nowMs = 0; nowMs < options.durationMs; nowMs += PLAN_INTERVAL_MS) {
    const isOpen = nowMs + DUE_MS < options.durationMs;
    if (isOpen && nowMs % STEP_INTERVAL_MS === 0) {
      for (let at = 0; at < options.groups; at += 1) {
        const group = `g${submitted}`;
        submitted += 1;
        left.set(group, GROUP_ITEMS);
        items.push(...createGroup(group, nowMs, random));
      }
    }
    disturb(engines, nowMs, random);
    if (nowMs % RESTART_INTERVAL_MS === 0) {
      restart(engines[random.below(ENGINES)], items, nowMs);
    }
    const snapshots = engines.map((each) =>
      snapshotOf(each, observations, nowMs)
    );
    moves += executePlan(items, { engines, snapshots }, nowMs);
    peakAfterRestart = Math.max(
      peakAfterRestart,
      peakOfRestarted(engines, items, nowMs),
    );
    for (const item of items) {
      advance(item, { nowMs, observations, coldFactor: options.coldFactor });
      if (item.tokensLeft > 0) continue;
      const { group } = item.plan;
      left.set(group, (left.get(group) ?? 0) - 1);
      if (left.get(group) === 0) groupMs.push(nowMs - item.submittedMs);
    }
    items = items.filter((item) => item.tokensLeft > 0);
  }
  return {
    inTime: groupMs.filter((each) => each <= DUE_MS).length / submitted,
    meanGroupMs: groupMs.reduce((sum, each) => sum + each, 0) / groupMs.length,
    peakAfterRestart,
    moves,
  };
}

/** Moves and starts items as planned; returns the number of moves. */
function executePlan(
  items: readonly Item[],
  { engines, snapshots }: {
    readonly engines: readonly Engine[];
    readonly snapshots: readonly EngineSnapshot[];
  },
  nowMs: Milliseconds,
): number {
  let moves = 0;
  const byKey = new Map(items.map((item) => [item.plan.key, item]));
  for (const { key, to } of planMoves(inputOf(items, snapshots, nowMs))) {
    const item = byKey.get(key);
    if (item === undefined) continue;
    moves += 1;
    place(item, to === null ? undefined : engines[indexOf(to.id)], nowMs);
    item.moves += 1;
  }
  for (const start of planStarts(inputOf(items, snapshots, nowMs))) {
    const item = byKey.get(start.item.key);
    if (item === undefined) continue;
    place(item, engines[indexOf(start.engine.id)], nowMs);
  }
  return moves;
}

/** Returns the most runs on an engine that restarted within the last second. */
function peakOfRestarted(
  engines: readonly Engine[],
  items: readonly Item[],
  nowMs: Milliseconds,
): number {
  let peak = 0;
  for (const engine of engines) {
    if (nowMs - engine.bornMs > 1_000) continue;
    const runs = items.filter((item) => item.engine === engine).length;
    peak = Math.max(peak, runs);
  }
  return peak;
}

function createGroup(
  group: string,
  nowMs: Milliseconds,
  random: RandomSource,
): readonly Item[] {
  return Array.from({ length: GROUP_ITEMS }, (_, at) => {
    const tokens = drawTokens(random);
    return {
      plan: {
        key: `${group}/${at}`,
        group,
        model: "m",
        service: "models",
        priority: 1,
        minimumVersion: 1,
        ...FRESH_ITEM,
        dueMs: nowMs + DUE_MS,
        tokensLeft: tokens * Math.exp(0.4 * drawNormal(random)),
        usedTokens: 0,
      },
      submittedMs: nowMs,
      tokensLeft: tokens,
      engine: undefined,
      startedMs: 0,
      lastEventMs: 0,
      hasEvents: false,
      pendingTokens: 0,
      moves: 0,
    };
  });
}

/** Lets engines become slow for a while. */
function disturb(
  engines: readonly Engine[],
  nowMs: Milliseconds,
  random: RandomSource,
): void {
  const chance = PLAN_INTERVAL_MS * SLOW_SPELL_SHARE / SLOW_SPELL_MS;
  for (const engine of engines) {
    if (random.fraction() < chance) engine.slowUntilMs = nowMs + SLOW_SPELL_MS;
  }
}

function restart(
  engine: Engine | undefined,
  items: readonly Item[],
  nowMs: Milliseconds,
): void {
  if (engine === undefined) return;
  engine.bornMs = nowMs;
  for (const item of items) {
    if (item.engine === engine) item.engine = undefined;
  }
}

function indexOf(id: string): number {
  return Number(id.slice(1));
}

function snapshotOf(
  { index, bornMs }: Engine,
  observations: EngineObservations,
  nowMs: Milliseconds,
): EngineSnapshot {
  const upstream = {
    id: `u${index}`,
    bornMs,
    sequence: 1,
    service: "models",
    zone: "z",
    address: { host: "10.0.0.1", port: 1 },
    slots: SLOTS,
    phase: "ready" as const,
    serves: [],
  };
  const incarnation = incarnationOf(upstream);
  return {
    upstream,
    versions: new Map([["m", 1]]),
    eventIntervalMs: observations.eventIntervalMs(incarnation, nowMs),
    cacheTokens: Infinity,
    ...SOUND_ENGINE,
  };
}

function inputOf(
  items: readonly Item[],
  engines: readonly EngineSnapshot[],
  nowMs: Milliseconds,
): ItemPlanInput {
  const waiting = items.filter((item) => item.engine === undefined);
  const running = items.filter((item) => item.engine !== undefined);
  return {
    nowMs,
    readingDelayMs: 0,
    waiting: waiting.map(({ plan }) => plan),
    runs: running.map((item) => ({
      item: item.plan,
      engine: `u${item.engine?.index}`,
      startedMs: item.startedMs,
      lastEventMs: item.lastEventMs,
      hasEvents: item.hasEvents,
      moves: item.moves,
    })),
    engines,
  };
}

function place(
  item: Item,
  engine: Engine | undefined,
  nowMs: Milliseconds,
): void {
  item.engine = engine;
  item.startedMs = nowMs;
  item.lastEventMs = nowMs;
  item.hasEvents = false;
  item.pendingTokens = 0;
}

/** Lets a run generate tokens for one interval. */
function advance(item: Item, options: {
  readonly nowMs: Milliseconds;
  readonly observations: EngineObservations;
  readonly coldFactor: number;
}): void {
  const { engine } = item;
  const nowMs = options.nowMs + PLAN_INTERVAL_MS;
  if (engine === undefined || nowMs < item.startedMs + PROMPT_MS) return;
  const isCold = nowMs - engine.bornMs < COLD_MS;
  const slowness = (isCold ? options.coldFactor : 1) *
    (nowMs < engine.slowUntilMs ? SLOW_SPELL_FACTOR : 1);
  const tokens = PLAN_INTERVAL_MS / TOKEN_MS * engine.speed / slowness;
  item.tokensLeft -= tokens;
  item.pendingTokens += tokens;
  const tokensLeft = Math.max(1, item.plan.tokensLeft - tokens);
  item.plan = { ...item.plan, tokensLeft };
  if (item.pendingTokens < EVENT_TOKENS) return;
  const events = item.pendingTokens / EVENT_TOKENS;
  const sinceMs = item.hasEvents ? item.lastEventMs : nowMs;
  const { index, bornMs } = engine;
  const incarnation = incarnationOf({ id: `u${index}`, bornMs } as never);
  if (item.hasEvents) {
    options.observations.recordInterval(
      incarnation,
      (nowMs - sinceMs) / events,
      nowMs,
    );
  }
  item.hasEvents = true;
  item.lastEventMs = nowMs;
  item.pendingTokens = 0;
}
