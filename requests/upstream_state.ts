/**
 * What an entry knows of one upstream: its record, its reported load corrected by own work, its bound and
 * whether calls to it fail.
 *
 * @module
 */
import type { LoadReport, Milliseconds, UpstreamRecord } from "#core";
import { AdaptiveLimit } from "./adaptive_limit.ts";
import { hash32 } from "./affinity_ring.ts";
import type { PolicySettings } from "./policy_settings.ts";
import type { Target } from "./work_item.ts";

/** Age at which a load report counts no longer. */
export const REPORT_TTL_MS: Milliseconds = 3_000;
/** First pause of an upstream whose calls fail; doubles with each failure in a row. */
export const INITIAL_SUSPENSION_MS: Milliseconds = 200;
/** Longest pause of an upstream whose calls fail. */
export const MAXIMUM_SUSPENSION_MS: Milliseconds = 5_000;

const UINT32_RANGE = 0x1_0000_0000;
const MAXIMUM_REPORT_FACTOR = 4;

/** One upstream. */
export class UpstreamState {
  readonly id: string;
  /** 0 to 1, the same on every entry. */
  readonly roundingOffset: number;
  readonly #settings: PolicySettings;
  #record: UpstreamRecord;
  #limit: AdaptiveLimit;
  #running = 0;
  #reported = 0;
  #runningAtReport = 0;
  #reportedAtMs = Number.NEGATIVE_INFINITY;
  #failures = 0;
  #suspendedUntilMs = Number.NEGATIVE_INFINITY;
  /** Work that this entry may have outstanding here. */
  share: number;

  constructor(record: UpstreamRecord, settings: PolicySettings) {
    this.#settings = settings;
    this.id = record.id;
    this.roundingOffset = hash32(record.id) / UINT32_RANGE;
    this.#record = record;
    this.#limit = this.#createLimit(record);
    this.share = this.#limit.value;
  }

  /** The newest record. */
  get record(): UpstreamRecord {
    return this.#record;
  }

  /** The adaptive bound on all work outstanding here. */
  get limit(): AdaptiveLimit {
    return this.#limit;
  }

  /** Own work outstanding here. */
  get running(): number {
    return this.#running;
  }

  /** Failures since the last success. */
  get failures(): number {
    return this.#failures;
  }

  /** When the pause ends. */
  get suspendedUntilMs(): Milliseconds {
    return this.#suspendedUntilMs;
  }

  /** Takes a newer record; a new incarnation or capacity starts its bound afresh. */
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

  /** Takes a load report; one that makes no sense is ignored. */
  recordLoad(load: LoadReport): void {
    if (load.receivedAtMs <= this.#reportedAtMs) return;
    const total = load.running + load.waiting;
    if (!Number.isFinite(total) || total < 0) return;
    const most = this.#record.capacity * MAXIMUM_REPORT_FACTOR;
    this.#reported = Math.min(total, Math.max(1, most));
    this.#runningAtReport = this.#running;
    this.#reportedAtMs = load.receivedAtMs;
  }

  /** Load as reported, corrected by own work begun and ended since; never below own work. */
  loadAt(nowMs: Milliseconds): number {
    if (nowMs - this.#reportedAtMs > REPORT_TTL_MS) return this.#running;
    const corrected = this.#reported + this.#running - this.#runningAtReport;
    return Math.max(this.#running, corrected);
  }

  /** Whether it is announced and stays. */
  isLive(nowMs: Milliseconds): boolean {
    return !this.#record.leaving && this.#record.expiresAtMs > nowMs;
  }

  /** Whether new work may go here now. */
  isUsable(nowMs: Milliseconds): boolean {
    return this.#suspendedUntilMs <= nowMs && this.isLive(nowMs);
  }

  /** Whether it serves a version of the model that is at least the lowest allowed. */
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

  /** Work that this entry may have outstanding here for a class; less for classes below the first. */
  limitFor(isFirstClass: boolean): number {
    if (isFirstClass) return this.share;
    const capacity = this.#record.capacity * this.#settings.lowerClassFraction;
    const allowed = Math.round(this.share * capacity / this.#limit.value);
    return Math.min(this.share, Math.max(1, allowed));
  }

  /** Notes that a call began. */
  recordStart(): void {
    this.#running += 1;
  }

  /** Notes that a call ended. */
  recordEnd(): void {
    this.#running = Math.max(0, this.#running - 1);
  }

  /** Notes that a call worked. */
  recordSuccess(): void {
    this.#failures = 0;
  }

  /** Pauses it for longer with each failure after a pause; failures during a pause count as one. */
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
