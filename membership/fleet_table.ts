/**
 * The upstreams as reported by their heartbeats. Heartbeats can arrive late, twice and in any order, also after
 * their sender has stopped. They are ordered by the start time of the incarnation, then by the sequence number. Other
 * writers may send some too, with the identifier or the address of an upstream; see `claimed_upstreams.ts`.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";
import { holderOfAddress, holderOfId, isNewer } from "./claimed_upstreams.ts";
import { covers, type KnownDepartures } from "./departures_machine.ts";
import type { LimitObservation } from "./fleet_messages.ts";
import {
  type AgedHeartbeat,
  type TableEntry,
  UpstreamEntries,
} from "./upstream_entries.ts";
import { groupLimits, limitField, newerLimit } from "./upstream_limits.ts";

/** Whether a heartbeat changed the routing, only renewed the upstream, or was outdated. */
export type HeartbeatOutcome = "changed" | "renewed" | "outdated";

/** The services that a configuration names, and whether their upstreams serve models. */
export type NamedServices = ReadonlyMap<string, "models" | "plain">;

const NO_LIMITS: ReadonlyMap<string, number> = new Map();

/** Most entries kept that name no upstream to use; the ones without a heartbeat for longest yield. */
const MAXIMUM_UNUSABLE_ENTRIES = 1_024;

/** Time limits of the table. */
export interface FleetTableOptions {
  /** Time without a heartbeat after which an upstream receives no work. */
  readonly heartbeatTimeoutMs: Milliseconds;
  /** Time for which the table remembers that an incarnation is gone. */
  readonly retentionMs: Milliseconds;
  /** Departures that the control log holds, which no heartbeat of these incarnations revokes. */
  readonly departures: KnownDepartures;
}

/**
 * Stores the newest heartbeat of each upstream.
 *
 * @example
 * ```ts
 * const table = new FleetTable({ heartbeatTimeoutMs: 4_200, retentionMs: 60_000, departures });
 * table.recordHeartbeat({ record, ageMs: 0 }, clock.nowMs());
 * const usable = table.listed();
 * ```
 */
export class FleetTable {
  readonly #options: FleetTableOptions;
  readonly #entries = new UpstreamEntries();
  /** Services that the configuration names; null before the first one, when each may be one. */
  #services: NamedServices | null = null;
  #revision = 0;
  /** Limits by service, as of a revision. */
  #limits: ReadonlyMap<string, ReadonlyMap<string, number>> = new Map();
  #limitsRevision = -1;
  /** Revision of the departures that are applied to the entries. */
  #departuresRevision = -1;
  /** Bound, to be passed on. */
  readonly #isUsable = (record: FleetUpstream): boolean =>
    this.isUsable(record);

  constructor(options: FleetTableOptions) {
    this.#options = options;
  }

  /** A number that increases with each change that affects routing. */
  get revision(): number {
    return this.#revision;
  }

  /** Sets the services that the configuration names; returns whether that may change which upstreams are listed. */
  nameServices(services: NamedServices): boolean {
    if (this.#services !== null && isSameMap(this.#services, services)) {
      return false;
    }
    this.#services = services;
    this.#revision += 1;
    return true;
  }

  /** Whether an upstream of this service may be used, now or once there is a configuration. */
  isNamed(service: string): boolean {
    return this.#services?.has(service) ?? true;
  }

  /** Whether a record names an upstream to use: of a service that is named, with models if its upstreams serve them. */
  isUsable({ service, serves }: FleetUpstream): boolean {
    if (!this.isNamed(service)) return false;
    return serves.length > 0 || this.#services?.get(service) !== "models";
  }

  /** Stores a heartbeat unless a newer one is known. */
  recordHeartbeat(beat: AgedHeartbeat, nowMs: Milliseconds): HeartbeatOutcome {
    const known = this.#entries.find(beat.record);
    if (known !== undefined && !isNewer(beat.record, known.record)) {
      this.#adoptLimitOf(beat, nowMs);
      return "outdated";
    }
    const { id, bornMs } = beat.record;
    const departure = this.#options.departures.find(id);
    if (covers(departure, { bornMs, phase: "gone" })) return "outdated";
    if (known === undefined && !this.isUsable(beat.record)) this.#makeRoom();
    const holdersBefore = this.#holdersFor(beat.record);
    const isDraining = covers(departure, { bornMs, phase: "draining" });
    const leavingBornMs = isDraining ? bornMs : known?.leavingBornMs ?? null;
    const limit = newerLimit(known, beat, nowMs);
    const record = {
      ...withDeparture(beat.record, leavingBornMs),
      ...limitField(limit),
    };
    const wasExpired = known !== undefined && this.#isExpired(known, nowMs);
    const isSameStart = known?.record.bornMs === bornMs;
    this.#entries.set({
      record,
      receivedMs: nowMs - beat.ageMs,
      previousMs: isSameStart ? known.receivedMs : null,
      leavingBornMs,
      limitObservedMs: limit?.observedMs ?? null,
    });
    const changed = known === undefined || wasExpired ||
      !sameForRouting(known.record, record) ||
      this.#holdersFor(record) !== holdersBefore;
    if (!changed) return "renewed";
    this.#revision += 1;
    return "changed";
  }

  /**
   * Marks an incarnation, or the newest one if `bornMs` is null, as gone. Does nothing if the upstream is unknown or
   * if a later incarnation is known.
   */
  markGone(id: string, bornMs: Milliseconds | null, nowMs: Milliseconds): void {
    const leavingBornMs = bornMs ?? this.bornMsOf(id);
    if (leavingBornMs === undefined) return;
    for (const known of this.#entries.ofId(id)) {
      if (leavingBornMs < known.record.bornMs) continue;
      known.record = {
        ...known.record,
        bornMs: leavingBornMs,
        sequence: Number.MAX_SAFE_INTEGER,
        phase: "gone",
      };
      known.receivedMs = nowMs;
      this.#revision += 1;
    }
  }

  /** Applies the departures that the control log holds to the known upstreams; returns whether that changed any. */
  applyDepartures(nowMs: Milliseconds): boolean {
    const { departures } = this.#options;
    if (departures.revision === this.#departuresRevision) return false;
    this.#departuresRevision = departures.revision;
    const before = this.#revision;
    for (const { id, bornMs, phase } of departures.all()) {
      for (const { record } of this.#entries.ofId(id)) {
        if (record.bornMs > bornMs || record.phase === "gone") continue;
        if (phase === "gone") this.markGone(id, bornMs, nowMs);
        else this.markDraining(id, record.bornMs);
      }
    }
    return this.#revision !== before;
  }

  /** Returns the start time of the newest known incarnation of an upstream. */
  bornMsOf(id: string): Milliseconds | undefined {
    return this.#holderOfId(id)?.record.bornMs;
  }

  /**
   * Marks an incarnation that still sends heartbeats as draining; returns whether that is news. A later incarnation of
   * the same upstream is not affected.
   */
  markDraining(id: string, bornMs: Milliseconds): boolean {
    let isNews = false;
    for (const known of this.#entries.ofId(id)) {
      if (known.record.bornMs !== bornMs) continue;
      if (known.leavingBornMs === bornMs) continue;
      known.leavingBornMs = bornMs;
      if (known.record.phase !== "ready") continue;
      known.record = withDeparture(known.record, bornMs);
      isNews = true;
    }
    if (isNews) this.#revision += 1;
    return isNews;
  }

  /**
   * Records the limit that an incarnation named in a response, null for none; returns whether that is news. An older
   * observation than the known one, or one of another incarnation, is ignored.
   */
  recordLimit(observed: LimitObservation, nowMs: Milliseconds): boolean {
    const known = this.#holderOfId(observed.id);
    if (known === undefined || known.record.bornMs !== observed.bornMs) {
      return false;
    }
    const observedMs = nowMs - observed.ageMs;
    if (observedMs <= (known.limitObservedMs ?? -Infinity)) return false;
    known.limitObservedMs = observedMs;
    const { perSecond } = observed;
    if (known.record.requestLimit === perSecond) return false;
    known.record = { ...known.record, requestLimit: perSecond };
    this.#revision += 1;
    return true;
  }

  /** Marks upstreams without a heartbeat in time as gone, and removes those without one for the retention time. */
  expire(nowMs: Milliseconds): void {
    for (const entry of [...this.#entries.all()]) {
      const ageMs = nowMs - entry.receivedMs;
      if (ageMs > this.#options.retentionMs) this.#remove(entry);
      if (entry.record.phase === "gone") continue;
      if (!this.#isExpired(entry, nowMs)) continue;
      entry.record = { ...entry.record, phase: "gone" };
      this.#revision += 1;
    }
  }

  /** Returns the upstreams that are not gone; of several with one identifier or address, only the one that holds it. */
  listed(): readonly FleetUpstream[] {
    const listed: FleetUpstream[] = [];
    for (const entry of this.#entries.all()) {
      if (entry.record.phase === "gone") continue;
      if (this.#holds(entry)) listed.push(entry.record);
    }
    return listed;
  }

  /**
   * Returns the limits of the ready upstreams of a service, by incarnation; the same object while no upstream changes.
   */
  limitsOf(service: string): ReadonlyMap<string, number> {
    if (this.#limitsRevision !== this.#revision) {
      this.#limitsRevision = this.#revision;
      this.#limits = groupLimits(this.listed());
    }
    return this.#limits.get(service) ?? NO_LIMITS;
  }

  /** Returns all stored heartbeats with their ages, for another control VM. */
  agedHeartbeats(nowMs: Milliseconds): readonly AgedHeartbeat[] {
    const all: AgedHeartbeat[] = [];
    for (const entry of this.#entries.all()) {
      const { record, receivedMs, limitObservedMs } = entry;
      const ageMs = nowMs - receivedMs;
      const limit = limitObservedMs === null
        ? {}
        : { limitAgeMs: nowMs - limitObservedMs };
      all.push({ record, ageMs, ...limit });
    }
    return all;
  }

  /** Removes an entry; others may hold its identifier or its address then. */
  #remove(entry: TableEntry): void {
    const hasRivals = this.#hasRivals(entry);
    this.#entries.delete(entry);
    if (hasRivals) this.#revision += 1;
  }

  #hasRivals({ record: { id, address } }: TableEntry): boolean {
    return this.#entries.ofId(id).size > 1 ||
      this.#entries.atAddress(address).size > 1;
  }

  /** Removes the unusable entry without a heartbeat for longest if there are too many. */
  #makeRoom(): void {
    let unusable = 0;
    let oldest: TableEntry | undefined;
    for (const entry of this.#entries.all()) {
      if (this.isUsable(entry.record)) continue;
      unusable += 1;
      if (oldest === undefined || entry.receivedMs < oldest.receivedMs) {
        oldest = entry;
      }
    }
    if (unusable < MAXIMUM_UNUSABLE_ENTRIES || oldest === undefined) return;
    this.#remove(oldest);
  }

  #holderOfId(id: string): TableEntry | undefined {
    return holderOfId(this.#entries.ofId(id), this.#isUsable);
  }

  /** Whether an entry holds its identifier and its address. */
  #holds(entry: TableEntry): boolean {
    if (!this.#hasRivals(entry)) return true;
    return holderOfAddress(
      this.#entries,
      entry.record.address,
      this.#isUsable,
    ) === entry;
  }

  /** Names the entries that hold the identifier and the address of a record. */
  #holdersFor(record: FleetUpstream): string {
    const ofId = this.#holderOfId(record.id)?.record;
    const ofAddress = holderOfAddress(
      this.#entries,
      record.address,
      this.#isUsable,
    )?.record;
    return [ofId?.service, ofAddress?.id, ofAddress?.service].join(" ");
  }

  #adoptLimitOf(beat: AgedHeartbeat, nowMs: Milliseconds): void {
    const { record: { id, bornMs, requestLimit }, limitAgeMs } = beat;
    if (requestLimit === undefined || limitAgeMs === undefined) return;
    const limit = { id, bornMs, perSecond: requestLimit, ageMs: limitAgeMs };
    this.recordLimit(limit, nowMs);
  }

  #isExpired(entry: TableEntry, nowMs: Milliseconds): boolean {
    return nowMs - entry.receivedMs > this.#options.heartbeatTimeoutMs;
  }
}

/** Returns the record of an upstream, as draining if this incarnation is known to leave. */
function withDeparture(
  record: FleetUpstream,
  leavingBornMs: Milliseconds | null,
): FleetUpstream {
  const leaves = record.bornMs === leavingBornMs && record.phase === "ready";
  return leaves ? { ...record, phase: "draining" } : record;
}

function isSameMap(one: NamedServices, other: NamedServices): boolean {
  if (one.size !== other.size) return false;
  for (const [service, kind] of one) {
    if (other.get(service) !== kind) return false;
  }
  return true;
}

function sameForRouting(a: FleetUpstream, b: FleetUpstream): boolean {
  return a.bornMs === b.bornMs && a.phase === b.phase &&
    a.requestLimit === b.requestLimit && a.service === b.service &&
    a.softwareVersion === b.softwareVersion && a.isSpot === b.isSpot &&
    a.zone === b.zone && a.slots === b.slots &&
    a.address.host === b.address.host && a.address.port === b.address.port &&
    JSON.stringify(a.serves) === JSON.stringify(b.serves);
}
