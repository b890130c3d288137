/**
 * Admission, order, limits and selection in one place, without input or output: work is submitted, `take`
 * says what goes where, `sweep` says what is given up.
 *
 * @module
 */
import {
  type Bundle,
  type Failure,
  type LoadReport,
  type Milliseconds,
  type RandomSource,
  type UpstreamRecord,
} from "#core";
import { type AdmissionContext, AdmissionRules } from "./admission_rules.ts";
import { type DemandReport, DemandShares } from "./demand_shares.ts";
import { BundlePolicy } from "./policy.ts";
import { createTargetQueue, type TargetQueue } from "./target_queue.ts";
import {
  DEFAULT_POLICY_SETTINGS,
  type PolicySettings,
} from "./policy_settings.ts";
import type { Selection } from "./upstream_pool.ts";
import type { UpstreamState } from "./upstream_state.ts";
import { UpstreamTable } from "./upstream_table.ts";
import { type Target, targetKey, type WorkItem } from "./work_item.ts";

/** Work that goes to an upstream now. */
export interface Dispatch {
  readonly item: WorkItem;
  readonly selection: Selection;
}

/** Work that is given up while it waits. */
export interface AbandonedWork {
  readonly item: WorkItem;
  readonly failure: Failure;
}

/** How a dispatched piece of work ended at its upstream. */
export interface WorkOutcome {
  /** `failed` if the upstream is at fault, `cancelled` if nothing is known of it. */
  readonly result: "whole" | "failed" | "cancelled";
  readonly totalMs: Milliseconds;
  /** Time until the first byte, if one came. */
  readonly firstByteMs: Milliseconds | null;
  /** Work done, in the unit of the item's cost. */
  readonly units: number;
}

/** What the scheduler is built from. */
export interface SchedulerOptions {
  readonly vm: string;
  readonly zone: string;
  readonly random: RandomSource;
  /** Settings of the policy; the usual ones unless given. */
  readonly settings?: PolicySettings;
}

interface RunningItem {
  readonly item: WorkItem;
  readonly upstream: UpstreamState;
  readonly saturated: boolean;
}

/** The scheduler of one entry. */
export class Scheduler {
  readonly policy = new BundlePolicy();
  readonly #random: RandomSource;
  readonly #settings: PolicySettings;
  readonly #table: UpstreamTable;
  readonly #shares: DemandShares;
  readonly #rules: AdmissionRules;
  readonly #queues = new Map<string, TargetQueue>();
  readonly #queueOf = new Map<string, TargetQueue>();
  readonly #running = new Map<string, RunningItem>();
  readonly #outstanding = new Map<string, number>();

  constructor(options: SchedulerOptions) {
    this.#random = options.random;
    this.#settings = options.settings ?? DEFAULT_POLICY_SETTINGS;
    this.#table = new UpstreamTable({
      zone: options.zone,
      settings: this.#settings,
    });
    this.#shares = new DemandShares(options.vm);
    this.#rules = new AdmissionRules({
      policy: this.policy,
      table: this.#table,
      settings: this.#settings,
      random: options.random,
    });
  }

  /** Requests that wait. */
  get queued(): number {
    return this.#queueOf.size;
  }

  /** Requests at upstreams. */
  get running(): number {
    return this.#running.size;
  }

  /** Takes the bundle in force. */
  setBundle(bundle: Bundle): void {
    this.policy.setBundle(bundle);
  }

  /** Takes the upstreams of the board. */
  setUpstreams(
    records: ReadonlyMap<string, UpstreamRecord>,
    nowMs: Milliseconds,
  ): void {
    this.#table.setRecords(records);
    this.updateShares(nowMs);
  }

  /** Takes the load reports of the board. */
  setLoads(loads: ReadonlyMap<string, LoadReport>): void {
    this.#table.setLoads(loads);
  }

  /** Notes the demand of another entry of the zone. */
  recordDemand(from: string, notice: DemandReport, nowMs: Milliseconds): void {
    this.#shares.recordReport(from, notice, nowMs);
  }

  /** Own demand, for the other entries of the zone. */
  demand(): DemandReport {
    const demand: Record<string, number> = {};
    for (const [key, queue] of this.#queues) {
      const count = queue.queue.size + queue.running;
      if (count > 0) demand[key] = count;
    }
    return { demand };
  }

  /** Works out anew which part of each upstream's bound is this entry's. */
  updateShares(nowMs: Milliseconds): void {
    this.#shares.expire(nowMs);
    this.#table.updateShares(this.#shares, {
      nowMs,
      demandOf: (key) => this.#demandOf(key),
    });
  }

  /** Queues work, or refuses it at once; admitted work only for want of an upstream. */
  submit(item: WorkItem, nowMs: Milliseconds): Failure | undefined {
    const queue = this.#queueFor(item.target);
    const refusal = this.#rules.checkServable(item, nowMs) ??
      this.#checkAdmission(item, { queue, nowMs });
    if (refusal !== undefined) return refusal;
    this.#enqueue(item, { queue, nowMs });
    return undefined;
  }

  /** Everything that can go to an upstream now. */
  takeDispatches(nowMs: Milliseconds): readonly Dispatch[] {
    const dispatches: Dispatch[] = [];
    for (const queue of this.#queues.values()) {
      while (queue.queue.size > 0) {
        const dispatch = this.#takeDispatch(queue, nowMs);
        if (dispatch === undefined) break;
        dispatches.push(dispatch);
      }
    }
    return dispatches;
  }

  /** Notes the end of dispatched work. */
  finish(id: string, outcome: WorkOutcome, nowMs: Milliseconds): void {
    const running = this.#running.get(id);
    if (running === undefined) return;
    const { item, upstream } = running;
    this.#running.delete(id);
    this.#releaseOutstanding(item.tenant);
    const queue = this.#queueFor(item.target);
    queue.running -= 1;
    upstream.recordEnd();
    if (outcome.result === "failed") upstream.suspend(nowMs);
    if (outcome.result !== "whole") return;
    upstream.recordSuccess();
    queue.drain.recordFinish(item.class, outcome.totalMs);
    upstream.limit.record({
      latencyMs: outcome.totalMs / Math.max(1, outcome.units),
      saturated: running.saturated,
    });
  }

  /** Takes waiting work back; false if it does not wait. */
  withdraw(id: string): boolean {
    const queue = this.#queueOf.get(id);
    const item = queue?.queue.remove(id);
    if (queue === undefined || item === undefined) return false;
    this.#leaveQueue(item, queue);
    this.#releaseOutstanding(item.tenant);
    return true;
  }

  /** Gives up what can't be done in time any more, or has no upstream left. */
  abandonLateWork(nowMs: Milliseconds): readonly AbandonedWork[] {
    const givenUp: AbandonedWork[] = [];
    for (const queue of this.#queues.values()) {
      for (const item of [...queue.queue.items()]) {
        const failure = this.#rules.checkServable(item, nowMs) ??
          this.#rules.checkWaiting(item, { queue, nowMs });
        if (failure === undefined) continue;
        this.withdraw(item.id);
        givenUp.push({ item, failure });
      }
    }
    return givenUp;
  }

  /** The state of an upstream, for explanations. */
  upstream(id: string): UpstreamState | undefined {
    return this.#table.state(id);
  }

  /** Work that was admitted before its first attempt is not judged again. */
  #checkAdmission(
    item: WorkItem,
    state: AdmissionContext,
  ): Failure | undefined {
    if (item.admitted) return undefined;
    const held = this.#outstanding.get(item.tenant) ?? 0;
    return this.#rules.checkAdmission(item, { ...state, held });
  }

  #takeDispatch(queue: TargetQueue, nowMs: Milliseconds): Dispatch | undefined {
    const pool = this.#table.pool(queue.target);
    if (pool === undefined || !pool.hasRoom(nowMs, true)) return undefined;
    let selection: Selection | undefined;
    const full = new Set<string>();
    const item = queue.queue.take((candidate) => {
      if (isUnconstrained(candidate) && full.has(candidate.class)) return false;
      selection = pool.select(candidate, {
        nowMs,
        random: this.#random,
        isFirstClass: this.policy.isFirstClass(candidate.class),
      });
      if (selection !== undefined) return true;
      if (isUnconstrained(candidate)) full.add(candidate.class);
      return false;
    });
    if (item === undefined || selection === undefined) return undefined;
    this.#markDispatched(item, { queue, selection, nowMs });
    return { item, selection };
  }

  #markDispatched(
    item: WorkItem,
    options: {
      readonly queue: TargetQueue;
      readonly selection: Selection;
      readonly nowMs: Milliseconds;
    },
  ): void {
    const { queue, selection: { upstream }, nowMs } = options;
    this.#leaveQueue(item, queue);
    queue.drain.recordStart(item.class, queue.queue.sizeOf(item.class), nowMs);
    queue.running += 1;
    upstream.recordStart();
    const saturated = upstream.running >= upstream.share;
    this.#running.set(item.id, { item, upstream, saturated });
  }

  #enqueue(
    item: WorkItem,
    options: { readonly queue: TargetQueue; readonly nowMs: Milliseconds },
  ): void {
    const { queue, nowMs } = options;
    queue.queue.push(item);
    if (!queue.backloggedSinceMs.has(item.class)) {
      queue.backloggedSinceMs.set(item.class, nowMs);
    }
    this.#queueOf.set(item.id, queue);
    const held = this.#outstanding.get(item.tenant) ?? 0;
    this.#outstanding.set(item.tenant, held + 1);
  }

  #leaveQueue(item: WorkItem, queue: TargetQueue): void {
    this.#queueOf.delete(item.id);
    if (queue.queue.sizeOf(item.class) > 0) return;
    queue.backloggedSinceMs.delete(item.class);
  }

  #releaseOutstanding(tenant: string): void {
    const held = (this.#outstanding.get(tenant) ?? 0) - 1;
    if (held > 0) this.#outstanding.set(tenant, held);
    else this.#outstanding.delete(tenant);
  }

  #queueFor(target: Target): TargetQueue {
    const key = targetKey(target);
    const known = this.#queues.get(key);
    if (known !== undefined) return known;
    const made = createTargetQueue(target, this.policy);
    this.#queues.set(key, made);
    return made;
  }

  #demandOf(key: string): number {
    const queue = this.#queues.get(key);
    return queue === undefined ? 0 : queue.queue.size + queue.running;
  }
}

/** Whether any upstream of the target suits the item, so that one refusal speaks for its class. */
function isUnconstrained(item: WorkItem): boolean {
  return item.minimumVersion === null && item.avoid.length === 0;
}
