/**
 * Set in which the relay of a zone publishes all upstreams of the zone to other zones.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import type { Milliseconds, UpstreamRecord } from "#core";
import { HomeSet } from "./home_set.ts";
import { toSetRecord } from "./merged_view.ts";
import type { SetHeader, SetUpdate } from "./registry_messages.ts";

/** Options of `ZoneExport`. */
export interface ZoneExportOptions {
  readonly zone: string;
  readonly self: string;
  readonly epoch: number;
}

/** Maintains a set that mirrors the view of a zone. */
export class ZoneExport {
  readonly #set: HomeSet;

  constructor(options: ZoneExportOptions) {
    this.#set = new HomeSet({
      home: `zone:${options.zone}@${options.self}`,
      epoch: options.epoch,
      local: false,
    });
  }

  /** Home identifier of the set, which contains the zone and this VM. */
  get home(): string {
    return this.#set.home;
  }

  /** Updates the set to the zone's view, without upstreams that are leaving or whose lease has expired. */
  refresh(
    view: ReadonlyMap<string, UpstreamRecord>,
    times: {
      readonly nowMs: Milliseconds;
      readonly retainUntilMs: Milliseconds;
    },
  ): void {
    this.#set.expireDepartures(times.nowMs);
    for (const record of [...this.#set.records()]) {
      if (!view.has(record.id)) this.#set.removeRecord(record.id);
    }
    for (const record of view.values()) {
      this.#refreshRecord(record, times);
    }
  }

  /** Advances the heartbeat and returns the header that announces it. */
  nextHeartbeat(leaseMs: Milliseconds): SetHeader {
    this.#set.advanceHeartbeat();
    return this.#set.header(leaseMs);
  }

  /** Returns the changes since a version. */
  changesSince(since: number, leaseMs: Milliseconds): SetUpdate {
    return this.#set.changesSince(since, leaseMs);
  }

  #refreshRecord(
    record: UpstreamRecord,
    times: {
      readonly nowMs: Milliseconds;
      readonly retainUntilMs: Milliseconds;
    },
  ): void {
    if (record.leaving) {
      const known = this.#set.departure(record.id)?.incarnation ?? -1;
      if (known >= record.incarnation) return;
      this.#set.removeRecord(record.id);
      const { id, incarnation } = record;
      this.#set.addDeparture({ id, incarnation }, times.retainUntilMs);
      return;
    }
    if (record.expiresAtMs <= times.nowMs) {
      this.#set.removeRecord(record.id);
      return;
    }
    const plain = toSetRecord(record);
    const known = this.#set.record(record.id);
    const same = known !== undefined &&
      isDeepStrictEqual({ ...known, sequence: 0 }, { ...plain, sequence: 0 });
    if (same) this.#set.renewRecord(plain);
    else this.#set.putRecord(plain);
  }
}
