/**
 * Decides when an entry VM reports its demand to the other entries of its zone. Pure.
 *
 * The number of messages a second is bounded however many entries a zone has. An entry without work sends no
 * reports; the others then divide the limits among the entries that have work.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import type { Milliseconds } from "#core";
import { DEMAND_TTL_MS, type DemandReport } from "./demand_shares.ts";

/** Minimum interval between two reports. */
export const DEMAND_REPORT_INTERVAL_MS: Milliseconds = 200;
/** The interval grows by `DEMAND_REPORT_INTERVAL_MS` for each further group of this many peers. */
const PEERS_PER_INTERVAL = 4;
const NO_DEMAND: DemandReport = { demand: {} };

/** What decides whether a report is due. */
export interface DemandReportOptions {
  readonly report: DemandReport;
  /** Number of other entries of the zone. */
  readonly peers: number;
  readonly nowMs: Milliseconds;
}

/** Tracks the last report and when it was sent. */
export class DemandReporter {
  #lastReport = NO_DEMAND;
  #lastReportAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Returns whether to send the report now; if so, it is recorded as sent. */
  isDue(options: DemandReportOptions): boolean {
    const { report, nowMs } = options;
    if (!this.#mustReport(options)) return false;
    this.#lastReport = report;
    this.#lastReportAtMs = nowMs;
    return true;
  }

  #mustReport(options: DemandReportOptions): boolean {
    const { report, peers, nowMs } = options;
    const wasIdle = isIdle(this.#lastReport);
    if (wasIdle) return !isIdle(report);
    const sinceMs = nowMs - this.#lastReportAtMs;
    const intervals = Math.max(1, Math.ceil(peers / PEERS_PER_INTERVAL));
    if (sinceMs < intervals * DEMAND_REPORT_INTERVAL_MS) return false;
    if (!isDeepStrictEqual(report, this.#lastReport)) return true;
    return sinceMs >= DEMAND_TTL_MS / 2;
  }
}

function isIdle(report: DemandReport): boolean {
  return Object.keys(report.demand).length === 0;
}
