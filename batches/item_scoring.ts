/**
 * Sends the scoring calls of items whose text is complete, and records their scores and failures.
 *
 * @module
 */
import type {
  Clock,
  EventLog,
  FleetUpstream,
  Milliseconds,
  RouteRule,
} from "#core";
import { heaviestService, type RouteRules } from "#requests";
import { BATCHES_EVENTS } from "./events.ts";
import { pathOf } from "./item_routes.ts";
import type { ItemTask } from "./item_task.ts";
import { planScoring, type ReadyScoring } from "./scoring_plan.ts";
import type { ScoringCall } from "./batch_types.ts";

const INITIAL_RETRY_MS: Milliseconds = 100;
const MAXIMUM_RETRY_MS: Milliseconds = 1_000;

/** Outcome of one scoring call over all its attempts. */
export type ScoringOutcome =
  | { readonly kind: "scored"; readonly score: string }
  /** There is no score; `serverErrors` upstreams ran the call and failed. */
  | {
    readonly kind: "failed";
    readonly serverErrors: number;
    readonly reason: string;
  };

/** Sends scoring calls to plain services. */
export abstract class ScoringPort {
  /** Sends a call through its route; resolves soon after the signal is aborted. */
  abstract send(
    call: ScoringCall,
    options: { readonly route: RouteRule; readonly signal: AbortSignal },
  ): Promise<ScoringOutcome>;
}

/** Options of `ItemScoring`. */
export interface ItemScoringOptions {
  readonly clock: Clock;
  readonly events: EventLog;
  readonly port: ScoringPort;
  readonly upstreams: () => readonly FleetUpstream[];
  /** Called when an item has its score. */
  readonly onScored: () => void;
  /** Called when a call has failed, with a change to store. */
  readonly onFailed: () => void;
  /** Gives up an item whose scoring call has failed too often. */
  readonly abandon: (task: ItemTask, reason: string) => void;
}

/** When a scoring call that failed may be sent again. */
interface Retry {
  readonly atMs: Milliseconds;
  readonly delayMs: Milliseconds;
}

/** The scoring calls of the items that one store VM runs. */
export class ItemScoring {
  readonly #options: ItemScoringOptions;
  readonly #retries = new WeakMap<ItemTask, Retry>();

  constructor(options: ItemScoringOptions) {
    this.#options = options;
  }

  /** Starts the calls that may start now. */
  startCalls(tasks: ReadonlyMap<string, ItemTask>, rules: RouteRules): void {
    const ready: ReadyScoring[] = [];
    const running = new Map<string, number>();
    const openTexts = new Map<string, number>();
    for (const task of tasks.values()) {
      if (task.item.scoring === null || task.done) continue;
      if (!task.textComplete) add(openTexts, groupOf(task));
      else if (task.scoring !== undefined) add(running, task.scoring.service);
      else if (this.#mayStart(task)) {
        const route = this.#routeOf(task, rules);
        if (route !== undefined) ready.push(toReady(task, route));
      }
    }
    if (ready.length === 0) return;
    const slots = this.#slotsByService();
    const starts = planScoring({ ready, openTexts, running, slots });
    for (const { key, service } of starts) {
      const task = tasks.get(key);
      const route = task === undefined ? undefined : this.#routeOf(task, rules);
      if (task === undefined || route === undefined) continue;
      this.#start(task, { route, service });
    }
  }

  async #start(
    task: ItemTask,
    target: { readonly route: RouteRule; readonly service: string },
  ): Promise<void> {
    const call = task.item.scoring;
    if (call === null) return;
    const { route, service } = target;
    const abort = new AbortController();
    const active = { service, abort };
    task.scoring = active;
    const outcome = await this.#options.port.send(call, {
      route,
      signal: abort.signal,
    });
    if (task.scoring !== active) return;
    task.scoring = undefined;
    if (outcome.kind === "scored") {
      task.setScore(outcome.score);
      this.#options.onScored();
      return;
    }
    this.#recordFailure(task, outcome, route);
  }

  #recordFailure(
    task: ItemTask,
    outcome: Extract<ScoringOutcome, { kind: "failed" }>,
    route: RouteRule,
  ): void {
    const { serverErrors, reason } = outcome;
    this.#options.events.emit(BATCHES_EVENTS.scoringFailed, {
      request: task.item.scoring?.id,
      item: task.item.id,
      batch: task.batch.id,
      serverErrors,
      reason,
    });
    task.countScoringFailures(serverErrors);
    this.#delayRetry(task);
    const limit = Math.max(task.batch.maximumFailures, route.maximumAttempts);
    if (task.scoringFailures >= limit) {
      const text = `its scoring call failed ${task.scoringFailures} times`;
      this.#options.abandon(task, text);
    } else if (serverErrors > 0) this.#options.onFailed();
  }

  #delayRetry(task: ItemTask): void {
    const before = this.#retries.get(task)?.delayMs ?? INITIAL_RETRY_MS / 2;
    const delayMs = Math.min(MAXIMUM_RETRY_MS, before * 2);
    const atMs = this.#options.clock.nowMs() + delayMs;
    this.#retries.set(task, { atMs, delayMs });
  }

  #mayStart(task: ItemTask): boolean {
    const retry = this.#retries.get(task);
    return retry === undefined || this.#options.clock.nowMs() >= retry.atMs;
  }

  /** Returns the route of a task's scoring call; without one, the call waits for a configuration that has it. */
  #routeOf(task: ItemTask, rules: RouteRules): RouteRule | undefined {
    const call = task.item.scoring;
    if (call === null) return undefined;
    const route = rules.find(call.host, pathOf(call.target));
    if (route !== undefined && route.split.length > 0) return route;
    this.#options.events.emit(BATCHES_EVENTS.scoringFailed, {
      request: call.id,
      item: task.item.id,
      batch: task.batch.id,
      serverErrors: 0,
      reason: `no route for host ${call.host} and path ${call.target}`,
    });
    this.#delayRetry(task);
    return undefined;
  }

  #slotsByService(): ReadonlyMap<string, number> {
    const slots = new Map<string, number>();
    for (const upstream of this.#options.upstreams()) {
      if (upstream.phase !== "ready") continue;
      add(slots, upstream.service, upstream.slots);
    }
    return slots;
  }
}

function toReady(task: ItemTask, route: RouteRule): ReadyScoring {
  return {
    key: task.key,
    group: groupOf(task),
    service: heaviestService(route.split) ?? "",
    dueMs: task.dueMs,
    failures: task.scoringFailures,
  };
}

function groupOf(task: ItemTask): string {
  return `${task.batch.id}/${task.item.group}`;
}

function add(counts: Map<string, number>, key: string, count = 1): void {
  counts.set(key, (counts.get(key) ?? 0) + count);
}
