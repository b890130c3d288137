/**
 * The upstreams of one target and the selection among them: own zone first, prefix affinity with bounded
 * load, then the less loaded of two random upstreams.
 *
 * @module
 */
import type { Milliseconds, RandomSource } from "#core";
import { AffinityRing, hash32 } from "./affinity_ring.ts";
import type { PolicySettings } from "./policy_settings.ts";
import type { UpstreamState } from "./upstream_state.ts";
import type { Target, WorkItem } from "./work_item.ts";

const MAXIMUM_RANDOM_DRAWS = 4;

/** Why an upstream was selected. */
export type SelectionReason = "affinity" | "lesser_loaded" | "only_one_left";

/** A selected upstream. */
export interface Selection {
  readonly upstream: UpstreamState;
  readonly reason: SelectionReason;
  readonly ownZone: boolean;
}

/** What the selection depends on besides the item. */
export interface SelectionContext {
  readonly nowMs: Milliseconds;
  readonly random: RandomSource;
  /** Whether the item's class has the highest priority. */
  readonly isFirstClass: boolean;
}

/** The upstreams of one target. */
export class UpstreamPool {
  readonly target: Target;
  #near: ZoneGroup;
  #far: ZoneGroup;

  constructor(
    target: Target,
    members: {
      readonly near: readonly UpstreamState[];
      readonly far: readonly UpstreamState[];
      readonly settings: PolicySettings;
    },
  ) {
    this.target = target;
    this.#near = new ZoneGroup(members.near, members.settings);
    this.#far = new ZoneGroup(members.far, members.settings);
  }

  /** Upstreams of this entry's zone. */
  get near(): readonly UpstreamState[] {
    return this.#near.members;
  }

  /** Upstreams of other zones. */
  get far(): readonly UpstreamState[] {
    return this.#far.members;
  }

  /** Selects an eligible upstream with a free slot; undefined if there is none. */
  select(item: WorkItem, context: SelectionContext): Selection | undefined {
    return this.#selectIn(this.#near, { item, context, ownZone: true }) ??
      this.#selectIn(this.#far, { item, context, ownZone: false });
  }

  /** Whether any upstream has a free slot for the class now. */
  hasFreeSlot(nowMs: Milliseconds, isFirstClass: boolean): boolean {
    return this.#near.hasFreeSlot(nowMs, isFirstClass) ||
      this.#far.hasFreeSlot(nowMs, isFirstClass);
  }

  /**
   * Whether any upstream could serve the item if it had a free slot; for items admitted before, suspended
   * upstreams count too.
   */
  canServe(item: WorkItem, nowMs: Milliseconds): boolean {
    for (const group of [this.near, this.far]) {
      for (const upstream of group) {
        const isCandidate = item.admitted
          ? upstream.isLive(nowMs)
          : upstream.isUsable(nowMs);
        if (isCandidate && this.#isEligible(upstream, item)) return true;
      }
    }
    return false;
  }

  /** Returns the number of items that this entry may have outstanding at usable upstreams. */
  slots(nowMs: Milliseconds, isFirstClass: boolean): number {
    let slots = 0;
    for (const group of [this.near, this.far]) {
      for (const upstream of group) {
        if (upstream.isUsable(nowMs)) slots += upstream.limitFor(isFirstClass);
      }
    }
    return slots;
  }

  #selectIn(
    group: ZoneGroup,
    options: {
      readonly item: WorkItem;
      readonly context: SelectionContext;
      readonly ownZone: boolean;
    },
  ): Selection | undefined {
    const { item, context, ownZone } = options;
    const fits = (upstream: UpstreamState): boolean =>
      upstream.running < upstream.limitFor(context.isFirstClass) &&
      upstream.isUsable(context.nowMs) &&
      this.#isEligible(upstream, item);
    const byPrefix = group.findByAffinity(item.prefixKey, fits);
    if (byPrefix !== undefined) {
      return { upstream: byPrefix, reason: "affinity", ownZone };
    }
    const lessLoaded = group.findLessLoaded(fits, context);
    if (lessLoaded !== undefined) {
      return { upstream: lessLoaded, reason: "lesser_loaded", ownZone };
    }
    const remaining = group.findFromRandomStart(fits, context.random);
    if (remaining === undefined) return undefined;
    return { upstream: remaining, reason: "only_one_left", ownZone };
  }

  #isEligible(upstream: UpstreamState, item: WorkItem): boolean {
    return !item.avoid.includes(upstream.id) &&
      upstream.serves(this.target, item.minimumVersion);
  }
}

/** The upstreams of this entry's zone, or those of all other zones. */
class ZoneGroup {
  readonly members: readonly UpstreamState[];
  readonly #ring: AffinityRing;
  readonly #settings: PolicySettings;

  constructor(members: readonly UpstreamState[], settings: PolicySettings) {
    this.members = members;
    this.#settings = settings;
    this.#ring = new AffinityRing(members.map((member) => member.id));
  }

  hasFreeSlot(nowMs: Milliseconds, isFirstClass: boolean): boolean {
    for (const member of this.members) {
      const limit = member.limitFor(isFirstClass);
      if (member.running < limit && member.isUsable(nowMs)) return true;
    }
    return false;
  }

  findByAffinity(
    prefixKey: string,
    fits: (upstream: UpstreamState) => boolean,
  ): UpstreamState | undefined {
    if (prefixKey === "" || this.members.length === 0) return undefined;
    const most = this.#affinityLimit();
    for (
      const index of this.#ring.walk(
        hash32(prefixKey),
        this.#settings.affinityCandidates,
      )
    ) {
      const member = this.members[index];
      if (member === undefined) continue;
      const free = member.share * this.#settings.affinityFreeFraction;
      if (member.running >= Math.max(most, free)) continue;
      if (fits(member)) return member;
    }
    return undefined;
  }

  findLessLoaded(
    fits: (upstream: UpstreamState) => boolean,
    context: SelectionContext,
  ): UpstreamState | undefined {
    if (this.members.length === 0) return undefined;
    let best: UpstreamState | undefined;
    let found = 0;
    for (let trial = 0; trial < MAXIMUM_RANDOM_DRAWS; trial += 1) {
      const index = context.random.below(this.members.length);
      const member = this.members[index];
      if (member === undefined || !fits(member)) continue;
      found += 1;
      if (best === undefined || isLessLoaded(member, best, context.nowMs)) {
        best = member;
      }
      if (found === 2) break;
    }
    return best;
  }

  /** Searches all upstreams from a random start, if random draws found none. */
  findFromRandomStart(
    fits: (upstream: UpstreamState) => boolean,
    random: RandomSource,
  ): UpstreamState | undefined {
    const start = random.below(Math.max(1, this.members.length));
    for (let step = 0; step < this.members.length; step += 1) {
      const member = this.members[(start + step) % this.members.length];
      if (member !== undefined && fits(member)) return member;
    }
    return undefined;
  }

  #affinityLimit(): number {
    let running = 0;
    for (const member of this.members) running += member.running;
    const mean = (running + 1) / this.members.length;
    return Math.ceil(mean * this.#settings.affinityLoadFactor);
  }
}

function isLessLoaded(
  a: UpstreamState,
  b: UpstreamState,
  nowMs: Milliseconds,
): boolean {
  const loadOf = (upstream: UpstreamState): number =>
    (upstream.loadAt(nowMs) + 1) / Math.max(1, upstream.limit.value);
  return loadOf(a) < loadOf(b);
}
