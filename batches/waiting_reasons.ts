/**
 * States for waiting items what they wait for, in the log and in the metrics, so that an item that waits for too long can
 * be explained.
 *
 * @module
 */
import {
  type EventLog,
  incarnationOf,
  type Metrics,
  type Milliseconds,
} from "#core";
import {
  hasCapacity,
  hasFreeSlot,
  hasVersion,
  loadByEngine,
  type LoadsByEngine,
} from "./engine_choice.ts";
import { BATCHES_EVENTS } from "./events.ts";
import type {
  EngineSnapshot,
  ItemPlanInput,
  PlannedItem,
} from "./plan_types.ts";

const REPORT_INTERVAL_MS: Milliseconds = 1_000;
/** Items that have waited less are about to start, as a rule. */
const REPORTED_WAIT_MS: Milliseconds = 1_000;

/**
 * The first condition that no engine meets, in this order: one of the service that is ready, has the version, is not
 * paused, has not failed the item just now, has a free slot, a permit, and room in its cache. `turn` if one meets all.
 */
const WAITING_REASONS = [
  "engine",
  "version",
  "pause",
  "backoff",
  "slot",
  "permit",
  "cache",
  "turn",
] as const;

/** What an item waits for. */
export type WaitingReason = typeof WAITING_REASONS[number];

/**
 * Returns what an item waits for.
 *
 * @example
 * ```ts
 * waitingReason(item, { ...input, engines: [] }, loads); // "engine"
 * ```
 */
export function waitingReason(
  item: PlannedItem,
  { engines, nowMs }: ItemPlanInput,
  loads: LoadsByEngine,
): WaitingReason {
  const conditions: readonly ((engine: EngineSnapshot) => boolean)[] = [
    ({ upstream }) =>
      upstream.service === item.service && upstream.phase === "ready",
    (engine) => hasVersion(item, engine),
    ({ pausedUntilMs }) => nowMs >= pausedUntilMs,
    ({ upstream }) => item.failedRuns.mayStart(incarnationOf(upstream), nowMs),
    (engine) => hasFreeSlot(engine, loads),
    ({ startsLeft }) => startsLeft >= 1,
    (engine) => hasCapacity(item, engine, loads),
  ];
  let left = engines;
  for (const [at, isMet] of conditions.entries()) {
    left = left.filter(isMet);
    if (left.length === 0) return WAITING_REASONS[at] ?? "turn";
  }
  return "turn";
}

/** Items that wait for the same. */
interface WaitingItems {
  count: number;
  longest: PlannedItem;
}

/** Reports once a second what items wait for that have waited longer. */
export class WaitingReport {
  readonly #events: EventLog;
  readonly #gauge;
  #nextMs: Milliseconds = 0;

  constructor(
    options: { readonly events: EventLog; readonly metrics: Metrics },
  ) {
    this.#events = options.events;
    this.#gauge = options.metrics.gauge({
      name: "cicadafield_items_waiting",
      help:
        "Items without an event for a second that wait, by the first condition that no engine meets.",
      labels: ["reason"],
    });
  }

  /** Whether the next report is due. */
  isDue(nowMs: Milliseconds): boolean {
    return nowMs >= this.#nextMs;
  }

  /** Reports the items that still wait after the starts of a plan, if a report is due. */
  update(waiting: readonly PlannedItem[], input: ItemPlanInput): void {
    const { nowMs } = input;
    if (!this.isDue(nowMs)) return;
    this.#nextMs = nowMs + REPORT_INTERVAL_MS;
    const late = waiting.filter(({ progressMs }) =>
      nowMs - progressMs >= REPORTED_WAIT_MS
    );
    this.#gauge.reset();
    for (const [reason, { count, longest }] of groupByReason(late, input)) {
      this.#gauge.set({ reason }, count);
      this.#events.emit(BATCHES_EVENTS.itemsWait, {
        reason,
        items: count,
        longest: longest.key,
        waitedMs: Math.round(nowMs - longest.progressMs),
        version: longest.boundVersion,
      });
    }
  }

  /** Reports that no item waits. */
  clear(): void {
    this.#gauge.reset();
  }
}

function groupByReason(
  items: readonly PlannedItem[],
  input: ItemPlanInput,
): ReadonlyMap<WaitingReason, WaitingItems> {
  const groups = new Map<WaitingReason, WaitingItems>();
  if (items.length === 0) return groups;
  const loads = loadByEngine(input.runs);
  for (const item of items) {
    const reason = waitingReason(item, input, loads);
    const group = groups.get(reason) ?? { count: 0, longest: item };
    group.count += 1;
    if (item.progressMs < group.longest.progressMs) group.longest = item;
    groups.set(reason, group);
  }
  return groups;
}
