/**
 * When an entry VM tells its demand to the other entries of its zone. Pure.
 *
 * The messages a second stay bounded however many entries a zone has, and an entry without work says
 * nothing: the others then divide the bounds among those that have some.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import type { Milliseconds } from "#core";
import { DEMAND_TTL_MS, type DemandReport } from "./demand_shares.ts";

/** Shortest time from one notice to the next. */
export const DEMAND_REPORT_INTERVAL_MS: Milliseconds = 200;
/** For each further so many entries the time grows by the shortest. */
const PEERS_PER_INTERVAL = 4;
const NO_DEMAND: DemandReport = { demand: {} };

/** What is decided from. */
export interface DemandReportOptions {
  readonly report: DemandReport;
  /** Other entries of the zone. */
  readonly peers: number;
  readonly nowMs: Milliseconds;
}

/** Remembers what was told and when. */
export class DemandReporter {
  #lastReport = NO_DEMAND;
  #lastReportAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Whether to tell now; the notice then counts as told. */
  isDue(options: DemandReportOptions): boolean {
    const { report: notice, nowMs } = options;
    if (!this.#mustReport(options)) return false;
    this.#lastReport = notice;
    this.#lastReportAtMs = nowMs;
    return true;
  }

  #mustReport(options: DemandReportOptions): boolean {
    const { report: notice, peers, nowMs } = options;
    const wasIdle = isIdle(this.#lastReport);
    if (wasIdle) return !isIdle(notice);
    const sinceMs = nowMs - this.#lastReportAtMs;
    const periods = Math.max(1, Math.ceil(peers / PEERS_PER_INTERVAL));
    if (sinceMs < periods * DEMAND_REPORT_INTERVAL_MS) return false;
    if (!isDeepStrictEqual(notice, this.#lastReport)) return true;
    return sinceMs >= DEMAND_TTL_MS / 2;
  }
}

function isIdle(notice: DemandReport): boolean {
  return Object.keys(notice.demand).length === 0;
}
