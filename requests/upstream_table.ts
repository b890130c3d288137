/**
 * All upstreams of the blackboard, grouped by target. Renewed announcements update records in place; pools
 * and hash rings are rebuilt only when an upstream joins, leaves or changes what it serves.
 *
 * @module
 */
import type { LoadReport, Milliseconds, UpstreamRecord } from "#core";
import type { DemandShares } from "./demand_shares.ts";
import type { PolicySettings } from "./policy_settings.ts";
import { UpstreamPool } from "./upstream_pool.ts";
import { UpstreamState } from "./upstream_state.ts";
import { type Target, targetKey } from "./work_item.ts";

/** Options of `UpstreamTable`. */
export interface UpstreamTableOptions {
  /** Zone of this entry. */
  readonly zone: string;
  readonly settings: PolicySettings;
}

/** Indexes upstreams by identifier and by target. */
export class UpstreamTable {
  readonly #zone: string;
  readonly #settings: PolicySettings;
  readonly #states = new Map<string, UpstreamState>();
  #pools = new Map<string, UpstreamPool>();
  #records: ReadonlyMap<string, UpstreamRecord> = new Map();
  #loads: ReadonlyMap<string, LoadReport> = new Map();

  constructor(options: UpstreamTableOptions) {
    this.#zone = options.zone;
    this.#settings = options.settings;
  }

  /** Returns the state of an upstream, also after it left while it still runs work of this entry. */
  state(id: string): UpstreamState | undefined {
    return this.#states.get(id);
  }

  /** Returns the pool of a target, or undefined if no upstream serves it. */
  pool(target: Target): UpstreamPool | undefined {
    return this.#pools.get(targetKey(target));
  }

  /** Returns all pools. */
  pools(): Iterable<UpstreamPool> {
    return this.#pools.values();
  }

  /** Applies the upstream records of the blackboard. */
  setRecords(records: ReadonlyMap<string, UpstreamRecord>): void {
    if (records === this.#records) return;
    let regroup = records.size !== this.#records.size;
    for (const record of records.values()) {
      const existing = this.#states.get(record.id);
      const before = this.#records.get(record.id);
      if (before === record && existing !== undefined) continue;
      if (before === undefined || !sameTargets(before, record)) regroup = true;
      if (existing === undefined) {
        this.#states.set(record.id, new UpstreamState(record, this.#settings));
      } else existing.update(record);
    }
    for (const [id, state] of this.#states) {
      if (records.has(id)) continue;
      regroup = true;
      if (state.running === 0) this.#states.delete(id);
    }
    this.#records = records;
    if (regroup) this.#regroup();
  }

  /** Applies the load reports of the blackboard. */
  setLoads(loads: ReadonlyMap<string, LoadReport>): void {
    if (loads === this.#loads) return;
    for (const load of loads.values()) {
      if (this.#loads.get(load.id) === load) continue;
      this.#states.get(load.id)?.recordLoad(load);
    }
    this.#loads = loads;
  }

  /** Computes this entry's share of each upstream's limit. */
  updateShares(
    shares: DemandShares,
    options: {
      readonly nowMs: Milliseconds;
      readonly demandOf: (target: string) => number;
    },
  ): void {
    const { nowMs } = options;
    for (const [key, pool] of this.#pools) {
      let totalLimit = 0;
      for (const state of pool.near) totalLimit += state.limit.value;
      const ownDemand = options.demandOf(key);
      for (const state of pool.near) {
        const { roundingOffset: offset, limit: { value: limit } } = state;
        state.share = shares.shareOf({
          target: key,
          limit,
          totalLimit,
          roundingOffset: offset,
          ownDemand,
          nowMs,
        });
      }
      for (const state of pool.far) {
        state.share = overflowShare(
          state,
          nowMs,
          this.#settings.overflowFraction,
        );
      }
    }
  }

  #regroup(): void {
    const members = new Map<
      string,
      { target: Target; near: UpstreamState[]; far: UpstreamState[] }
    >();
    for (const record of this.#records.values()) {
      const state = this.#states.get(record.id);
      if (state === undefined) continue;
      for (const target of targetsOf(record)) {
        const key = targetKey(target);
        const group = members.get(key) ?? { target, near: [], far: [] };
        members.set(key, group);
        if (record.zone === this.#zone) group.near.push(state);
        else group.far.push(state);
      }
    }
    this.#pools = new Map();
    for (const [key, group] of members) {
      this.#pools.set(
        key,
        new UpstreamPool(group.target, {
          ...group,
          settings: this.#settings,
        }),
      );
    }
  }
}

/**
 * Returns this entry's share of a far upstream: a fraction of its unused capacity by its load report, and at
 * least one slot.
 */
function overflowShare(
  state: UpstreamState,
  nowMs: Milliseconds,
  fraction: number,
): number {
  const limit = state.limit.value;
  const spare = limit - state.loadAt(nowMs) + state.running;
  const maximum = Math.floor(limit * fraction);
  return Math.max(1, Math.min(maximum, Math.floor(spare * fraction)));
}

function targetsOf(record: UpstreamRecord): readonly Target[] {
  if (record.role === "engine") {
    return record.serves.map((served) => ({
      kind: "model",
      name: served.model,
    }));
  }
  if (record.role !== "service") return [];
  return record.services.map((name) => ({ kind: "service", name }));
}

function sameTargets(a: UpstreamRecord, b: UpstreamRecord): boolean {
  if (a.zone !== b.zone || a.role !== b.role) return false;
  const namesOf = (record: UpstreamRecord): string =>
    targetsOf(record).map(targetKey).join("\n");
  return namesOf(a) === namesOf(b);
}
