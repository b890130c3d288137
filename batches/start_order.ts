/**
 * The order in which waiting items get the next free slots.
 *
 * While all steps can be complete in time, the item with the least slack is first. Otherwise the engines would finish
 * the long items of all groups and hardly any group in time: then whole groups come first, of the step that is due
 * first, and the cheapest ones of it, as many as the engines can generate until then.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import {
  ESTIMATED_TOKEN_MS,
  type ItemPlanInput,
  type PlannedItem,
} from "./plan_types.ts";
import { inTenantTurns } from "./tenant_turns.ts";

const RESUBMITTED_HEAD_START_MS: Milliseconds = 3_000;
/** Fastest time of a token, with which an item that can't be complete in time surely can't. */
export const FASTEST_TOKEN_MS: Milliseconds = 0.45;
/** Time of a token over all slots of the engines, some of which are free between two runs. */
export const CAPACITY_TOKEN_MS: Milliseconds = 0.67;

/** Returns the estimated latest start that meets the due time; earlier for resubmitted items, to prefer them. */
export function latestStartMs(item: PlannedItem): number {
  const headStartMs = item.resubmitted ? RESUBMITTED_HEAD_START_MS : 0;
  return item.dueMs - item.tokensLeft * ESTIMATED_TOKEN_MS - headStartMs;
}

/** Returns the waiting items, those that are to start first at the beginning. */
export function startOrder(input: ItemPlanInput): readonly PlannedItem[] {
  const deferred = new Set<string>();
  const services = new Set(input.waiting.map(({ service }) => service));
  for (const service of services) {
    for (const group of groupsBeyondCapacity(service, input)) {
      deferred.add(group);
    }
  }
  const isDeferred = (item: PlannedItem): number =>
    deferred.has(groupKey(item)) ? 1 : 0;
  const ordered = [...input.waiting].sort((a, b) =>
    isDeferred(a) - isDeferred(b) || latestStartMs(a) - latestStartMs(b)
  );
  return inTenantTurns(ordered, input.runs);
}

/** The items of a group that are not complete. */
interface GroupWork {
  readonly key: string;
  readonly dueMs: Milliseconds;
  /** Tokens that its waiting items still need. */
  tokens: number;
  /** Tokens of the longest of them. */
  longestTokens: number;
  /** Whether some of its items run, so that less is left to do than in others. */
  hasBegun: boolean;
  /** Whether the trainer waits for it in any case. */
  isRequired: boolean;
}

/**
 * Returns the groups that can't be complete in time beside those that are preferred. Only if there are any, groups count
 * whose longest item seems too long: estimates are often far off.
 */
function groupsBeyondCapacity(
  service: PlannedItem["service"],
  input: ItemPlanInput,
): readonly string[] {
  const beyond = groupsThatDoNotFit(service, input, Infinity);
  if (beyond.length === 0) return beyond;
  return groupsThatDoNotFit(service, input, 1 / FASTEST_TOKEN_MS);
}

/** `tokensPerRunMs`: how fast an item can be generated at most. */
function groupsThatDoNotFit(
  service: PlannedItem["service"],
  input: ItemPlanInput,
  tokensPerRunMs: number,
): readonly string[] {
  const { nowMs } = input;
  const tokensPerMs = slotsOf(service, input) / CAPACITY_TOKEN_MS;
  let committedTokens = 0;
  for (const { item } of input.runs) {
    if (item.service === service) committedTokens += item.tokensLeft;
  }
  const beyond: string[] = [];
  for (const group of groupsByPreference(service, input)) {
    const leftMs = Math.max(0, group.dueMs - nowMs);
    const fits = committedTokens + group.tokens <= tokensPerMs * leftMs &&
      group.longestTokens / tokensPerRunMs <= leftMs;
    if (fits || group.isRequired) committedTokens += group.tokens;
    else beyond.push(group.key);
  }
  return beyond;
}

/** Returns the groups with waiting items: by due time, those first that are required, have begun, or cost least. */
function groupsByPreference(
  service: PlannedItem["service"],
  input: ItemPlanInput,
): readonly GroupWork[] {
  const groups = new Map<string, GroupWork>();
  for (const item of input.waiting) {
    if (item.service !== service) continue;
    const key = groupKey(item);
    const group = groups.get(key) ?? newGroup(key, item);
    group.tokens += item.tokensLeft;
    group.longestTokens = Math.max(group.longestTokens, item.tokensLeft);
    group.isRequired ||= item.resubmitted;
    groups.set(key, group);
  }
  for (const { item } of input.runs) {
    const group = groups.get(groupKey(item));
    if (group !== undefined) group.hasBegun = true;
  }
  return [...groups.values()].sort((a, b) =>
    a.dueMs - b.dueMs || Number(b.isRequired) - Number(a.isRequired) ||
    Number(b.hasBegun) - Number(a.hasBegun) || a.tokens - b.tokens
  );
}

function newGroup(key: string, { dueMs }: PlannedItem): GroupWork {
  return {
    key,
    dueMs,
    tokens: 0,
    longestTokens: 0,
    hasBegun: false,
    isRequired: false,
  };
}

function slotsOf(
  service: PlannedItem["service"],
  input: ItemPlanInput,
): number {
  let slots = 0;
  for (const { upstream, foreignRuns } of input.engines) {
    if (upstream.service !== service || upstream.phase !== "ready") continue;
    slots += Math.max(0, upstream.slots - foreignRuns);
  }
  return slots;
}

/** Groups of different steps may have the same name. */
function groupKey({ group, dueMs }: PlannedItem): string {
  return `${dueMs} ${group}`;
}
