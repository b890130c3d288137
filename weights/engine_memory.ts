/**
 * What the leader knows of one engine and one model: from its announcements, from reading it back and
 * from the orders given.
 *
 * @module
 */
import type { Milliseconds, OrderView, UpstreamRecord } from "#core";
import type { EngineState } from "#samples";
import type { RolloutEngine } from "./rollout_plan.ts";

/** An order without an answer from the engine's state for this long counts as failed. */
const LOAD_LIMIT_MS: Milliseconds = 120_000;
/** Shortest time between two readings. */
export const READ_MS: Milliseconds = 500;
/** Time between readings of an engine that serves what it shall. */
const AUDIT_MS: Milliseconds = 15_000;
const FIRST_REST_MS: Milliseconds = 1_000;
const LONGEST_REST_MS: Milliseconds = 30_000;

/** What came of a reading. */
export type ReadOutcome = "serving" | "loading" | "failed" | "other";

interface Load {
  /** Version ordered, or null if another leader ordered it. */
  readonly version: number | null;
  readonly sinceMs: Milliseconds;
}

/** One engine's part in one model. */
export class EngineMemory {
  #record: UpstreamRecord;
  #serving: number | null;
  #loading: Load | null = null;
  #readAtMs: Milliseconds | null = null;
  #readSequence = -1;
  #reading = false;
  #failures = 0;
  /** Whether the failed state that it was last read in has had its rest. */
  #failureRested = false;
  #restUntilMs: Milliseconds;
  readonly #model: string;

  constructor(
    record: UpstreamRecord,
    options: { readonly model: string; readonly restUntilMs: Milliseconds },
  ) {
    this.#record = record;
    this.#model = options.model;
    this.#restUntilMs = options.restUntilMs;
    this.#serving = announcedVersion(record, options.model);
  }

  /** The newest announcement. */
  get record(): UpstreamRecord {
    return this.#record;
  }

  /** Takes a newer announcement; a new incarnation forgets what was read. */
  announce(record: UpstreamRecord): void {
    if (record.incarnation !== this.#record.incarnation) {
      this.#readAtMs = null;
      this.#loading = null;
      this.#serving = announcedVersion(record, this.#model);
    }
    this.#record = record;
  }

  /** The engine as the plan sees it, or null until it was read. */
  view(): RolloutEngine | null {
    if (this.#readAtMs === null) return null;
    return {
      upstream: this.#record.id,
      zone: this.#record.zone,
      capacity: this.#record.capacity,
      serving: this.#serving,
      loading: this.#loading !== null,
      earliestOrderMs: this.#restUntilMs,
      consecutiveFailures: this.#failures,
    };
  }

  /**
   * Whether the engine is to be read back now: `loadingReadMs` after the last reading while a load is
   * on, and sooner once its announcement names the version.
   */
  needsReading(nowMs: Milliseconds, loadingReadMs: Milliseconds): boolean {
    if (this.#reading) return false;
    if (this.#readAtMs === null) return true;
    const sinceMs = nowMs - this.#readAtMs;
    if (this.#loading !== null) {
      const announced = announcedVersion(this.#record, this.#model);
      const isAnnounced = announced !== null &&
        announced === this.#loading.version;
      return sinceMs >= (isAnnounced ? READ_MS : loadingReadMs);
    }
    if (sinceMs >= AUDIT_MS) return true;
    const announced = announcedVersion(this.#record, this.#model);
    return announced !== this.#serving && sinceMs >= READ_MS &&
      this.#record.sequence > this.#readSequence;
  }

  /** Notes that a reading began. */
  beginReading(): void {
    this.#reading = true;
  }

  /** Notes that an order is being given. */
  ordered(version: number, nowMs: Milliseconds): void {
    this.#loading = { version, sinceMs: nowMs };
    this.#readAtMs = nowMs;
    this.#failureRested = false;
  }

  /** Notes that an order was refused, or had no answer: the engine is read again before the next. */
  orderFailed(nowMs: Milliseconds): void {
    this.#loading = null;
    this.#readAtMs = null;
    this.#rest(nowMs);
  }

  /** Notes that a reading gave no answer. */
  readFailed(nowMs: Milliseconds): void {
    this.#reading = false;
    if (this.#readAtMs !== null) this.#readAtMs = nowMs;
    this.#giveUpLoad(nowMs);
  }

  /** Takes a reading that was begun at `begunAtMs`. */
  read(
    state: EngineState,
    times: { readonly begunAtMs: Milliseconds; readonly nowMs: Milliseconds },
  ): ReadOutcome {
    this.#reading = false;
    const orderedSince = this.#loading !== null &&
      this.#loading.sinceMs > times.begunAtMs;
    if (orderedSince) return "other";
    this.#readAtMs = times.nowMs;
    this.#readSequence = this.#record.sequence;
    const own = state.models.filter((entry) => entry.model === this.#model);
    const serving = own.find((entry) => entry.state === "serving");
    const loading = own.find((entry) => entry.state === "loading");
    const failed = own.find((entry) => entry.state === "failed");
    this.#serving = serving?.version ?? null;
    if (loading !== undefined) {
      this.#noteLoading(times.nowMs);
      this.#giveUpLoad(times.nowMs);
      return "loading";
    }
    const wasLoading = this.#loading;
    this.#loading = null;
    if (failed !== undefined && serving === undefined) {
      if (this.#failureRested) return "other";
      this.#failureRested = true;
      this.#rest(times.nowMs);
      return "failed";
    }
    const expected = wasLoading?.version ?? null;
    if (expected !== null && serving?.version !== expected) {
      this.#rest(times.nowMs);
      return "failed";
    }
    this.#failures = 0;
    this.#failureRested = false;
    return "serving";
  }

  /** Engines differ in which version they name while they load, so that it is not relied on. */
  #noteLoading(nowMs: Milliseconds): void {
    this.#loading ??= { version: null, sinceMs: nowMs };
  }

  #giveUpLoad(nowMs: Milliseconds): void {
    if (this.#loading === null) return;
    if (nowMs - this.#loading.sinceMs < LOAD_LIMIT_MS) return;
    this.#loading = null;
    this.#rest(nowMs);
  }

  #rest(nowMs: Milliseconds): void {
    const restMs = Math.min(
      LONGEST_REST_MS,
      FIRST_REST_MS * 2 ** Math.min(this.#failures, 10),
    );
    this.#failures += 1;
    this.#restUntilMs = Math.max(this.#restUntilMs, nowMs + restMs);
  }
}

/** Version of the model that an announcement names, or null. */
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

/** Whether an order in force names this version for the engine. */
export function isWished(
  order: OrderView | undefined,
  version: number,
): order is OrderView {
  return order !== undefined && order.version === version;
}
