/**
 * How the entry VMs of a zone divide each upstream's bound among themselves by demand, so that the parts
 * add up to the bound without asking each other per request.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** How long another entry's demand counts after it was heard. */
export const DEMAND_TTL_MS: Milliseconds = 4_000;

/** Demand of another entry: work queued and running, by target. */
export interface DemandReport {
  readonly demand: Readonly<Record<string, number>>;
}

interface PeerDemand {
  readonly demand: ReadonlyMap<string, number>;
  readonly receivedAtMs: Milliseconds;
}

/** What a part is worked out from. */
export interface ShareOptions {
  readonly target: string;
  /** Bound of the upstream. */
  readonly limit: number;
  /** Sum of the bounds of the target's upstreams. */
  readonly totalLimit: number;
  /** 0 to 1, the same on every entry for the same upstream; spreads the rounding. */
  readonly roundingOffset: number;
  readonly ownDemand: number;
  readonly nowMs: Milliseconds;
}

/** Demand of the entries of the zone. */
export class DemandShares {
  readonly #self: string;
  readonly #peers = new Map<string, PeerDemand>();

  constructor(self: string) {
    this.#self = self;
  }

  /** Notes the demand of another entry of the zone. */
  recordReport(from: string, notice: DemandReport, nowMs: Milliseconds): void {
    if (from === this.#self) return;
    const demand = new Map(Object.entries(notice.demand));
    this.#peers.set(from, { demand, receivedAtMs: nowMs });
  }

  /** Drops entries that have not been heard for `DEMAND_TTL_MS`. */
  expire(nowMs: Milliseconds): void {
    for (const [name, heard] of this.#peers) {
      if (nowMs - heard.receivedAtMs > DEMAND_TTL_MS) this.#peers.delete(name);
    }
  }

  /** This entry's part of one upstream's bound; the parts of all entries add up to the bound. */
  shareOf(options: ShareOptions): number {
    const demands = this.#demands(options);
    if (demands.length === 1) return options.limit;
    let total = 0;
    for (const each of demands) total += each.demand;
    const idle = Math.max(0, options.totalLimit - total) / demands.length;
    const weightTotal = total + idle * demands.length;
    if (weightTotal <= 0) return options.limit;
    let before = 0;
    for (const each of demands) {
      const after = before + (each.demand + idle) / weightTotal;
      if (each.name === this.#self) {
        return slotsBetween({ before, after }, options);
      }
      before = after;
    }
    return 0;
  }

  #demands(
    options: ShareOptions,
  ): readonly { readonly name: string; readonly demand: number }[] {
    const demands = [{ name: this.#self, demand: options.ownDemand }];
    for (const [name, heard] of this.#peers) {
      if (options.nowMs - heard.receivedAtMs > DEMAND_TTL_MS) continue;
      demands.push({ name, demand: heard.demand.get(options.target) ?? 0 });
    }
    return demands.sort((a, b) => (a.name < b.name ? -1 : 1));
  }
}

/** Whole slots between two points of the line from 0 to the bound, shifted by the offset. */
function slotsBetween(
  range: { readonly before: number; readonly after: number },
  options: ShareOptions,
): number {
  const slotAt = (point: number): number =>
    Math.floor(point * options.limit + options.roundingOffset + 1e-9);
  return slotAt(range.after) - slotAt(range.before);
}
