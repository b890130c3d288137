/**
 * Decides which texts are discarded and begun anew because no engine continues them. Performs no I/O.
 *
 * On a route with a single version, only an engine with the version that began a text may continue it. Engines load
 * newer versions, leave and crash, so the last one with that version may be gone, hidden by the network, or full. An
 * item waits for it for as long as its text took to generate, at most: then beginning anew costs no more than the wait
 * did. It waits less if a text begun later would miss its due time.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import {
  addLoad,
  bestEngine,
  hasVersion,
  loadByEngine,
  type LoadsByEngine,
} from "./engine_choice.ts";
import {
  type EngineSnapshot,
  ESTIMATED_TOKEN_MS,
  type ItemPlanInput,
  type PlannedItem,
} from "./plan_types.ts";

/** Least wait for an engine that is not known any more; it may be missing from the first table of a new VM only. */
const MINIMUM_WAIT_MS: Milliseconds = 400;
const MAXIMUM_WAIT_MS: Milliseconds = 2_000;

/** Why a text is begun anew: no known engine has its version, or those that have it did not run it in time. */
export type RestartReason = "version_gone" | "version_unavailable";

/** A text that is to be discarded. */
export interface PlannedRestart {
  readonly key: string;
  readonly reason: RestartReason;
  /** Time since its last event, or since the item was taken over. */
  readonly idleMs: Milliseconds;
}

/**
 * Returns the waiting items whose texts are to be begun anew. A text is kept while no engine could begin it anew at
 * once.
 */
export function planRestarts(input: ItemPlanInput): readonly PlannedRestart[] {
  const bound = input.waiting.filter((each) => each.boundVersion !== null);
  if (bound.length === 0) return [];
  const loads = loadByEngine(input.runs);
  const restarts: PlannedRestart[] = [];
  for (const item of bound) {
    const restart = restartOf(item, input, loads);
    if (restart === undefined) continue;
    const engine = engineToStartOn(unbound(item), input, loads);
    if (engine === undefined) continue;
    addLoad(loads, engine.upstream.id, unbound(item));
    restarts.push(restart);
  }
  return restarts;
}

function restartOf(
  item: PlannedItem,
  input: ItemPlanInput,
  loads: LoadsByEngine,
): PlannedRestart | undefined {
  if (engineToStartOn(item, input, loads) !== undefined) return undefined;
  const isServed = input.engines.some((each) =>
    each.upstream.phase === "ready" && hasVersion(item, each)
  );
  const idleMs = input.nowMs - item.progressMs;
  const waitMs = isServed ? longestWaitMs(item) : waitForUnknownMs(item, input);
  if (idleMs < waitMs) return undefined;
  const reason = isServed ? "version_unavailable" : "version_gone";
  return { key: item.key, reason, idleMs };
}

/** Returns how long an item waits while engines with its version are ready. */
function longestWaitMs(item: PlannedItem): Milliseconds {
  const generatedMs = item.generatedTokens * ESTIMATED_TOKEN_MS;
  const textMs = (item.generatedTokens + item.tokensLeft) * ESTIMATED_TOKEN_MS;
  const untilTooLateMs = item.dueMs - textMs - item.progressMs;
  const waitMs = Math.min(MAXIMUM_WAIT_MS, generatedMs, untilTooLateMs);
  return Math.max(MINIMUM_WAIT_MS, waitMs);
}

/** Returns how long an item waits while no known engine has its version: not if its last engine is still known. */
function waitForUnknownMs(
  { latestEngine }: PlannedItem,
  { engines }: ItemPlanInput,
): Milliseconds {
  const isKnown = engines.some(({ upstream }) => upstream.id === latestEngine);
  return isKnown ? 0 : MINIMUM_WAIT_MS;
}

function engineToStartOn(
  item: PlannedItem,
  { engines, nowMs }: ItemPlanInput,
  loads: LoadsByEngine,
): EngineSnapshot | undefined {
  const open = engines.filter((each) => each.startsLeft >= 1);
  return bestEngine(item, { engines: open, nowMs, loads });
}

function unbound(item: PlannedItem): PlannedItem {
  return {
    ...item,
    boundVersion: null,
    generatedTokens: 0,
    tokensLeft: item.generatedTokens + item.tokensLeft,
    usedTokens: item.usedTokens - item.generatedTokens,
  };
}
