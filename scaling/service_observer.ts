/**
 * What a leading control VM has observed of one service since it leads: which upstreams are missing and for how long,
 * what the load was, and which orders were refused. Performs no I/O.
 *
 * @module
 */
import {
  type FleetUpstream,
  incarnationOf,
  type Milliseconds,
  MINUTE_MS,
  type ScalingRule,
  SECOND_MS,
  type ServiceLoad,
  type ServiceRule,
} from "#core";
import type { UpstreamOrder } from "#duties";
import { LoadHistory } from "./load_history.ts";
import { MissingUpstreams } from "./missing_upstreams.ts";
import {
  type ServiceCounts,
  type SubjectCount,
  subjectOf,
  totalCount,
} from "./scaling_machine.ts";
import type {
  LoadSnapshot,
  ScalingSnapshot,
  SubjectSnapshot,
} from "./scaling_plan.ts";
import {
  type ScalingSubject,
  subjectKey,
  type UpstreamOrderOutcome,
} from "./upstream_order_port.ts";

/** Time beside that of the boot: a heartbeat interval, and the loading of weights while many engines load. */
const START_MARGIN_MS: Milliseconds = 4 * SECOND_MS;
/** The notice of a reclaim lasts 2.5 s; a few more may follow at once and are then ordered together. */
const RECLAIM_WAIT_MS: Milliseconds = SECOND_MS;
/** Time for which the upstreams of a service are counted before their number is stored as the baseline. */
const BASELINE_MS: Milliseconds = 10 * SECOND_MS;
/** The same for a service of which none has been seen; some may be about to start. */
const EMPTY_BASELINE_MS: Milliseconds = MINUTE_MS;
/** Time after a refusal in which other zones are tried instead. */
const REFUSAL_MS: Milliseconds = 20 * SECOND_MS;
/** Time in which a copy of an order without a response may be executed, so that no other order may follow it. */
const LATE_COPY_MS: Milliseconds = 15 * SECOND_MS;
/** Time after an accepted order in which a loss means that the platform did not carry it out. */
const DELIVERY_CHECK_MS: Milliseconds = MINUTE_MS;
const SHORT_PEAK_MS: Milliseconds = 3 * MINUTE_MS;
const LONG_PEAK_MS: Milliseconds = 15 * MINUTE_MS;
/** Time between two removals, so that the effect of each shows. */
const REMOVAL_INTERVAL_MS: Milliseconds = MINUTE_MS;

/** What is known of the whole fleet at a time. */
export interface FleetObservation {
  /** Upstreams by service. */
  readonly upstreams: ReadonlyMap<string, readonly FleetUpstream[]>;
  /** Zones from which heartbeats of any upstream are received. */
  readonly reportingZones: ReadonlySet<string>;
  /** Zones whose VMs were observed recently. */
  readonly vmZones: ReadonlySet<string>;
  /** Work of batches by service; undefined if it is not known. */
  readonly load: readonly ServiceLoad[] | undefined;
  /** Services that get work of batches and nothing else, so that their load is known completely. */
  readonly batchServices: ReadonlySet<string>;
}

/** Observes one service. */
export class ServiceObserver {
  readonly #sinceMs: Milliseconds;
  #firstSeenMs: Milliseconds = Infinity;
  readonly #missing = new Map<string, MissingUpstreams>();
  readonly #reclaimed = new Set<string>();
  readonly #peaks = new Map<string, SubjectCount>();
  readonly #blockedUntilMs = new Map<string, Milliseconds>();
  readonly #acceptedMs = new Map<string, Milliseconds>();
  readonly #load = new LoadHistory();
  #changedMs: Milliseconds;
  #removedMs: Milliseconds;

  constructor(nowMs: Milliseconds) {
    this.#sinceMs = nowMs;
    this.#changedMs = nowMs;
    this.#removedMs = nowMs;
  }

  /** Records that the target has been changed or an order for fewer upstreams was accepted. */
  recordChange(kind: "target" | "removal", nowMs: Milliseconds): void {
    this.#changedMs = nowMs;
    if (kind === "removal") this.#removedMs = nowMs;
  }

  /** Records the outcome of an order, after which another one may have to wait. */
  recordOutcome(
    order: UpstreamOrder,
    outcome: UpstreamOrderOutcome,
    nowMs: Milliseconds,
  ): void {
    const waitMs = outcome === "unavailable"
      ? REFUSAL_MS
      : outcome === "unknown"
      ? LATE_COPY_MS
      : 0;
    const key = subjectKey(order);
    if (outcome === "accepted") this.#acceptedMs.set(key, nowMs);
    this.#block(key, nowMs + waitMs);
  }

  /** Returns the upstreams that exist at the start, once they have been counted for a while; else undefined. */
  baseline(
    rule: ServiceRule,
    fleet: FleetObservation,
    nowMs: Milliseconds,
  ): readonly SubjectCount[] | undefined {
    for (const each of subjectsOf(rule, undefined, fleet)) {
      const present = countOf(each, fleet, false);
      const peak = this.#peaks.get(subjectKey(each))?.count ?? 0;
      const { zone, spot } = each;
      const count = Math.max(peak, present);
      const counted = { zone, spot, count, home: count, pending: null };
      this.#peaks.set(subjectKey(each), counted);
    }
    const counts = [...this.#peaks.values()].filter(({ count }) => count > 0);
    if (counts.length > 0) {
      this.#firstSeenMs = Math.min(this.#firstSeenMs, nowMs);
    }
    const isComplete = nowMs - this.#firstSeenMs >= BASELINE_MS ||
      nowMs - this.#sinceMs >= EMPTY_BASELINE_MS;
    return isComplete ? counts : undefined;
  }

  /** Records the fleet and returns what the plan needs. */
  observe(
    known: ServiceCounts,
    seen: {
      readonly rule: ServiceRule;
      readonly scaling: ScalingRule;
      readonly fleet: FleetObservation;
    },
    nowMs: Milliseconds,
  ): ScalingSnapshot {
    const { rule, scaling, fleet } = seen;
    const { reportingZones } = fleet;
    const subjects = subjectsOf(rule, known, fleet).map((each) => {
      const isZoneReporting = reportingZones.has(each.zone);
      const context = { known, scaling, fleet, isZoneReporting };
      return this.#observeSubject(each, context, nowMs);
    });
    const settleMs = scaling.bootMs + START_MARGIN_MS;
    const reachableZones = new Set([...reportingZones, ...fleet.vmZones]);
    const total = totalCount(
      subjects.filter(({ zone }) => reachableZones.has(zone)),
    );
    return {
      service: rule.name,
      rule: scaling,
      baseline: known.baseline,
      target: known.target,
      subjects,
      reachableZones,
      load: this.#observeLoad(rule, { fleet, total }, nowMs),
      models: rule.engine?.models.length ?? 0,
      mayGrow: nowMs - this.#changedMs >= settleMs,
      mayShrink: !this.#removedLately(nowMs),
    };
  }

  /** No order other than a repetition is sent for the subject until a time. */
  #block(key: string, untilMs: Milliseconds): void {
    const knownMs = this.#blockedUntilMs.get(key) ?? 0;
    this.#blockedUntilMs.set(key, Math.max(knownMs, untilMs));
  }

  #removedLately(nowMs: Milliseconds): boolean {
    return nowMs - this.#removedMs < REMOVAL_INTERVAL_MS;
  }

  #observeSubject(
    subject: ScalingSubject,
    context: {
      readonly known: ServiceCounts;
      readonly scaling: ScalingRule;
      readonly fleet: FleetObservation;
      readonly isZoneReporting: boolean;
    },
    nowMs: Milliseconds,
  ): SubjectSnapshot {
    const { known, scaling } = context;
    const key = subjectKey(subject);
    const stored = subjectOf(known, subject);
    const isFirst = !this.#missing.has(key);
    // An earlier holder may have sent it just now.
    if (isFirst && stored.pending !== null) {
      this.#block(key, nowMs + LATE_COPY_MS);
    }
    const missing = this.#updateMissing(subject, { stored, ...context }, nowMs);
    const times = {
      silentMs: scaling.bootMs + START_MARGIN_MS,
      reclaimedMs: RECLAIM_WAIT_MS,
    };
    const lost = Math.min(stored.count, missing.lost(times, nowMs));
    const acceptedMs = this.#acceptedMs.get(key) ?? -Infinity;
    // The same order again would not be carried out either.
    if (lost > 0 && nowMs - acceptedMs < DELIVERY_CHECK_MS) {
      this.#block(key, nowMs + DELIVERY_CHECK_MS);
    }
    return {
      ...stored,
      missing: missing.count,
      lost,
      // An upstream too many serves until the platform drains it.
      surplus: this.#removedLately(nowMs) ? 0 : missing.surplus(nowMs),
      isBlocked: nowMs < (this.#blockedUntilMs.get(key) ?? 0),
    };
  }

  /** Compares the upstreams that the fleet shows with those that were ordered, and returns which are missing. */
  #updateMissing(
    subject: ScalingSubject,
    { stored, fleet, isZoneReporting }: {
      readonly stored: SubjectCount;
      readonly fleet: FleetObservation;
      readonly isZoneReporting: boolean;
    },
    nowMs: Milliseconds,
  ): MissingUpstreams {
    const key = subjectKey(subject);
    const missing = this.#missing.get(key) ?? new MissingUpstreams();
    this.#missing.set(key, missing);
    missing.update({
      expected: stored.count,
      most: Math.max(stored.count, stored.pending ?? 0),
      present: countOf(subject, fleet, !subject.spot),
      ready: countOf(subject, fleet, false),
      newlyReclaimed: this.#countReclaimed(subject, fleet),
      isZoneReporting,
    }, nowMs);
    return missing;
  }

  /** Returns how many spot upstreams have announced since the last call that they are reclaimed. */
  #countReclaimed(subject: ScalingSubject, fleet: FleetObservation): number {
    if (!subject.spot) return 0;
    let count = 0;
    for (const each of fleet.upstreams.get(subject.service) ?? []) {
      if (each.phase !== "draining" || !isOf(subject, each)) continue;
      const incarnation = incarnationOf(each);
      if (this.#reclaimed.has(incarnation)) continue;
      this.#reclaimed.add(incarnation);
      count += 1;
    }
    return count;
  }

  #observeLoad(
    rule: ServiceRule,
    context: { readonly fleet: FleetObservation; readonly total: number },
    nowMs: Milliseconds,
  ): LoadSnapshot {
    const { fleet, total } = context;
    const load = fleet.load?.find(({ service }) => service === rule.name);
    const slots = slotsOf(rule, fleet);
    if (load === undefined || slots === undefined) {
      return { wanted: null, shortPeak: null, longPeak: null };
    }
    const { neededSlots } = load;
    this.#load.record({ neededSlots, slots: total * slots }, nowMs);
    const toUpstreams = (needed: number | null): number | null =>
      needed === null ? null : Math.ceil(needed / slots);
    const wanted = toUpstreams(this.#load.wantedSlots(nowMs));
    if (!fleet.batchServices.has(rule.name)) {
      return { wanted, shortPeak: null, longPeak: null };
    }
    return {
      wanted,
      shortPeak: toUpstreams(this.#load.peakSlots(SHORT_PEAK_MS, nowMs)),
      longPeak: toUpstreams(this.#load.peakSlots(LONG_PEAK_MS, nowMs)),
    };
  }
}

/** Returns both kinds of a service in all zones where they exist or may be ordered. */
function subjectsOf(
  rule: ServiceRule,
  known: ServiceCounts | undefined,
  fleet: FleetObservation,
): readonly ScalingSubject[] {
  const zones = new Set(Object.keys(rule.scaling?.zonePrices ?? {}));
  for (const { zone } of known?.subjects ?? []) zones.add(zone);
  for (const { zone } of fleet.upstreams.get(rule.name) ?? []) zones.add(zone);
  const subjects: ScalingSubject[] = [];
  for (const zone of [...zones].sort()) {
    for (const spot of [false, true]) {
      subjects.push({ service: rule.name, zone, spot });
    }
  }
  return subjects;
}

/** Returns whether an upstream of the same service belongs to a subject. */
function isOf(subject: ScalingSubject, upstream: FleetUpstream): boolean {
  return upstream.zone === subject.zone &&
    (upstream.isSpot === true) === subject.spot;
}

/**
 * Counts the upstreams of a subject that serve, or also those that drain: one that drains for another reason than a
 * reclaim is replaced by the platform.
 */
function countOf(
  subject: ScalingSubject,
  fleet: FleetObservation,
  includesDraining: boolean,
): number {
  let count = 0;
  for (const each of fleet.upstreams.get(subject.service) ?? []) {
    if (!isOf(subject, each)) continue;
    if (each.phase === "ready") count += 1;
    if (each.phase === "draining" && includesDraining) count += 1;
  }
  return count;
}

/** Returns the slots of one upstream, by the configuration or else by the heartbeats. */
function slotsOf(
  rule: ServiceRule,
  fleet: FleetObservation,
): number | undefined {
  if (rule.engine !== null) return rule.engine.slots;
  const [found] = fleet.upstreams.get(rule.name) ?? [];
  return found === undefined ? undefined : Math.max(1, found.slots);
}
