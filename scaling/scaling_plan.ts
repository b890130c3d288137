/**
 * Decides which upstreams of a service to order. Performs no I/O; the time is contained in what it receives.
 *
 * It is conservative: an upstream costs little and a late step much, so it first of all keeps the number of upstreams at
 * the target, which at the start is the number that exists. The target rises when work would be late, and falls only
 * after a long time of low load.
 *
 * @module
 */
import type { ScalingRule } from "#core";
import type { UpstreamOrder } from "#duties";
import { totalCount } from "./scaling_machine.ts";

/** Part of the present upstreams that one change of the target adds at most, so that a wrong estimate costs little. */
const MAXIMUM_GROWTH_RATIO = 0.5;
/** Multiple of the observed peak that must remain: estimates of the length of texts are often half of it. */
const LOAD_SAFETY_FACTOR = 2;
/** Engines for each model, so that the loss of one leaves another. */
const COPIES_PER_MODEL = 2;

/** The upstreams of one kind of a service in a zone. */
export interface SubjectSnapshot {
  readonly zone: string;
  readonly spot: boolean;
  /** Number that exists or is on order. */
  readonly count: number;
  /** The same without losses. */
  readonly home: number;
  /** Count of an order without a known outcome, or null. */
  readonly pending: number | null;
  /** Number of upstreams that have been missing for a short time and may come back. */
  readonly missing: number;
  /** Number of upstreams that are lost for good. */
  readonly lost: number;
  /** Number of upstreams beyond `count` that have been seen for a while. */
  readonly surplus: number;
  /** Whether another order is not to be sent now: one was refused just now, or a late copy of one may be executed. */
  readonly isBlocked: boolean;
}

/** The load of a service in upstreams; null values are not known. */
export interface LoadSnapshot {
  /** Number with which no work is late; null unless some would be late for a while. */
  readonly wanted: number | null;
  /** Most upstreams that were needed in the last minutes, and in a long time. */
  readonly shortPeak: number | null;
  readonly longPeak: number | null;
}

/** What the plan knows about one service. */
export interface ScalingSnapshot {
  readonly service: string;
  readonly rule: ScalingRule;
  /** Number that existed at the start. */
  readonly baseline: number;
  /** Number that the service is to have. */
  readonly target: number;
  /** Both kinds in all zones. */
  readonly subjects: readonly SubjectSnapshot[];
  /** Zones from which something was received lately. Others may be partitioned. */
  readonly reachableZones: ReadonlySet<string>;
  readonly load: LoadSnapshot;
  /** Number of models of which each needs engines. */
  readonly models: number;
  /** Whether the last change of the target is so long ago that its effect shows in the load. */
  readonly mayGrow: boolean;
  /** Whether the last removal is long ago. */
  readonly mayShrink: boolean;
}

/** A changed number of upstreams of a subject, which no order caused. */
export interface CountChange {
  readonly zone: string;
  readonly spot: boolean;
  readonly from: number;
  readonly count: number;
}

/** A decision: losses and a changed target are stored first, and orders follow from what is stored. */
export type ScalingDecision =
  | { readonly kind: "counts"; readonly changes: readonly CountChange[] }
  | { readonly kind: "target"; readonly from: number; readonly target: number }
  | {
    readonly kind: "orders";
    readonly orders: readonly UpstreamOrder[];
    /** Number of upstreams that are missing and can't be ordered anywhere now. */
    readonly unplaced: number;
  };

/**
 * Decides about one service.
 *
 * @example
 * ```ts
 * const decision = new ScalingPlan(snapshot).decide();
 * if (decision.kind === "orders") decision.orders; // [{ service: "s", zone: "a", spot: false, count: 6 }]
 * ```
 */
export class ScalingPlan {
  readonly #input: ScalingSnapshot;
  /** Upstreams that this decision adds, by subject. */
  readonly #added = new Map<SubjectSnapshot, number>();

  constructor(input: ScalingSnapshot) {
    this.#input = input;
  }

  /** Returns what to store or order now. */
  decide(): ScalingDecision {
    const changes = this.#countChanges();
    if (changes.length > 0) return { kind: "counts", changes };
    const { target: from } = this.#input;
    const target = this.#nextTarget();
    if (target !== from) return { kind: "target", from, target };
    const unplaced = this.#addMissing();
    const orders = [...this.#repeated(), ...this.#additions()];
    if (orders.length > 0 || unplaced > 0) {
      return { kind: "orders", orders, unplaced };
    }
    const removal = this.#removal();
    return {
      kind: "orders",
      orders: removal === undefined ? [] : [removal],
      unplaced,
    };
  }

  #countChanges(): readonly CountChange[] {
    const changes: CountChange[] = [];
    for (const each of this.#input.subjects) {
      const { zone, spot, count: from, lost, surplus, pending } = each;
      if (pending !== null || lost + surplus === 0) continue;
      changes.push({ zone, spot, from, count: from - lost + surplus });
    }
    return changes;
  }

  #nextTarget(): number {
    const { target, load: { wanted }, mayGrow, mayShrink } = this.#input;
    const total = totalCount(this.#input.subjects);
    const lacking = wanted === null ? 0 : wanted - this.#reachableCount();
    if (lacking > 0) {
      if (!mayGrow) return target;
      const growth = Math.ceil(total * MAXIMUM_GROWTH_RATIO);
      const raised = total + Math.min(lacking, Math.max(1, growth));
      return Math.max(target, Math.min(raised, this.#mostUpstreams()));
    }
    return mayShrink && wanted === null && this.#mayLower()
      ? target - 1
      : target;
  }

  /** Whether one upstream less suffices. What existed at the start is removed only after a long time of low load. */
  #mayLower(): boolean {
    const { target, baseline, load } = this.#input;
    const peak = target > baseline ? load.shortPeak : load.longPeak;
    return peak !== null && target - 1 >= this.#leastUpstreams(peak);
  }

  /** Returns how many upstreams there have to be at least for a peak of the load. */
  #leastUpstreams(peak: number): number {
    const { rule, models } = this.#input;
    const zones = new Set(
      this.#input.subjects.filter(({ home }) => home > 0)
        .map(({ zone }) => zone),
    );
    return Math.max(
      Math.ceil(peak * LOAD_SAFETY_FACTOR),
      models * COPIES_PER_MODEL,
      zones.size * rule.minimum,
      1,
    );
  }

  #mostUpstreams(): number {
    const { subjects, rule } = this.#input;
    const zones = new Set(subjects.map(({ zone }) => zone));
    return zones.size * rule.maximum;
  }

  /** Number of upstreams in zones that are not partitioned; those that are silent for a short time count. */
  #reachableCount(): number {
    const { subjects, reachableZones } = this.#input;
    return totalCount(subjects.filter(({ zone }) => reachableZones.has(zone)));
  }

  /** Plans the upstreams that zones lack to their minimum, then those that the service lacks to its target. */
  #addMissing(): number {
    const { subjects, rule, target, reachableZones } = this.#input;
    for (const zone of reachableZones) {
      if (!subjects.some((each) => each.zone === zone)) continue;
      while (this.#zoneTotal(zone) < rule.minimum) {
        const chosen = this.#choose(zone);
        if (chosen === undefined) break;
        this.#add(chosen);
      }
    }
    let lacking = target - this.#total();
    for (; lacking > 0; lacking -= 1) {
      const chosen = this.#choose();
      if (chosen === undefined) return lacking;
      this.#add(chosen);
    }
    return 0;
  }

  #add(subject: SubjectSnapshot): void {
    this.#added.set(subject, (this.#added.get(subject) ?? 0) + 1);
  }

  /** Returns where to order one more upstream, in a zone or anywhere. */
  #choose(zone?: string): SubjectSnapshot | undefined {
    let best: SubjectSnapshot | undefined;
    let bestRank: readonly number[] = [];
    for (const subject of this.#input.subjects) {
      if (zone !== undefined && subject.zone !== zone) continue;
      if (!this.#hasRoom(subject)) continue;
      const rank = this.#rank(subject);
      if (best !== undefined && !isLess(rank, bestRank)) continue;
      best = subject;
      bestRank = rank;
    }
    return best;
  }

  #hasRoom(subject: SubjectSnapshot): boolean {
    const { rule, reachableZones } = this.#input;
    const { zone, spot, pending, isBlocked } = subject;
    if (spot && rule.spotPriceRatio === null) return false;
    if (isBlocked || pending !== null || !reachableZones.has(zone)) {
      return false;
    }
    return this.#zoneTotal(zone) < rule.maximum;
  }

  /**
   * Ranks a subject, lower is better. A spot upstream whose reclaim would leave too few comes last; then the zone that
   * lost some, then the zone with the fewest, so that the loss of a zone takes little, then the price.
   */
  #rank(subject: SubjectSnapshot): readonly number[] {
    const { rule } = this.#input;
    const { zone, spot } = subject;
    let home = 0;
    for (const each of this.#input.subjects) {
      if (each.zone === zone) home += each.home;
    }
    const zoneTotal = this.#zoneTotal(zone);
    const price = rule.zonePrices[zone] ?? 1;
    return [
      spot && !this.#survivesReclaim(subject) ? 1 : 0,
      home > zoneTotal ? 0 : 1,
      zoneTotal,
      price * (spot ? rule.spotPriceRatio ?? 1 : 1),
    ];
  }

  /** Whether enough upstreams remain if all spot upstreams of the zone, one more included, are reclaimed at once. */
  #survivesReclaim(subject: SubjectSnapshot): boolean {
    const { target, load: { longPeak } } = this.#input;
    const enough = longPeak === null ? target : this.#leastUpstreams(longPeak);
    return this.#total() - this.#countOf(subject) >= enough;
  }

  /** Returns orders again that may have been sent, with the same content. */
  #repeated(): readonly UpstreamOrder[] {
    const orders: UpstreamOrder[] = [];
    for (const { zone, spot, pending } of this.#input.subjects) {
      if (pending === null) continue;
      orders.push({ service: this.#input.service, zone, spot, count: pending });
    }
    return orders;
  }

  #additions(): readonly UpstreamOrder[] {
    const orders: UpstreamOrder[] = [];
    for (const subject of this.#added.keys()) {
      const { zone, spot } = subject;
      const count = this.#countOf(subject);
      orders.push({ service: this.#input.service, zone, spot, count });
    }
    return orders;
  }

  /** Returns an order for one upstream less: the most expensive one, and only while nothing else is under way. */
  #removal(): UpstreamOrder | undefined {
    const { subjects, rule, load, target, mayShrink } = this.#input;
    const { shortPeak, wanted } = load;
    if (!mayShrink || shortPeak === null || wanted !== null) return undefined;
    const least = this.#leastUpstreams(shortPeak);
    if (this.#total() <= Math.max(target, least)) return undefined;
    if (subjects.some(({ missing, lost }) => missing + lost > 0)) {
      return undefined;
    }
    const spots = subjects.filter(({ spot }) => spot);
    const mostSpots = Math.max(0, ...spots.map(({ count }) => count));
    const survivesReclaim = this.#total() - 1 - mostSpots >= least;
    const removable = subjects.filter((each) =>
      each.count > 0 && !each.isBlocked && each.pending === null &&
      (each.spot || survivesReclaim) &&
      this.#input.reachableZones.has(each.zone) &&
      this.#zoneTotal(each.zone) > rule.minimum
    );
    const [chosen] = removable.sort((a, b) =>
      this.#priceOf(b) - this.#priceOf(a) ||
      this.#zoneTotal(b.zone) - this.#zoneTotal(a.zone)
    );
    if (chosen === undefined) return undefined;
    const { zone, spot, count } = chosen;
    return { service: this.#input.service, zone, spot, count: count - 1 };
  }

  #priceOf({ zone, spot }: SubjectSnapshot): number {
    const { zonePrices, spotPriceRatio } = this.#input.rule;
    return (zonePrices[zone] ?? 1) * (spot ? spotPriceRatio ?? 1 : 1);
  }

  #countOf(subject: SubjectSnapshot): number {
    const { pending, count } = subject;
    return (pending ?? count) + (this.#added.get(subject) ?? 0);
  }

  #zoneTotal(zone: string): number {
    let total = 0;
    for (const each of this.#input.subjects) {
      if (each.zone === zone) total += this.#countOf(each);
    }
    return total;
  }

  #total(): number {
    let total = 0;
    for (const each of this.#input.subjects) total += this.#countOf(each);
    return total;
  }
}

function isLess(a: readonly number[], b: readonly number[]): boolean {
  for (const [at, value] of a.entries()) {
    const other = b[at] ?? 0;
    if (value !== other) return value < other;
  }
  return false;
}
