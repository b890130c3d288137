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
  hasLeft,
  isOlder,
  newerIncarnation,
  sameContent,
} from "./held_records.ts";
import { HomeSet, isNewer, type Lease } from "./home_set.ts";
import { ZONE_LOAD_PREFIX } from "./registry_notices.ts";
import { mergeSets } from "./merged_view.ts";
import type {
  Departure,
  HeldRecord,
  SetHeader,
  SetUpdate,
} from "./registry_messages.ts";

const DEPARTURE_LEASES = 10;

/** Whether a call changed more than a lease. */
export interface Change {
  readonly changed: boolean;
}

const CHANGED: Change = { changed: true };
const UNCHANGED: Change = { changed: false };
const LAPSED: Lease = { expiresAtMs: 0 };

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
  readonly #own: HomeSet;
  /** Own upstreams lapse one by one, unless they renew. */
  readonly #ownLeases = new Map<string, Lease>();
  readonly #held = new Map<string, HomeSet>();
  readonly #loads = new Map<string, LoadReport>();
  #view: ReadonlyMap<string, UpstreamRecord> | undefined;

  constructor(options: UpstreamRegistryOptions) {
    this.#options = options;
    this.#own = new HomeSet({
      home: options.self,
      epoch: options.epoch,
      local: true,
    });
    this.#own.beat();
  }

  /** Takes an announcement; the answer tells whether anything but the lease changed. */
  announce(
    sequenced: SequencedAnnouncement,
    nowMs: Milliseconds,
  ): Result<Change, Failure> {
    const record: HeldRecord = {
      ...sequenced.announcement,
      sequence: sequenced.sequence,
    };
    const known = this.view().get(record.id);
    const refused = this.#refuse(record, known);
    if (refused !== undefined) return Err(refused);
    const own = this.#own.record(record.id);
    if (own !== undefined && isNewer(own, record)) return Ok(UNCHANGED);
    this.#renewOwn(record.id, nowMs);
    const heldElsewhere = known !== undefined && isNewer(known, record);
    if (own !== undefined && !heldElsewhere && sameContent(own, record)) {
      this.#own.renew(record);
      return Ok(UNCHANGED);
    }
    this.#own.put(record);
    this.#view = undefined;
    return Ok(CHANGED);
  }

  /** Ends new work on an upstream; a repeated leave has no further effect. */
  leave(
    departure: Departure,
    nowMs: Milliseconds,
  ): Result<Change, Failure> {
    const known = this.view().get(departure.id);
    if (known !== undefined && known.incarnation > departure.incarnation) {
      return Err(newerIncarnation(known));
    }
    const earlier = this.#own.departure(departure.id);
    const again = earlier !== undefined &&
      earlier.incarnation >= departure.incarnation;
    if (again) return Ok(UNCHANGED);
    this.#own.depart(departure, this.#forgetAtMs(nowMs));
    this.#view = undefined;
    return Ok(CHANGED);
  }

  /** Takes a load report; false if the upstream is unknown. */
  report(load: LoadReport): boolean {
    const isZone = load.id.startsWith(ZONE_LOAD_PREFIX);
    if (!isZone && !this.view().has(load.id)) return false;
    this.#loads.set(load.id, load);
    return true;
  }

  /** Drops what lapsed; gives the upstreams of this home that did not renew. */
  expire(nowMs: Milliseconds): readonly string[] {
    const lapsed: string[] = [];
    for (const [id, lease] of this.#ownLeases) {
      if (lease.expiresAtMs > nowMs) continue;
      lapsed.push(id);
      this.#dropOwn(id);
    }
    this.#own.forgetDepartures(nowMs);
    for (const [home, set] of this.#held) {
      set.forgetDepartures(nowMs);
      if (set.lease.expiresAtMs > nowMs || set.hasDepartures()) continue;
      this.#held.delete(home);
      this.#view = undefined;
    }
    this.#dropMoved();
    return lapsed;
  }

  /** Begins the next heartbeat of the own set. */
  beat(): SetHeader {
    this.#own.beat();
    return this.#own.header(this.#options.leaseMs());
  }

  /** Headers of all sets held here that have not lapsed. */
  headers(nowMs: Milliseconds): readonly SetHeader[] {
    const headers = [this.#own.header(this.#options.leaseMs())];
    for (const set of this.#held.values()) {
      const leftMs = set.lease.expiresAtMs - nowMs;
      if (leftMs > 0) headers.push(set.header(leftMs));
    }
    return headers;
  }

  /** Headers of the sets of other zones, for a relay to pass on. */
  foreignHeaders(nowMs: Milliseconds): readonly SetHeader[] {
    return this.headers(nowMs).filter((header) =>
      this.#held.get(header.home)?.local === false
    );
  }

  /** Takes a header; true if the set must be fetched because the copy here is older. */
  hear(header: SetHeader, nowMs: Milliseconds): boolean {
    if (header.home === this.#options.self) {
      return header.epoch < this.#options.epoch;
    }
    const held = this.#held.get(header.home);
    if (held === undefined) return true;
    if (header.epoch !== held.epoch) return header.epoch > held.epoch;
    if (header.version !== held.version) return header.version > held.version;
    held.extend(header, nowMs);
    return false;
  }

  /** Epoch and version of the copy of a home's set; zeros without one. */
  heldVersion(
    home: string,
  ): { readonly epoch: number; readonly version: number } {
    return this.#held.get(home) ?? { epoch: 0, version: 0 };
  }

  /** The changes of a set since a version of an epoch; undefined if the set is not held. */
  update(
    request: {
      readonly home: string;
      readonly epoch: number;
      readonly since: number;
    },
    nowMs: Milliseconds,
  ): SetUpdate | undefined {
    const set = this.#set(request.home);
    if (set === undefined) return undefined;
    const leaseMs = set === this.#own
      ? this.#options.leaseMs()
      : set.lease.expiresAtMs - nowMs;
    const since = request.epoch === set.epoch ? request.since : 0;
    return set.update(since, leaseMs);
  }

  /** Takes an update; false if it starts after the copy here and must be fetched whole. */
  take(update: SetUpdate, nowMs: Milliseconds): boolean {
    const { header } = update;
    if (header.home === this.#options.self) {
      this.#adoptDepartures(update, nowMs);
      return true;
    }
    const held = this.#held.get(header.home);
    if (held !== undefined && isOlder(header, held)) return true;
    const fits = held !== undefined && held.epoch === header.epoch &&
      held.version >= update.since;
    if (!fits && update.since !== 0) return false;
    const set = fits ? held : new HomeSet({
      home: header.home,
      epoch: header.epoch,
      local: update.local,
    });
    const forgetAtMs = this.#forgetAtMs(nowMs);
    if (held !== undefined && set !== held) {
      for (const each of held.departures()) set.depart(each, forgetAtMs);
    }
    set.apply(update, { nowMs, forgetAtMs });
    this.#held.set(header.home, set);
    this.#view = undefined;
    return true;
  }

  /** All upstreams known here; those of lapsed sets go when `expire` runs. */
  view(): ReadonlyMap<string, UpstreamRecord> {
    this.#view ??= this.#merge([...this.#held.values()]);
    return this.#view;
  }

  /** The upstreams of this zone with its departures, for other zones. */
  localView(): ReadonlyMap<string, UpstreamRecord> {
    const local = [...this.#held.values()].filter((set) => set.local);
    return this.#merge(local);
  }

  /** Load by upstream, and by zone under `zone:NAME`. */
  loads(): ReadonlyMap<string, LoadReport> {
    return new Map(this.#loads);
  }

  /** Loads of the upstreams whose home is this VM. */
  ownLoads(): readonly LoadReport[] {
    const loads: LoadReport[] = [];
    for (const record of this.#own.records()) {
      const load = this.#loads.get(record.id);
      if (load !== undefined) loads.push(load);
    }
    return loads;
  }

  #merge(held: readonly HomeSet[]): ReadonlyMap<string, UpstreamRecord> {
    return mergeSets([this.#own, ...held], (set, id) => {
      if (set !== this.#own) return set.lease;
      return this.#ownLeases.get(id) ?? LAPSED;
    });
  }

  #renewOwn(id: string, nowMs: Milliseconds): void {
    const expiresAtMs = nowMs + this.#options.leaseMs();
    const lease = this.#ownLeases.get(id);
    if (lease === undefined) this.#ownLeases.set(id, { expiresAtMs });
    else lease.expiresAtMs = expiresAtMs;
  }

  #set(home: string): HomeSet | undefined {
    return home === this.#options.self ? this.#own : this.#held.get(home);
  }

  #refuse(
    record: HeldRecord,
    known: UpstreamRecord | undefined,
  ): Failure | undefined {
    if (known !== undefined && known.incarnation > record.incarnation) {
      return newerIncarnation(known);
    }
    for (const set of [this.#own, ...this.#held.values()]) {
      const departure = set.departure(record.id);
      if (departure === undefined) continue;
      if (departure.incarnation >= record.incarnation) return hasLeft(record);
    }
    return undefined;
  }

  /** Takes back the departures that this VM vouched for before it was restarted. */
  #adoptDepartures(update: SetUpdate, nowMs: Milliseconds): void {
    for (const departure of update.departures) {
      const own = this.#own.departure(departure.id);
      if (own !== undefined && own.incarnation >= departure.incarnation) {
        continue;
      }
      this.#own.depart(departure, this.#forgetAtMs(nowMs));
      this.#view = undefined;
    }
  }

  #dropOwn(id: string): void {
    this.#ownLeases.delete(id);
    this.#loads.delete(id);
    this.#own.remove(id);
    this.#view = undefined;
  }

  /** Upstreams that now announce to another VM are that VM's to vouch for. */
  #dropMoved(): void {
    for (const record of [...this.#own.records()]) {
      const best = this.view().get(record.id);
      if (best !== undefined && isNewer(best, record)) this.#dropOwn(record.id);
    }
  }

  #forgetAtMs(nowMs: Milliseconds): Milliseconds {
    return nowMs + DEPARTURE_LEASES * this.#options.leaseMs();
  }
}
