/**
 * What the VMs of a zone know of upstreams, without input or output.
 *
 * Each entry VM is the home of the upstreams that announce to it, and vouches for them as one set with
 * an epoch (start of the process), a version (grows with each change) and a heartbeat (grows with
 * time). The others hold copies that lapse unless a newer heartbeat arrives, so a VM that was frozen or
 * cut off cannot use an old copy for longer than the lease. That an upstream leaves is kept as a
 * departure, which outweighs every record of the same incarnation wherever it is held.
 *
 * @module
 */
import {
  Err,
  type Failure,
  type LoadReport,
  type Milliseconds,
  Ok,
  type Result,
  type UpstreamAnnouncement,
  type UpstreamRecord,
} from "#core";
import {
  departedFailure,
  haveSameContent,
  isOlderHeader,
  supersededFailure,
} from "./record_comparison.ts";
import { HomeSet, isNewer, type Lease } from "./home_set.ts";
import { ZONE_LOAD_PREFIX } from "./registry_notices.ts";
import { mergeSets } from "./merged_view.ts";
import type {
  Departure,
  SetHeader,
  SetRecord,
  SetUpdate,
} from "./registry_messages.ts";

const DEPARTURE_RETENTION_LEASES = 10;

/** Whether a call changed more than a lease. */
export interface ChangeResult {
  readonly changed: boolean;
}

const CHANGED: ChangeResult = { changed: true };
const UNCHANGED: ChangeResult = { changed: false };
const EXPIRED_LEASE: Lease = { expiresAtMs: 0 };

/** What a registry is built from. */
export interface UpstreamRegistryOptions {
  /** Name of this VM. */
  readonly self: string;
  /** Start of this process, in wall milliseconds; grows from start to start. */
  readonly epoch: number;
  /** How long an announcement holds. */
  readonly leaseMs: () => Milliseconds;
}

/** An announcement with its place among the upstream's announcements. */
export interface SequencedAnnouncement {
  readonly announcement: UpstreamAnnouncement;
  /** Grows with each announcement within an incarnation. */
  readonly sequence: number;
}

/** Keeps the sets of all homes and their merged view. */
export class UpstreamRegistry {
  readonly #options: UpstreamRegistryOptions;
  readonly #ownSet: HomeSet;
  /** Own upstreams lapse one by one, unless they renew. */
  readonly #ownLeases = new Map<string, Lease>();
  readonly #copies = new Map<string, HomeSet>();
  readonly #loads = new Map<string, LoadReport>();
  #mergedView: ReadonlyMap<string, UpstreamRecord> | undefined;

  constructor(options: UpstreamRegistryOptions) {
    this.#options = options;
    this.#ownSet = new HomeSet({
      home: options.self,
      epoch: options.epoch,
      local: true,
    });
    this.#ownSet.advanceHeartbeat();
  }

  /** Takes an announcement; the answer tells whether anything but the lease changed. */
  announce(
    sequenced: SequencedAnnouncement,
    nowMs: Milliseconds,
  ): Result<ChangeResult, Failure> {
    const record: SetRecord = {
      ...sequenced.announcement,
      sequence: sequenced.sequence,
    };
    const known = this.view().get(record.id);
    const rejection = this.#findRejection(record, known);
    if (rejection !== undefined) return Err(rejection);
    const own = this.#ownSet.record(record.id);
    if (own !== undefined && isNewer(own, record)) return Ok(UNCHANGED);
    this.#renewOwn(record.id, nowMs);
    const announcedElsewhere = known !== undefined && isNewer(known, record);
    if (
      own !== undefined && !announcedElsewhere && haveSameContent(own, record)
    ) {
      this.#ownSet.renewRecord(record);
      return Ok(UNCHANGED);
    }
    this.#ownSet.putRecord(record);
    this.#mergedView = undefined;
    return Ok(CHANGED);
  }

  /** Ends new work on an upstream; a repeated leave has no further effect. */
  leave(
    departure: Departure,
    nowMs: Milliseconds,
  ): Result<ChangeResult, Failure> {
    const known = this.view().get(departure.id);
    if (known !== undefined && known.incarnation > departure.incarnation) {
      return Err(supersededFailure(known));
    }
    const earlier = this.#ownSet.departure(departure.id);
    const again = earlier !== undefined &&
      earlier.incarnation >= departure.incarnation;
    if (again) return Ok(UNCHANGED);
    this.#ownSet.addDeparture(departure, this.#departureRetainUntilMs(nowMs));
    this.#mergedView = undefined;
    return Ok(CHANGED);
  }

  /** Takes a load report; false if the upstream is unknown. */
  recordLoad(load: LoadReport): boolean {
    const isZone = load.id.startsWith(ZONE_LOAD_PREFIX);
    if (!isZone && !this.view().has(load.id)) return false;
    this.#loads.set(load.id, load);
    return true;
  }

  /** Drops what lapsed; gives the upstreams of this home that did not renew. */
  expire(nowMs: Milliseconds): readonly string[] {
    const expired: string[] = [];
    for (const [id, lease] of this.#ownLeases) {
      if (lease.expiresAtMs > nowMs) continue;
      expired.push(id);
      this.#removeOwn(id);
    }
    this.#ownSet.expireDepartures(nowMs);
    for (const [home, set] of this.#copies) {
      set.expireDepartures(nowMs);
      if (set.lease.expiresAtMs > nowMs || set.hasDepartures()) continue;
      this.#copies.delete(home);
      this.#mergedView = undefined;
    }
    this.#removeMoved();
    return expired;
  }

  /** Begins the next heartbeat of the own set. */
  nextHeartbeat(): SetHeader {
    this.#ownSet.advanceHeartbeat();
    return this.#ownSet.header(this.#options.leaseMs());
  }

  /** Headers of all sets held here that have not lapsed. */
  headers(nowMs: Milliseconds): readonly SetHeader[] {
    const headers = [this.#ownSet.header(this.#options.leaseMs())];
    for (const set of this.#copies.values()) {
      const leftMs = set.lease.expiresAtMs - nowMs;
      if (leftMs > 0) headers.push(set.header(leftMs));
    }
    return headers;
  }

  /** Headers of the sets of other zones, for a relay to pass on. */
  otherZoneHeaders(nowMs: Milliseconds): readonly SetHeader[] {
    return this.headers(nowMs).filter((header) =>
      this.#copies.get(header.home)?.local === false
    );
  }

  /** Takes a header; true if the set must be fetched because the copy here is older. */
  receiveHeader(header: SetHeader, nowMs: Milliseconds): boolean {
    if (header.home === this.#options.self) {
      return header.epoch < this.#options.epoch;
    }
    const copy = this.#copies.get(header.home);
    if (copy === undefined) return true;
    if (header.epoch !== copy.epoch) return header.epoch > copy.epoch;
    if (header.version !== copy.version) return header.version > copy.version;
    copy.extendLease(header, nowMs);
    return false;
  }

  /** Epoch and version of the copy of a home's set; zeros without one. */
  copyVersion(
    home: string,
  ): { readonly epoch: number; readonly version: number } {
    return this.#copies.get(home) ?? { epoch: 0, version: 0 };
  }

  /** The changes of a set since a version of an epoch; undefined if the set is not held. */
  changesSince(
    request: {
      readonly home: string;
      readonly epoch: number;
      readonly since: number;
    },
    nowMs: Milliseconds,
  ): SetUpdate | undefined {
    const set = this.#findSet(request.home);
    if (set === undefined) return undefined;
    const leaseMs = set === this.#ownSet
      ? this.#options.leaseMs()
      : set.lease.expiresAtMs - nowMs;
    const since = request.epoch === set.epoch ? request.since : 0;
    return set.changesSince(since, leaseMs);
  }

  /** Takes an update; false if it starts after the copy here and must be fetched whole. */
  applyUpdate(update: SetUpdate, nowMs: Milliseconds): boolean {
    const { header } = update;
    if (header.home === this.#options.self) {
      this.#restoreDepartures(update, nowMs);
      return true;
    }
    const copy = this.#copies.get(header.home);
    if (copy !== undefined && isOlderHeader(header, copy)) return true;
    const isDelta = copy !== undefined && copy.epoch === header.epoch &&
      copy.version >= update.since;
    if (!isDelta && update.since !== 0) return false;
    const set = isDelta ? copy : new HomeSet({
      home: header.home,
      epoch: header.epoch,
      local: update.local,
    });
    const retainUntilMs = this.#departureRetainUntilMs(nowMs);
    if (copy !== undefined && set !== copy) {
      for (const each of copy.departures()) {
        set.addDeparture(each, retainUntilMs);
      }
    }
    set.applyUpdate(update, { nowMs, retainUntilMs });
    this.#copies.set(header.home, set);
    this.#mergedView = undefined;
    return true;
  }

  /** All upstreams known here; those of lapsed sets go when `expire` runs. */
  view(): ReadonlyMap<string, UpstreamRecord> {
    this.#mergedView ??= this.#merge([...this.#copies.values()]);
    return this.#mergedView;
  }

  /** The upstreams of this zone with its departures, for other zones. */
  localView(): ReadonlyMap<string, UpstreamRecord> {
    const local = [...this.#copies.values()].filter((set) => set.local);
    return this.#merge(local);
  }

  /** Load by upstream, and by zone under `zone:NAME`. */
  loads(): ReadonlyMap<string, LoadReport> {
    return new Map(this.#loads);
  }

  /** Loads of the upstreams whose home is this VM. */
  ownLoads(): readonly LoadReport[] {
    const loads: LoadReport[] = [];
    for (const record of this.#ownSet.records()) {
      const load = this.#loads.get(record.id);
      if (load !== undefined) loads.push(load);
    }
    return loads;
  }

  #merge(copies: readonly HomeSet[]): ReadonlyMap<string, UpstreamRecord> {
    return mergeSets([this.#ownSet, ...copies], (set, id) => {
      if (set !== this.#ownSet) return set.lease;
      return this.#ownLeases.get(id) ?? EXPIRED_LEASE;
    });
  }

  #renewOwn(id: string, nowMs: Milliseconds): void {
    const expiresAtMs = nowMs + this.#options.leaseMs();
    const lease = this.#ownLeases.get(id);
    if (lease === undefined) this.#ownLeases.set(id, { expiresAtMs });
    else lease.expiresAtMs = expiresAtMs;
  }

  #findSet(home: string): HomeSet | undefined {
    return home === this.#options.self ? this.#ownSet : this.#copies.get(home);
  }

  #findRejection(
    record: SetRecord,
    known: UpstreamRecord | undefined,
  ): Failure | undefined {
    if (known !== undefined && known.incarnation > record.incarnation) {
      return supersededFailure(known);
    }
    for (const set of [this.#ownSet, ...this.#copies.values()]) {
      const departure = set.departure(record.id);
      if (departure === undefined) continue;
      if (departure.incarnation >= record.incarnation) {
        return departedFailure(record);
      }
    }
    return undefined;
  }

  /** Takes back the departures that this VM vouched for before it was restarted. */
  #restoreDepartures(update: SetUpdate, nowMs: Milliseconds): void {
    for (const departure of update.departures) {
      const own = this.#ownSet.departure(departure.id);
      if (own !== undefined && own.incarnation >= departure.incarnation) {
        continue;
      }
      this.#ownSet.addDeparture(departure, this.#departureRetainUntilMs(nowMs));
      this.#mergedView = undefined;
    }
  }

  #removeOwn(id: string): void {
    this.#ownLeases.delete(id);
    this.#loads.delete(id);
    this.#ownSet.removeRecord(id);
    this.#mergedView = undefined;
  }

  /** Upstreams that now announce to another VM are that VM's to vouch for. */
  #removeMoved(): void {
    for (const record of [...this.#ownSet.records()]) {
      const best = this.view().get(record.id);
      if (best !== undefined && isNewer(best, record)) {
        this.#removeOwn(record.id);
      }
    }
  }

  #departureRetainUntilMs(nowMs: Milliseconds): Milliseconds {
    return nowMs + DEPARTURE_RETENTION_LEASES * this.#options.leaseMs();
  }
}
