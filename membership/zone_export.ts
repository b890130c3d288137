/**
 * The set in which a zone's relay vouches for all upstreams of its zone towards other zones.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import type { Milliseconds, UpstreamRecord } from "#core";
import { HomeSet } from "./home_set.ts";
import { plainRecord } from "./merged_view.ts";
import type { SetHeader, SetUpdate } from "./registry_messages.ts";

/** What an export is built from. */
export interface ZoneExportOptions {
  readonly zone: string;
  readonly self: string;
  readonly epoch: number;
}

/** Follows the view of a zone as a set of its own. */
export class ZoneExport {
  readonly #set: HomeSet;

  constructor(options: ZoneExportOptions) {
    this.#set = new HomeSet({
      home: `zone:${options.zone}@${options.self}`,
      epoch: options.epoch,
      local: false,
    });
  }

  /** Name of the set. */
  get home(): string {
    return this.#set.home;
  }

  /** Brings the set to the zone's view; upstreams that leave or lapsed are not vouched for. */
  follow(
    view: ReadonlyMap<string, UpstreamRecord>,
    times: { readonly nowMs: Milliseconds; readonly forgetAtMs: Milliseconds },
  ): void {
    this.#set.forgetDepartures(times.nowMs);
    for (const record of [...this.#set.records()]) {
      if (!view.has(record.id)) this.#set.remove(record.id);
    }
    for (const record of view.values()) {
      this.#followRecord(record, times);
    }
  }

  /** Begins the next heartbeat. */
  beat(leaseMs: Milliseconds): SetHeader {
    this.#set.beat();
    return this.#set.header(leaseMs);
  }

  /** The changes since a version. */
  update(since: number, leaseMs: Milliseconds): SetUpdate {
    return this.#set.update(since, leaseMs);
  }

  #followRecord(
    record: UpstreamRecord,
    times: { readonly nowMs: Milliseconds; readonly forgetAtMs: Milliseconds },
  ): void {
    if (record.leaving) {
      const known = this.#set.departure(record.id)?.incarnation ?? -1;
      if (known >= record.incarnation) return;
      this.#set.remove(record.id);
      const { id, incarnation } = record;
      this.#set.depart({ id, incarnation }, times.forgetAtMs);
      return;
    }
    if (record.expiresAtMs <= times.nowMs) {
      this.#set.remove(record.id);
      return;
    }
    const plain = plainRecord(record);
    const held = this.#set.record(record.id);
    const same = held !== undefined &&
      isDeepStrictEqual({ ...held, sequence: 0 }, { ...plain, sequence: 0 });
    if (same) this.#set.renew(plain);
    else this.#set.put(plain);
  }
}
