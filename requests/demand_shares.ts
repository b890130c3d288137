/**
 * Divides each upstream's limit among the entry VMs of a zone by demand, so that the shares add up to the
 * limit without coordination per request.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** How long the demand of another entry is used after its report was received. */
export const DEMAND_TTL_MS: Milliseconds = 4_000;

/** The demand of an entry: number of items queued and running, by target key. */
export interface DemandReport {
  readonly demand: Readonly<Record<string, number>>;
}

interface PeerDemand {
  readonly demand: ReadonlyMap<string, number>;
  readonly receivedAtMs: Milliseconds;
}

/** What a share is computed from. */
export interface ShareOptions {
  readonly target: string;
  /** Limit of the upstream. */
  readonly limit: number;
  /** Sum of the limits of the target's upstreams in the zone. */
  readonly totalLimit: number;
  /** 0 to 1, the same on every entry for the same upstream; distributes rounding differences over entries. */
  readonly roundingOffset: number;
  readonly ownDemand: number;
  readonly nowMs: Milliseconds;
}

/** Tracks the demand of the entries of the zone. */
export class DemandShares {
  readonly #self: string;
  readonly #peers = new Map<string, PeerDemand>();

  constructor(self: string) {
    this.#self = self;
  }

  /** Records the demand report of another entry of the zone. */
  recordReport(from: string, report: DemandReport, nowMs: Milliseconds): void {
    if (from === this.#self) return;
    const demand = new Map(Object.entries(report.demand));
    this.#peers.set(from, { demand, receivedAtMs: nowMs });
  }

  /** Removes entries from which no report was received for `DEMAND_TTL_MS`. */
  expire(nowMs: Milliseconds): void {
    for (const [name, peer] of this.#peers) {
      if (nowMs - peer.receivedAtMs > DEMAND_TTL_MS) this.#peers.delete(name);
    }
  }

  /** Returns this entry's share of one upstream's limit; the shares of all entries add up to the limit. */
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
    for (const [name, peer] of this.#peers) {
      if (options.nowMs - peer.receivedAtMs > DEMAND_TTL_MS) continue;
      demands.push({ name, demand: peer.demand.get(options.target) ?? 0 });
    }
    return demands.sort((a, b) => (a.name < b.name ? -1 : 1));
  }
}

/** Returns the number of whole slots between two fractions of the limit, shifted by the rounding offset. */
function slotsBetween(
  range: { readonly before: number; readonly after: number },
  options: ShareOptions,
): number {
  const slotAt = (point: number): number =>
    Math.floor(point * options.limit + options.roundingOffset + 1e-9);
  return slotAt(range.after) - slotAt(range.before);
}
