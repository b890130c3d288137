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
import { DEMAND_TTL_MS, type DemandNotice } from "./demand_shares.ts";

/** Shortest time from one notice to the next. */
export const DEMAND_PERIOD_MS: Milliseconds = 200;
/** For each further so many entries the time grows by the shortest. */
const ENTRIES_PER_PERIOD = 4;
const NO_DEMAND: DemandNotice = { demand: {} };

/** What is decided from. */
export interface TellingOptions {
  readonly notice: DemandNotice;
  /** Other entries of the zone. */
  readonly peers: number;
  readonly nowMs: Milliseconds;
}

/** Remembers what was told and when. */
export class DemandTelling {
  #told = NO_DEMAND;
  #toldAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Whether to tell now; the notice then counts as told. */
  isDue(options: TellingOptions): boolean {
    const { notice, nowMs } = options;
    if (!this.#mustTell(options)) return false;
    this.#told = notice;
    this.#toldAtMs = nowMs;
    return true;
  }

  #mustTell(options: TellingOptions): boolean {
    const { notice, peers, nowMs } = options;
    const wasIdle = isIdle(this.#told);
    if (wasIdle) return !isIdle(notice);
    const sinceMs = nowMs - this.#toldAtMs;
    const periods = Math.max(1, Math.ceil(peers / ENTRIES_PER_PERIOD));
    if (sinceMs < periods * DEMAND_PERIOD_MS) return false;
    if (!isDeepStrictEqual(notice, this.#told)) return true;
    return sinceMs >= DEMAND_TTL_MS / 2;
  }
}

function isIdle(notice: DemandNotice): boolean {
  return Object.keys(notice.demand).length === 0;
}
