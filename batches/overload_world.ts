/**
 * Trainers whose steps ask for more or less than engines can generate, on virtual time: plays the plans of items
 * without a network, for tests.
 *
 * @module
 */
import { type Milliseconds, type RandomSource, SeededRandom } from "#core";
import { drawNormal, drawTokens } from "./item_lengths.ts";
import { planStarts } from "./item_plan.ts";
import type { EngineSnapshot, PlacedRun, PlannedItem } from "./plan_types.ts";
import { FRESH_ITEM, SOUND_ENGINE } from "./plan_test_support.ts";

const ENGINES = 12;
const SLOTS = 8;
const TOKEN_MS: Milliseconds = 0.55;
const PLAN_INTERVAL_MS: Milliseconds = 50;
const STEP_INTERVAL_MS: Milliseconds = 4_000;
const DUE_MS: Milliseconds = 7_500;
/** When a trainer gives a step up. */
const PATIENCE_MS: Milliseconds = 12_000;
const TRAINING_MS: Milliseconds = 500;
const GROUP_ITEMS = 8;
/** Share of the groups of a step that the trainer waits for. */
const WANTED_SHARE = 0.9;

/** Options of `OverloadWorld`. */
export interface OverloadWorldOptions {
  readonly seed: number;
  readonly trainers: number;
  /** Groups in each step of each trainer. */
  readonly groups: number;
  readonly durationMs: Milliseconds;
}

/** What the trainers got. */
export interface OverloadOutcome {
  /** Groups that were complete when they were due, of those that trainers waited for. */
  readonly inTime: number;
  /** Groups that trainers waited for in the steps that they asked for. */
  readonly asked: number;
  /** Tokens that the engines generated, as a share of what they could. */
  readonly utilization: number;
}

interface Item {
  readonly plan: PlannedItem;
  readonly step: Step;
  tokensLeft: number;
  engine: string | undefined;
}

interface Step {
  readonly trainer: number;
  readonly askedMs: Milliseconds;
  readonly wanted: number;
  readonly items: Item[];
  readonly groupsLeft: Map<string, number>;
  complete: number;
  inTime: number;
}

/** Plays the load and returns what trainers got. */
export function playOverload(options: OverloadWorldOptions): OverloadOutcome {
  const random = new SeededRandom(options.seed);
  const nextAskMs = Array.from(
    { length: options.trainers },
    (_, at) => (at * STEP_INTERVAL_MS) / options.trainers,
  );
  const open = new Map<number, Step>();
  const ended: Step[] = [];
  const engines = Array.from({ length: ENGINES }, (_, at) => engine(at));
  let generated = 0;
  let group = 0;
  for (let nowMs = 0; nowMs < options.durationMs; nowMs += PLAN_INTERVAL_MS) {
    for (const [trainer, askMs] of nextAskMs.entries()) {
      if (open.has(trainer) || nowMs < askMs) continue;
      open.set(
        trainer,
        createStep({ trainer, nowMs, groups: options.groups, random, group }),
      );
      group += options.groups;
      nextAskMs[trainer] = askMs + STEP_INTERVAL_MS;
    }
    const items = [...open.values()].flatMap((step) => step.items);
    startItems(items, engines, nowMs);
    generated += advance(items, nowMs + PLAN_INTERVAL_MS);
    for (const step of [...open.values()]) {
      const isOver = step.complete >= step.wanted ||
        nowMs - step.askedMs >= PATIENCE_MS;
      if (!isOver) continue;
      open.delete(step.trainer);
      ended.push(step);
      nextAskMs[step.trainer] = Math.max(
        nextAskMs[step.trainer] ?? 0,
        nowMs + TRAINING_MS,
      );
    }
  }
  const possible = (options.durationMs / TOKEN_MS) * ENGINES * SLOTS;
  return {
    inTime: ended.reduce((sum, { inTime }) => sum + inTime, 0),
    asked: ended.reduce((sum, { wanted }) => sum + wanted, 0),
    utilization: generated / possible,
  };
}

function engine(at: number): EngineSnapshot {
  return {
    upstream: {
      id: `u${at}`,
      bornMs: 1,
      sequence: 1,
      service: "models",
      zone: "z",
      address: { host: "10.0.0.1", port: 1 },
      slots: SLOTS,
      phase: "ready",
      serves: [],
    },
    versions: new Map([["m", 1]]),
    eventIntervalMs: 40,
    cacheTokens: Infinity,
    ...SOUND_ENGINE,
  };
}

function createStep(options: {
  readonly trainer: number;
  readonly nowMs: Milliseconds;
  readonly groups: number;
  readonly random: RandomSource;
  readonly group: number;
}): Step {
  const { trainer, nowMs, groups, random } = options;
  const step: Step = {
    trainer,
    askedMs: nowMs,
    wanted: Math.floor(groups * WANTED_SHARE),
    items: [],
    groupsLeft: new Map(),
    complete: 0,
    inTime: 0,
  };
  for (let at = 0; at < groups; at += 1) {
    const group = `g${options.group + at}`;
    step.groupsLeft.set(group, GROUP_ITEMS);
    for (let item = 0; item < GROUP_ITEMS; item += 1) {
      const tokens = drawTokens(random);
      const hinted = tokens * Math.exp(0.4 * drawNormal(random));
      step.items.push({
        plan: {
          key: `${group}/${item}`,
          group,
          model: "m",
          service: "models",
          priority: 1,
          minimumVersion: 1,
          ...FRESH_ITEM,
          dueMs: nowMs + DUE_MS,
          tokensLeft: hinted,
          usedTokens: 0,
        },
        step,
        tokensLeft: tokens,
        engine: undefined,
      });
    }
  }
  return step;
}

function startItems(
  items: readonly Item[],
  engines: readonly EngineSnapshot[],
  nowMs: Milliseconds,
): void {
  const byKey = new Map(items.map((item) => [item.plan.key, item]));
  const waiting: PlannedItem[] = [];
  const runs: PlacedRun[] = [];
  for (const { plan, engine, tokensLeft } of items) {
    if (tokensLeft <= 0) continue;
    if (engine === undefined) waiting.push(plan);
    else runs.push(placed(plan, engine, nowMs));
  }
  const input = { nowMs, readingDelayMs: 0, waiting, runs, engines };
  for (const { item, engine } of planStarts(input)) {
    const started = byKey.get(item.key);
    if (started !== undefined) started.engine = engine.id;
  }
}

function placed(
  item: PlannedItem,
  engine: string,
  nowMs: Milliseconds,
): PlacedRun {
  return {
    item,
    engine,
    startedMs: nowMs,
    lastEventMs: nowMs,
    hasEvents: true,
    moves: 0,
  };
}

/** Lets the runs generate until a time; returns the number of tokens. */
function advance(items: readonly Item[], untilMs: Milliseconds): number {
  let generated = 0;
  for (const item of items) {
    if (item.engine === undefined || item.tokensLeft <= 0) continue;
    const tokens = Math.min(item.tokensLeft, PLAN_INTERVAL_MS / TOKEN_MS);
    item.tokensLeft -= tokens;
    generated += tokens;
    if (item.tokensLeft > 0) continue;
    const { step, plan: { group } } = item;
    const left = (step.groupsLeft.get(group) ?? 0) - 1;
    step.groupsLeft.set(group, left);
    if (left > 0) continue;
    step.complete += 1;
    if (untilMs <= step.askedMs + DUE_MS && step.inTime < step.wanted) {
      step.inTime += 1;
    }
  }
  return generated;
}
