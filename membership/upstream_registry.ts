/**
 * Registry of upstreams on one VM, without input or output.
 *
 * Each entry VM is the home of the upstreams that announce themselves to it, and publishes them as one set
 * with an epoch (start time of the process), a version (increases with each change) and a heartbeat
 * (increases with time). The other VMs store copies that expire unless a later heartbeat arrives, so a VM
 * that was paused or partitioned cannot use an old copy for longer than the lease. An upstream that leaves
 * is recorded as a departure, which overrides every record of the same incarnation on every VM.
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
  haveSameContent,
  isOlderHeader,
  rejectionOf,
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

/** Result of a call: whether it changed more than a lease. */
export interface ChangeResult {
  readonly changed: boolean;
}

const CHANGED: ChangeResult = { changed: true };
const UNCHANGED: ChangeResult = { changed: false };
const EXPIRED_LEASE: Lease = { expiresAtMs: 0 };

/** Options of `UpstreamRegistry`. */
export interface UpstreamRegistryOptions {
  /** Name of this VM. */
  readonly self: string;
  /** Start time of this process, in wall-clock milliseconds; increases from start to start. */
  readonly epoch: number;
  /** Returns how long an announcement is valid. */
  readonly leaseMs: () => Milliseconds;
}

/** An announcement with its sequence number. */
export interface SequencedAnnouncement {
  readonly announcement: UpstreamAnnouncement;
  /** Increases with each announcement within an incarnation. */
  readonly sequence: number;
}

/** Stores the set of this home, copies of the sets of other homes, and their merged view. */
export class UpstreamRegistry {
  readonly #options: UpstreamRegistryOptions;
  readonly #ownSet: HomeSet;
  /** Leases of the upstreams of this home; each upstream renews its own. */
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

  /** Accepts or rejects an announcement; returns whether more than the lease changed. */
  announce(
    sequenced: SequencedAnnouncement,
    nowMs: Milliseconds,
  ): Result<ChangeResult, Failure> {
    const record: SetRecord = {
      ...sequenced.announcement,
      sequence: sequenced.sequence,
    };
    const known = this.view().get(record.id);
    const sets = [this.#ownSet, ...this.#copies.values()];
    const rejection = rejectionOf(record, known, sets);
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

  /** Records that an upstream leaves, so that it receives no new work; a repeated call has no effect. */
  leave(
    departure: Departure,
    nowMs: Milliseconds,
  ): Result<ChangeResult, Failure> {
    const known = this.view().get(departure.id);
    if (known !== undefined && known.incarnation > departure.incarnation) {
      return Err(supersededFailure(known));
    }
    const retainUntilMs = this.#departureRetainUntilMs(nowMs);
    const isNews = this.#addOwnDeparture(departure, retainUntilMs);
    return Ok(isNews ? CHANGED : UNCHANGED);
  }

  /** Stores a load report; returns false if the upstream is unknown. */
  recordLoad(load: LoadReport): boolean {
    const isZone = load.id.startsWith(ZONE_LOAD_PREFIX);
    if (!isZone && !this.view().has(load.id)) return false;
    this.#loads.set(load.id, load);
    return true;
  }

  /** Removes expired records, departures and copies; returns the upstreams of this home that expired. */
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

  /** Advances the heartbeat of the set of this home and returns its header. */
  nextHeartbeat(): SetHeader {
    this.#ownSet.advanceHeartbeat();
    return this.#ownSet.header(this.#options.leaseMs());
  }

  /** Returns the headers of the set of this home and of all copies that have not expired. */
  headers(nowMs: Milliseconds): readonly SetHeader[] {
    const headers = [this.#ownSet.header(this.#options.leaseMs())];
    for (const set of this.#copies.values()) {
      const remainingMs = set.lease.expiresAtMs - nowMs;
      if (remainingMs > 0) headers.push(set.header(remainingMs));
    }
    return headers;
  }

  /** Returns the headers of the sets of other zones, which a relay forwards. */
  otherZoneHeaders(nowMs: Milliseconds): readonly SetHeader[] {
    return this.headers(nowMs).filter((header) =>
      this.#copies.get(header.home)?.local === false
    );
  }

  /** Processes a header; returns true if the set must be fetched because the local copy is older or missing. */
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

  /** Version of the set of this home. */
  get ownVersion(): number {
    return this.#ownSet.version;
  }

  /** Returns the epoch and version of the copy of a home's set; zeros if there is none. */
  copyVersion(
    home: string,
  ): { readonly epoch: number; readonly version: number } {
    return this.#copies.get(home) ?? { epoch: 0, version: 0 };
  }

  /** Returns the changes of a set since a version of an epoch; undefined if the set is not stored here. */
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

  /** Applies an update; returns false if it does not build on the local copy, so that the set must be fetched. */
  applyUpdate(update: SetUpdate, nowMs: Milliseconds): boolean {
    const { header } = update;
    if (header.home === this.#options.self) {
      this.#restoreDepartures(update, nowMs);
      return true;
    }
    const copy = this.#copies.get(header.home);
    if (copy !== undefined && isOlderHeader(header, copy)) return true;
    const appliesToCopy = copy !== undefined && copy.epoch === header.epoch &&
      copy.version >= update.since;
    if (!appliesToCopy && update.since !== 0) return false;
    const set = appliesToCopy ? copy : new HomeSet({
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
    this.#adoptDepartures(update.departures, retainUntilMs);
    this.#mergedView = undefined;
    return true;
  }

  /** Returns all known upstreams; those of expired copies are removed by `expire`. */
  view(): ReadonlyMap<string, UpstreamRecord> {
    this.#mergedView ??= this.#merge([...this.#copies.values()]);
    return this.#mergedView;
  }

  /** Returns the upstreams of this zone, including those that leave, for the export to other zones. */
  localView(): ReadonlyMap<string, UpstreamRecord> {
    const local = [...this.#copies.values()].filter((set) => set.local);
    return this.#merge(local);
  }

  /** Returns the load by upstream, and the total by zone under `zone:NAME`. */
  loads(): ReadonlyMap<string, LoadReport> {
    return new Map(this.#loads);
  }

  /** Returns the loads of the upstreams whose home is this VM. */
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

  /** Restores the departures that this VM published before it was restarted, from a copy on another VM. */
  #restoreDepartures(update: SetUpdate, nowMs: Milliseconds): void {
    const retainUntilMs = this.#departureRetainUntilMs(nowMs);
    for (const departure of update.departures) {
      this.#addOwnDeparture(departure, retainUntilMs);
    }
  }

  /**
   * Publishes departures of upstreams whose home is this VM as its own: another VM may hear of this one only, whose
   * heartbeats renew what it has of the upstream.
   */
  #adoptDepartures(
    departures: readonly Departure[],
    retainUntilMs: Milliseconds,
  ): void {
    for (const departure of departures) {
      const record = this.#ownSet.record(departure.id);
      if (record === undefined) continue;
      if (record.incarnation > departure.incarnation) continue;
      this.#addOwnDeparture(departure, retainUntilMs);
    }
  }

  /** Adds a departure to the set of this home; returns whether it is news. */
  #addOwnDeparture(departure: Departure, retainUntilMs: Milliseconds): boolean {
    const known = this.#ownSet.departure(departure.id);
    if (known !== undefined && known.incarnation >= departure.incarnation) {
      return false;
    }
    this.#ownSet.addDeparture(departure, retainUntilMs);
    this.#mergedView = undefined;
    return true;
  }

  #removeOwn(id: string): void {
    this.#ownLeases.delete(id);
    this.#loads.delete(id);
    this.#ownSet.removeRecord(id);
    this.#mergedView = undefined;
  }

  /** Removes the upstreams that now announce themselves to another VM, which has become their home. */
  #removeMoved(): void {
    for (const record of [...this.#ownSet.records()]) {
      const latest = this.view().get(record.id);
      if (latest !== undefined && isNewer(latest, record)) {
        this.#removeOwn(record.id);
      }
    }
  }

  #departureRetainUntilMs(nowMs: Milliseconds): Milliseconds {
    return nowMs + DEPARTURE_RETENTION_LEASES * this.#options.leaseMs();
  }
}
