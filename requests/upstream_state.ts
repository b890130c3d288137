/**
 * The state of one upstream at an entry VM: its record, its reported load corrected by this entry's own
 * work, its limit, and whether calls to it fail.
 *
 * @module
 */
import type { LoadReport, Milliseconds, UpstreamRecord } from "#core";
import { AdaptiveLimit } from "./adaptive_limit.ts";
import { hash32 } from "./affinity_ring.ts";
import type { PolicySettings } from "./policy_settings.ts";
import type { Target } from "./work_item.ts";

/** Age above which a load report is ignored. */
export const REPORT_TTL_MS: Milliseconds = 3_000;
/** Initial suspension of an upstream after a failed call; doubles with each consecutive failure. */
export const INITIAL_SUSPENSION_MS: Milliseconds = 200;
/** Maximum suspension of an upstream after failed calls. */
export const MAXIMUM_SUSPENSION_MS: Milliseconds = 5_000;

const UINT32_RANGE = 0x1_0000_0000;
const MAXIMUM_REPORT_FACTOR = 4;

/** Tracks one upstream. */
export class UpstreamState {
  readonly id: string;
  /** 0 to 1, the same on every entry; see `ShareOptions.roundingOffset`. */
  readonly roundingOffset: number;
  readonly #settings: PolicySettings;
  #record: UpstreamRecord;
  #limit: AdaptiveLimit;
  #running = 0;
  #reportedLoad = 0;
  #runningAtReport = 0;
  #reportedAtMs = Number.NEGATIVE_INFINITY;
  #failures = 0;
  #suspendedUntilMs = Number.NEGATIVE_INFINITY;
  /** This entry's share of the limit: the number of items that it may have outstanding here. */
  share: number;

  constructor(record: UpstreamRecord, settings: PolicySettings) {
    this.#settings = settings;
    this.id = record.id;
    this.roundingOffset = hash32(record.id) / UINT32_RANGE;
    this.#record = record;
    this.#limit = this.#createLimit(record);
    this.share = this.#limit.value;
  }

  /** The latest record. */
  get record(): UpstreamRecord {
    return this.#record;
  }

  /** The adaptive limit on the work outstanding here from all entries. */
  get limit(): AdaptiveLimit {
    return this.#limit;
  }

  /** Number of this entry's items outstanding here. */
  get running(): number {
    return this.#running;
  }

  /** Failures since the last success; several during a suspension count once. */
  get failures(): number {
    return this.#failures;
  }

  /** When the suspension ends. */
  get suspendedUntilMs(): Milliseconds {
    return this.#suspendedUntilMs;
  }

  /**
   * Applies a newer record; a new incarnation or capacity resets the limit, and a new incarnation also ends
   * the suspension.
   */
  update(record: UpstreamRecord): void {
    const before = this.#record;
    this.#record = record;
    const isNew = record.incarnation !== before.incarnation;
    if (isNew || record.capacity !== before.capacity) {
      this.#limit = this.#createLimit(record);
    }
    if (!isNew) return;
    this.#failures = 0;
    this.#suspendedUntilMs = Number.NEGATIVE_INFINITY;
  }

  /** Applies a load report, unless it is older than the last or its load is invalid. */
  recordLoad(load: LoadReport): void {
    if (load.receivedAtMs <= this.#reportedAtMs) return;
    const total = load.running + load.waiting;
    if (!Number.isFinite(total) || total < 0) return;
    const maximum = this.#record.capacity * MAXIMUM_REPORT_FACTOR;
    this.#reportedLoad = Math.min(total, Math.max(1, maximum));
    this.#runningAtReport = this.#running;
    this.#reportedAtMs = load.receivedAtMs;
  }

  /** Returns the reported load, corrected by own work started and ended since; at least the own work. */
  loadAt(nowMs: Milliseconds): number {
    if (nowMs - this.#reportedAtMs > REPORT_TTL_MS) return this.#running;
    const corrected = this.#reportedLoad + this.#running -
      this.#runningAtReport;
    return Math.max(this.#running, corrected);
  }

  /** Whether its announcement has not expired and it is not leaving. */
  isLive(nowMs: Milliseconds): boolean {
    return !this.#record.leaving && this.#record.expiresAtMs > nowMs;
  }

  /** Whether new work may be sent here now. */
  isUsable(nowMs: Milliseconds): boolean {
    return this.#suspendedUntilMs <= nowMs && this.isLive(nowMs);
  }

  /** Whether it serves the target, for a model in at least the minimum version. */
  serves(target: Target, minimumVersion: number | null): boolean {
    if (target.kind === "service") {
      return this.#record.services.includes(target.name);
    }
    for (const served of this.#record.serves) {
      if (served.model !== target.name) continue;
      return minimumVersion === null || served.version >= minimumVersion;
    }
    return false;
  }

  /**
   * Returns the number of items that this entry may have outstanding here for a class; lower for classes
   * below the first.
   */
  limitFor(isFirstClass: boolean): number {
    if (isFirstClass) return this.share;
    const capacity = this.#record.capacity * this.#settings.lowerClassFraction;
    const allowed = Math.round(this.share * capacity / this.#limit.value);
    return Math.min(this.share, Math.max(1, allowed));
  }

  /** Records that a call was started. */
  recordStart(): void {
    this.#running += 1;
  }

  /** Records that a call ended. */
  recordEnd(): void {
    this.#running = Math.max(0, this.#running - 1);
  }

  /** Records that a call succeeded. */
  recordSuccess(): void {
    this.#failures = 0;
  }

  /**
   * Suspends the upstream, for longer with each consecutive failure; failures during a suspension count
   * once.
   */
  suspend(nowMs: Milliseconds): void {
    if (this.#suspendedUntilMs > nowMs) return;
    const pause = Math.min(
      MAXIMUM_SUSPENSION_MS,
      INITIAL_SUSPENSION_MS * 2 ** Math.min(this.#failures, 10),
    );
    this.#failures += 1;
    this.#suspendedUntilMs = nowMs + pause;
  }

  #createLimit(record: UpstreamRecord): AdaptiveLimit {
    return new AdaptiveLimit(
      record.capacity,
      this.#settings.maximumLimitFactor,
    );
  }
}
