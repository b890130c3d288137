/**
 * The leader's state of one engine and one model, from the engine's announcements, from polls of its state
 * and from the orders sent to it.
 *
 * @module
 */
import type { EngineOrder, Milliseconds, UpstreamRecord } from "#core";
import type { EngineState } from "#samples";
import type { RolloutEngine } from "./rollout_plan.ts";

/** A load counts as failed if the engine's state does not show its result within this time. */
const LOAD_TIMEOUT_MS: Milliseconds = 120_000;
/** Minimum interval between two polls of an engine. */
export const MINIMUM_POLL_INTERVAL_MS: Milliseconds = 500;
/** Interval between polls of an engine that has no load pending. */
const AUDIT_INTERVAL_MS: Milliseconds = 15_000;
const INITIAL_BACKOFF_MS: Milliseconds = 1_000;
const MAXIMUM_BACKOFF_MS: Milliseconds = 30_000;

/** Outcome of a poll of an engine's state. */
export type PollOutcome = "serving" | "loading" | "failed" | "other";

interface PendingLoad {
  /** Ordered version, or null if another leader sent the order. */
  readonly version: number | null;
  readonly startedAtMs: Milliseconds;
}

/** Tracks the version of one model on one engine. */
export class EngineTracker {
  #record: UpstreamRecord;
  #servedVersion: number | null;
  #pendingLoad: PendingLoad | null = null;
  #polledAtMs: Milliseconds | null = null;
  #polledSequence = -1;
  #polling = false;
  #consecutiveFailures = 0;
  /** Whether a backoff was already started for the failed state that the last poll returned. */
  #backedOffForFailure = false;
  #earliestOrderMs: Milliseconds;
  readonly #model: string;

  constructor(
    record: UpstreamRecord,
    options: { readonly model: string; readonly earliestOrderMs: Milliseconds },
  ) {
    this.#record = record;
    this.#model = options.model;
    this.#earliestOrderMs = options.earliestOrderMs;
    this.#servedVersion = announcedVersion(record, options.model);
  }

  /** Latest announcement of the engine. */
  get record(): UpstreamRecord {
    return this.#record;
  }

  /** Applies a newer announcement; a new incarnation discards the polled state. */
  updateRecord(record: UpstreamRecord): void {
    if (record.incarnation !== this.#record.incarnation) {
      this.#polledAtMs = null;
      this.#pendingLoad = null;
      this.#servedVersion = announcedVersion(record, this.#model);
    }
    this.#record = record;
  }

  /** Returns the engine as input of the rollout plan, or null until its state has been polled. */
  rolloutEngine(): RolloutEngine | null {
    if (this.#polledAtMs === null) return null;
    return {
      upstream: this.#record.id,
      zone: this.#record.zone,
      capacity: this.#record.capacity,
      serving: this.#servedVersion,
      loading: this.#pendingLoad !== null,
      earliestOrderMs: this.#earliestOrderMs,
      consecutiveFailures: this.#consecutiveFailures,
    };
  }

  /**
   * Returns whether the engine is due for a poll: `loadingPollIntervalMs` after the last poll while a load
   * is pending, and sooner once its announcement names the version.
   */
  needsPoll(nowMs: Milliseconds, loadingPollIntervalMs: Milliseconds): boolean {
    if (this.#polling) return false;
    if (this.#polledAtMs === null) return true;
    const sinceMs = nowMs - this.#polledAtMs;
    if (this.#pendingLoad !== null) {
      const announced = announcedVersion(this.#record, this.#model);
      const isAnnounced = announced !== null &&
        announced === this.#pendingLoad.version;
      return sinceMs >=
        (isAnnounced ? MINIMUM_POLL_INTERVAL_MS : loadingPollIntervalMs);
    }
    if (sinceMs >= AUDIT_INTERVAL_MS) return true;
    const announced = announcedVersion(this.#record, this.#model);
    return announced !== this.#servedVersion &&
      sinceMs >= MINIMUM_POLL_INTERVAL_MS &&
      this.#record.sequence > this.#polledSequence;
  }

  /** Records that a poll has started. */
  startPoll(): void {
    this.#polling = true;
  }

  /** Records that an order is being sent. */
  recordOrder(version: number, nowMs: Milliseconds): void {
    this.#pendingLoad = { version, startedAtMs: nowMs };
    this.#polledAtMs = nowMs;
    this.#backedOffForFailure = false;
  }

  /** Records that an order was rejected or got no response: the engine is polled before the next order. */
  recordOrderFailure(nowMs: Milliseconds): void {
    this.#pendingLoad = null;
    this.#polledAtMs = null;
    this.#backOff(nowMs);
  }

  /** Records that a poll got no usable response. */
  recordPollFailure(nowMs: Milliseconds): void {
    this.#polling = false;
    if (this.#polledAtMs !== null) this.#polledAtMs = nowMs;
    this.#expireLoad(nowMs);
  }

  /** Applies the result of a poll that started at `startedAtMs`; an order sent since then outdates it. */
  recordPoll(
    state: EngineState,
    times: { readonly startedAtMs: Milliseconds; readonly nowMs: Milliseconds },
  ): PollOutcome {
    this.#polling = false;
    const isOutdated = this.#pendingLoad !== null &&
      this.#pendingLoad.startedAtMs > times.startedAtMs;
    if (isOutdated) return "other";
    this.#polledAtMs = times.nowMs;
    this.#polledSequence = this.#record.sequence;
    const modelStates = state.models.filter((entry) =>
      entry.model === this.#model
    );
    const serving = modelStates.find((entry) => entry.state === "serving");
    const loading = modelStates.find((entry) => entry.state === "loading");
    const failed = modelStates.find((entry) => entry.state === "failed");
    this.#servedVersion = serving?.version ?? null;
    if (loading !== undefined) {
      this.#markLoading(times.nowMs);
      this.#expireLoad(times.nowMs);
      return "loading";
    }
    const previousLoad = this.#pendingLoad;
    this.#pendingLoad = null;
    if (failed !== undefined && serving === undefined) {
      if (this.#backedOffForFailure) return "other";
      this.#backedOffForFailure = true;
      this.#backOff(times.nowMs);
      return "failed";
    }
    const expected = previousLoad?.version ?? null;
    if (expected !== null && serving?.version !== expected) {
      this.#backOff(times.nowMs);
      return "failed";
    }
    this.#consecutiveFailures = 0;
    this.#backedOffForFailure = false;
    return "serving";
  }

  /** Ignores the version that a loading engine reports, because engines differ in which one they name. */
  #markLoading(nowMs: Milliseconds): void {
    this.#pendingLoad ??= { version: null, startedAtMs: nowMs };
  }

  #expireLoad(nowMs: Milliseconds): void {
    if (this.#pendingLoad === null) return;
    if (nowMs - this.#pendingLoad.startedAtMs < LOAD_TIMEOUT_MS) return;
    this.#pendingLoad = null;
    this.#backOff(nowMs);
  }

  #backOff(nowMs: Milliseconds): void {
    const backoffMs = Math.min(
      MAXIMUM_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** Math.min(this.#consecutiveFailures, 10),
    );
    this.#consecutiveFailures += 1;
    this.#earliestOrderMs = Math.max(this.#earliestOrderMs, nowMs + backoffMs);
  }
}

/** Returns the newest version of the model in an announcement, or null if it names none. */
export function announcedVersion(
  record: UpstreamRecord,
  model: string,
): number | null {
  let newest: number | null = null;
  for (const served of record.serves) {
    if (served.model !== model) continue;
    newest = Math.max(newest ?? served.version, served.version);
  }
  return newest;
}

/** Returns whether an order exists and names this version. */
export function isOrderForVersion(
  order: EngineOrder | undefined,
  version: number,
): order is EngineOrder {
  return order !== undefined && order.version === version;
}
