/**
 * Decides which work may wait, and which is rejected or abandoned with a time after which to retry. Pure.
 *
 * @module
 */
import {
  fail,
  type Failure,
  type Milliseconds,
  type RandomSource,
} from "#core";
import type { BundlePolicy } from "./policy.ts";
import type { TargetQueue } from "./target_queue.ts";
import type { PolicySettings } from "./policy_settings.ts";
import type { UpstreamTable } from "./upstream_table.ts";
import type { WorkItem } from "./work_item.ts";

/** Retry delay if no upstream serves a target, before jitter. */
export const NO_UPSTREAM_RETRY_MS: Milliseconds = 1_000;
/** Minimum and maximum retry delay returned to a rejected caller. */
export const RETRY_AFTER_RANGE_MS: readonly [Milliseconds, Milliseconds] = [
  100,
  60_000,
];

const RETRY_JITTER_FRACTION = 0.25;

/** Options of `AdmissionRules`. */
export interface AdmissionRulesOptions {
  readonly policy: BundlePolicy;
  readonly table: UpstreamTable;
  readonly settings: PolicySettings;
  readonly random: RandomSource;
}

/** The queue of the item's target, and the current time. */
export interface AdmissionContext {
  readonly queue: TargetQueue;
  readonly nowMs: Milliseconds;
}

/** Decides on admission by queue lengths, drain rates and deadlines. */
export class AdmissionRules {
  readonly #options: AdmissionRulesOptions;

  constructor(options: AdmissionRulesOptions) {
    this.#options = options;
  }

  /** Returns why an arriving item is rejected, or undefined if it may wait. */
  checkAdmission(
    item: WorkItem,
    options: AdmissionContext & {
      /** Number of the tenant's requests that wait or run at this entry. */
      readonly outstanding: number;
    },
  ): Failure | undefined {
    const { queue: { queue, drain } } = options;
    const entry = this.#options.policy.class(item.class);
    const tenant = this.#options.policy.tenant(item.tenant);
    const waitMs = this.#expectedWaitMs(item, options);
    const maximumQueued = entry?.maximumQueued ?? 0;
    if (queue.sizeOf(item.class) >= maximumQueued) {
      return fail("too_many_requests", `the queue of ${item.class} is full`, {
        retryAfterMs: this.#retryAfter(waitMs),
      });
    }
    const { outstanding } = options;
    if (outstanding >= (tenant?.maximumOutstanding ?? 0)) {
      return fail(
        "too_many_requests",
        `${item.tenant} has ${outstanding} requests outstanding`,
        { retryAfterMs: this.#retryAfter(drain.serviceMs(item.class)) },
      );
    }
    return this.#checkDeadline(item, { ...options, waitMs });
  }

  #checkDeadline(
    item: WorkItem,
    options: {
      readonly queue: TargetQueue;
      readonly nowMs: Milliseconds;
      readonly waitMs: Milliseconds;
    },
  ): Failure | undefined {
    const { waitMs, nowMs, queue: { drain } } = options;
    const leftMs = item.deadlineMs - nowMs;
    const neededMs = waitMs + drain.serviceMs(item.class);
    const isStanding = this.#isStandingQueue(item, options);
    const allowedMs = isStanding
      ? Math.min(leftMs, this.#options.settings.standingQueueMaximumWaitMs)
      : leftMs * this.#options.settings.maximumWaitFraction;
    const isWaitTooLong = waitMs > allowedMs;
    if (leftMs > 0 && neededMs <= leftMs && !isWaitTooLong) return undefined;
    return fail(
      "deadline_unreachable",
      `about ${Math.ceil(neededMs)} ms are needed, ${
        Math.max(0, Math.floor(leftMs))
      } ms are left`,
      { retryAfterMs: this.#retryAfter(waitMs) },
    );
  }

  /** Returns why a waiting item is abandoned, or undefined if it can still finish in time. */
  checkWaiting(
    item: WorkItem,
    options: AdmissionContext,
  ): Failure | undefined {
    const { nowMs, queue } = options;
    const budgetMs = item.deadlineMs - item.arrivedMs;
    const serviceMs = queue.drain.serviceMs(item.class);
    const expectedMs = this.#forecastWaitMs(item, options);
    const hasWaitedLong = nowMs + expectedMs - item.arrivedMs >
      budgetMs * this.#options.settings.maximumWaitFraction;
    if (!hasWaitedLong && nowMs + serviceMs <= item.deadlineMs) {
      return undefined;
    }
    return fail("deadline_unreachable", "the queue drains too slowly", {
      retryAfterMs: this.#retryAfter(this.#expectedWaitMs(item, options)),
    });
  }

  /**
   * Returns the expected wait of a waiting item behind all classes with a higher priority; 0 for the first
   * class and for items admitted before.
   */
  #forecastWaitMs(
    item: WorkItem,
    options: AdmissionContext,
  ): Milliseconds {
    const isForecast = this.#options.settings.abandonsByForecast &&
      !item.admitted &&
      !this.#options.policy.isFirstClass(item.class);
    if (!isForecast) return 0;
    const { queue: { queue, drain, target }, nowMs } = options;
    const pool = this.#options.table.pool(target);
    return drain.waitMs({
      class: item.class,
      ahead: queue.aheadOf(item.class) - queue.sizeOf(item.class),
      aheadInClass: 0,
      slots: pool?.slots(nowMs, false) ?? 0,
      nowMs,
    });
  }

  #expectedWaitMs(
    item: WorkItem,
    options: AdmissionContext,
  ): Milliseconds {
    const { queue: { queue, drain, target }, nowMs } = options;
    const pool = this.#options.table.pool(target);
    if (pool === undefined) return 0;
    const isFirstClass = this.#options.policy.isFirstClass(item.class);
    if (queue.size === 0 && pool.hasFreeSlot(nowMs, isFirstClass)) return 0;
    return drain.waitMs({
      class: item.class,
      ahead: queue.aheadOf(item.class),
      aheadInClass: queue.sizeOf(item.class),
      slots: pool.slots(nowMs, isFirstClass),
      nowMs,
    });
  }

  /** Returns a failure if no upstream can serve the item, or undefined if one can. */
  checkServable(item: WorkItem, nowMs: Milliseconds): Failure | undefined {
    const pool = this.#options.table.pool(item.target);
    if (pool?.canServe(item, nowMs) === true) return undefined;
    return fail(
      "no_upstream",
      `no upstream serves ${item.target.kind} ${item.target.name} now`,
      { retryAfterMs: this.#retryAfter(NO_UPSTREAM_RETRY_MS) },
    );
  }

  /**
   * Returns a retry delay within the range, with jitter so that rejected callers don't retry at the same
   * time.
   */
  #retryAfter(waitMs: Milliseconds): Milliseconds {
    const [minimumMs, maximumMs] = RETRY_AFTER_RANGE_MS;
    const jittered = waitMs *
      (1 + RETRY_JITTER_FRACTION * this.#options.random.fraction());
    return Math.ceil(Math.min(maximumMs, Math.max(minimumMs, jittered)));
  }

  /** Whether the class has had waiting items for so long that its queue only adds delay (a standing queue). */
  #isStandingQueue(
    item: WorkItem,
    options: AdmissionContext,
  ): boolean {
    if (this.#options.policy.isFirstClass(item.class)) return false;
    const { queue, nowMs } = options;
    if (
      queue.queue.sizeOf(item.class) <
        this.#options.settings.standingQueueMinimumLength
    ) {
      return false;
    }
    const sinceMs = queue.backloggedSinceMs.get(item.class) ?? nowMs;
    return nowMs - sinceMs > this.#options.settings.standingQueueAfterMs;
  }
}
