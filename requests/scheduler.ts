/**
 * Admission, ordering, limits and upstream selection, without I/O: `submit` queues or rejects work,
 * `takeDispatches` returns the work to send and its upstreams, and `abandonLateWork` returns the work that is
 * removed from the queues because it can't be served in time.
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

/** A work item to send, and the upstream selected for it. */
export interface Dispatch {
  readonly item: WorkItem;
  readonly selection: Selection;
}

/** A work item that was removed from its queue, and why. */
export interface AbandonedWork {
  readonly item: WorkItem;
  readonly failure: Failure;
}

/** The outcome of a dispatched work item at its upstream. */
export interface WorkOutcome {
  /**
   * `whole` if it completed, `failed` if the upstream is at fault, `cancelled` if the outcome says nothing
   * about the upstream.
   */
  readonly result: "whole" | "failed" | "cancelled";
  readonly totalMs: Milliseconds;
  /** Time until the first byte, or null if none was received. */
  readonly firstByteMs: Milliseconds | null;
  /** Work done, in the unit of `WorkItem.cost`. */
  readonly units: number;
}

/** Options of `Scheduler`. */
export interface SchedulerOptions {
  readonly vm: string;
  readonly zone: string;
  readonly random: RandomSource;
  /** Settings of the policy; `DEFAULT_POLICY_SETTINGS` if absent. */
  readonly settings?: PolicySettings;
}

interface RunningItem {
  readonly item: WorkItem;
  readonly upstream: UpstreamState;
  readonly saturated: boolean;
}

/** Schedules the work of one entry VM. */
export class Scheduler {
  readonly policy = new BundlePolicy();
  readonly #random: RandomSource;
  readonly #settings: PolicySettings;
  readonly #table: UpstreamTable;
  readonly #shares: DemandShares;
  readonly #rules: AdmissionRules;
  readonly #queues = new Map<string, TargetQueue>();
  readonly #queueByItem = new Map<string, TargetQueue>();
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

  /** Number of queued items. */
  get queued(): number {
    return this.#queueByItem.size;
  }

  /** Number of items running at upstreams. */
  get running(): number {
    return this.#running.size;
  }

  /** Replaces the active bundle. */
  setBundle(bundle: Bundle): void {
    this.policy.setBundle(bundle);
  }

  /** Applies the upstream records of the blackboard and recomputes the shares. */
  setUpstreams(
    records: ReadonlyMap<string, UpstreamRecord>,
    nowMs: Milliseconds,
  ): void {
    this.#table.setRecords(records);
    this.updateShares(nowMs);
  }

  /** Applies the load reports of the blackboard. */
  setLoads(loads: ReadonlyMap<string, LoadReport>): void {
    this.#table.setLoads(loads);
  }

  /** Records the demand reported by another entry VM of the zone. */
  recordDemand(from: string, report: DemandReport, nowMs: Milliseconds): void {
    this.#shares.recordReport(from, report, nowMs);
  }

  /** Returns this entry's demand, for the other entry VMs of the zone. */
  demand(): DemandReport {
    const demand: Record<string, number> = {};
    for (const [key, queue] of this.#queues) {
      const count = queue.queue.size + queue.running;
      if (count > 0) demand[key] = count;
    }
    return { demand };
  }

  /** Recomputes this entry's share of each upstream's limit. */
  updateShares(nowMs: Milliseconds): void {
    this.#shares.expire(nowMs);
    this.#table.updateShares(this.#shares, {
      nowMs,
      demandOf: (key) => this.#demandOf(key),
    });
  }

  /**
   * Queues an item, or returns why it is rejected; an item admitted before is rejected only if no upstream
   * can serve it.
   */
  submit(item: WorkItem, nowMs: Milliseconds): Failure | undefined {
    const queue = this.#queueFor(item.target);
    const rejection = this.#rules.checkServable(item, nowMs) ??
      this.#checkAdmission(item, { queue, nowMs });
    if (rejection !== undefined) return rejection;
    this.#enqueue(item, { queue, nowMs });
    return undefined;
  }

  /** Removes from the queues and returns everything that can be sent to an upstream now. */
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

  /** Records the outcome of a dispatched item and frees its slot. */
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

  /** Removes a waiting item; returns false if it is not waiting. */
  withdraw(id: string): boolean {
    const queue = this.#queueByItem.get(id);
    const item = queue?.queue.remove(id);
    if (queue === undefined || item === undefined) return false;
    this.#leaveQueue(item, queue);
    this.#releaseOutstanding(item.tenant);
    return true;
  }

  /** Removes and returns items that can't finish in time, or that no upstream can serve any more. */
  abandonLateWork(nowMs: Milliseconds): readonly AbandonedWork[] {
    const abandoned: AbandonedWork[] = [];
    for (const queue of this.#queues.values()) {
      for (const item of [...queue.queue.items()]) {
        const failure = this.#rules.checkServable(item, nowMs) ??
          this.#rules.checkWaiting(item, { queue, nowMs });
        if (failure === undefined) continue;
        this.withdraw(item.id);
        abandoned.push({ item, failure });
      }
    }
    return abandoned;
  }

  /** Returns the state of an upstream, for explanations of decisions. */
  upstream(id: string): UpstreamState | undefined {
    return this.#table.state(id);
  }

  /** Returns why an item is rejected; one that was admitted for an earlier attempt is not checked again. */
  #checkAdmission(
    item: WorkItem,
    state: AdmissionContext,
  ): Failure | undefined {
    if (item.admitted) return undefined;
    const outstanding = this.#outstanding.get(item.tenant) ?? 0;
    return this.#rules.checkAdmission(item, {
      ...state,
      outstanding,
    });
  }

  #takeDispatch(queue: TargetQueue, nowMs: Milliseconds): Dispatch | undefined {
    const pool = this.#table.pool(queue.target);
    if (pool === undefined || !pool.hasFreeSlot(nowMs, true)) return undefined;
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
    this.#queueByItem.set(item.id, queue);
    const outstanding = this.#outstanding.get(item.tenant) ?? 0;
    this.#outstanding.set(item.tenant, outstanding + 1);
  }

  #leaveQueue(item: WorkItem, queue: TargetQueue): void {
    this.#queueByItem.delete(item.id);
    if (queue.queue.sizeOf(item.class) > 0) return;
    queue.backloggedSinceMs.delete(item.class);
  }

  #releaseOutstanding(tenant: string): void {
    const outstanding = (this.#outstanding.get(tenant) ?? 0) - 1;
    if (outstanding > 0) this.#outstanding.set(tenant, outstanding);
    else this.#outstanding.delete(tenant);
  }

  #queueFor(target: Target): TargetQueue {
    const key = targetKey(target);
    const existing = this.#queues.get(key);
    if (existing !== undefined) return existing;
    const created = createTargetQueue(target, this.policy);
    this.#queues.set(key, created);
    return created;
  }

  #demandOf(key: string): number {
    const queue = this.#queues.get(key);
    return queue === undefined ? 0 : queue.queue.size + queue.running;
  }
}

/**
 * Whether the item may run at any upstream of its target, so that a failed selection holds for all such items
 * of its class.
 */
function isUnconstrained(item: WorkItem): boolean {
  return item.minimumVersion === null && item.avoid.length === 0;
}
