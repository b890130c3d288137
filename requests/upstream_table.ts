/**
 * All upstreams of the board, grouped by target. Renewed announcements change records in place; groups
 * and rings are built anew only when an upstream comes, goes or changes what it serves.
 *
 * @module
 */
import type { LoadReport, Milliseconds, UpstreamRecord } from "#core";
import type { DemandShares } from "./demand_shares.ts";
import type { PolicySettings } from "./policy_settings.ts";
import { UpstreamPool } from "./upstream_pool.ts";
import { UpstreamState } from "./upstream_state.ts";
import { type Target, targetKey } from "./work_item.ts";

/** What a table is built from. */
export interface UpstreamTableOptions {
  /** Zone of this entry. */
  readonly zone: string;
  readonly settings: PolicySettings;
}

/** Upstreams by identifier and by target. */
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

  /** The upstream of an identifier, also when it has left but still runs own work. */
  state(id: string): UpstreamState | undefined {
    return this.#states.get(id);
  }

  /** The pool of a target, or undefined if nothing has ever served it. */
  pool(target: Target): UpstreamPool | undefined {
    return this.#pools.get(targetKey(target));
  }

  /** All pools. */
  pools(): Iterable<UpstreamPool> {
    return this.#pools.values();
  }

  /** Takes the records of the board. */
  setRecords(records: ReadonlyMap<string, UpstreamRecord>): void {
    if (records === this.#records) return;
    let regroup = records.size !== this.#records.size;
    for (const record of records.values()) {
      const known = this.#states.get(record.id);
      const before = this.#records.get(record.id);
      if (before === record && known !== undefined) continue;
      if (before === undefined || !sameTargets(before, record)) regroup = true;
      if (known === undefined) {
        this.#states.set(record.id, new UpstreamState(record, this.#settings));
      } else known.update(record);
    }
    for (const [id, state] of this.#states) {
      if (records.has(id)) continue;
      regroup = true;
      if (state.running === 0) this.#states.delete(id);
    }
    this.#records = records;
    if (regroup) this.#regroup();
  }

  /** Takes the load reports of the board. */
  setLoads(loads: ReadonlyMap<string, LoadReport>): void {
    if (loads === this.#loads) return;
    for (const load of loads.values()) {
      if (this.#loads.get(load.id) === load) continue;
      this.#states.get(load.id)?.recordLoad(load);
    }
    this.#loads = loads;
  }

  /** Works out this entry's part of each upstream's bound. */
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

/** Part of what the other zone leaves unused, by its own report; one place without a report. */
function overflowShare(
  state: UpstreamState,
  nowMs: Milliseconds,
  part: number,
): number {
  const limit = state.limit.value;
  const spare = limit - state.loadAt(nowMs) + state.running;
  const most = Math.floor(limit * part);
  return Math.max(1, Math.min(most, Math.floor(spare * part)));
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
