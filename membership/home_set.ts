/**
 * Set of the upstreams that one home publishes, as stored by the home itself and by all VMs with a copy.
 * The home of an upstream is the entry VM to which it announces itself.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import type {
  Departure,
  SetHeader,
  SetRecord,
  SetUpdate,
} from "./registry_messages.ts";

const MAXIMUM_REMOVALS = 512;

/** Time until which the records of a set may be used. */
export interface Lease {
  expiresAtMs: Milliseconds;
}

interface StoredRecord {
  readonly record: SetRecord;
  readonly changedAtVersion: number;
}

interface StoredDeparture {
  readonly departure: Departure;
  readonly changedAtVersion: number;
  readonly retainUntilMs: Milliseconds;
}

interface Removal {
  readonly id: string;
  readonly changedAtVersion: number;
}

/** Whether `a` is a later announcement of the same upstream than `b`. */
export function isNewer(
  a: { readonly incarnation: number; readonly sequence: number },
  b: { readonly incarnation: number; readonly sequence: number },
): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.sequence > b.sequence;
}

/** Identity of a set. */
export interface HomeSetIdentity {
  readonly home: string;
  readonly epoch: number;
  /** Whether the set belongs to this VM's zone. */
  readonly local: boolean;
}

/** Records and departures of one home, with the version of the set in which each changed last. */
export class HomeSet {
  readonly home: string;
  readonly epoch: number;
  readonly local: boolean;
  readonly lease: Lease = { expiresAtMs: 0 };
  readonly #records = new Map<string, StoredRecord>();
  readonly #departures = new Map<string, StoredDeparture>();
  #removals: Removal[] = [];
  /** A delta since an older version would miss removals that are no longer stored. */
  #oldestDeltaVersion = 0;
  #version = 0;
  #heartbeat = 0;

  constructor(identity: HomeSetIdentity) {
    this.home = identity.home;
    this.epoch = identity.epoch;
    this.local = identity.local;
  }

  /** Version of the set; increases with each change. */
  get version(): number {
    return this.#version;
  }

  /** Returns the record of an upstream, or undefined. */
  record(id: string): SetRecord | undefined {
    return this.#records.get(id)?.record;
  }

  /** Iterates over all records. */
  *records(): Generator<SetRecord> {
    for (const { record } of this.#records.values()) yield record;
  }

  /** Iterates over all departures that have not expired. */
  *departures(): Generator<Departure> {
    for (const { departure } of this.#departures.values()) yield departure;
  }

  /** Returns the departure of an upstream, or undefined. */
  departure(id: string): Departure | undefined {
    return this.#departures.get(id)?.departure;
  }

  /** Adds or replaces a record, as a new version. */
  putRecord(record: SetRecord): void {
    this.#version += 1;
    this.#records.set(record.id, { record, changedAtVersion: this.#version });
  }

  /** Stores a renewed announcement with the same content, without a new version. */
  renewRecord(record: SetRecord): void {
    const stored = this.#records.get(record.id);
    if (stored !== undefined) {
      this.#records.set(record.id, { ...stored, record });
    }
  }

  /** Removes a record, as a new version. */
  removeRecord(id: string): void {
    if (!this.#records.delete(id)) return;
    this.#version += 1;
    this.#recordRemoval({ id, changedAtVersion: this.#version });
  }

  /** Adds a departure, as a new version. */
  addDeparture(departure: Departure, retainUntilMs: Milliseconds): void {
    this.#version += 1;
    const changedAtVersion = this.#version;
    this.#departures.set(departure.id, {
      departure,
      changedAtVersion,
      retainUntilMs,
    });
  }

  /** Deletes expired departures; by then no VM can have an older record of the upstream. */
  expireDepartures(nowMs: Milliseconds): void {
    for (const [id, stored] of this.#departures) {
      if (stored.retainUntilMs <= nowMs) this.#departures.delete(id);
    }
  }

  /** Whether the set contains any departure. */
  hasDepartures(): boolean {
    return this.#departures.size > 0;
  }

  /** Advances the heartbeat counter. */
  advanceHeartbeat(): void {
    this.#heartbeat += 1;
  }

  /** Returns the header that allows copies of this version to be used for `leaseMs`. */
  header(leaseMs: Milliseconds): SetHeader {
    return {
      home: this.home,
      epoch: this.epoch,
      version: this.#version,
      heartbeat: this.#heartbeat,
      leaseMs: Math.max(0, leaseMs),
    };
  }

  /** Extends the lease if the header has a later heartbeat; the caller checks that the version is the same. */
  extendLease(header: SetHeader, nowMs: Milliseconds): void {
    if (header.heartbeat <= this.#heartbeat) return;
    this.#heartbeat = header.heartbeat;
    const untilMs = nowMs + header.leaseMs;
    this.lease.expiresAtMs = Math.max(this.lease.expiresAtMs, untilMs);
  }

  /** Returns the changes since a version, or the complete set if that version is too old for a delta. */
  changesSince(since: number, leaseMs: Milliseconds): SetUpdate {
    const from = since < this.#oldestDeltaVersion ? 0 : since;
    const records: SetRecord[] = [];
    for (const stored of this.#records.values()) {
      if (stored.changedAtVersion > from) records.push(stored.record);
    }
    const departures: Departure[] = [];
    for (const stored of this.#departures.values()) {
      if (stored.changedAtVersion > from) departures.push(stored.departure);
    }
    const removals = this.#removals.filter((each) =>
      each.changedAtVersion > from
    );
    return {
      header: this.header(leaseMs),
      local: this.local,
      since: from,
      records,
      departures,
      gone: removals.map((each) => each.id),
    };
  }

  /** Applies an update whose base version is not later than the version of this copy. */
  applyUpdate(
    update: SetUpdate,
    times: {
      readonly nowMs: Milliseconds;
      readonly retainUntilMs: Milliseconds;
    },
  ): void {
    const changedAtVersion = update.header.version;
    if (update.since === 0) {
      this.#records.clear();
      this.#removals = [];
      this.#oldestDeltaVersion = changedAtVersion;
    }
    for (const id of update.gone) {
      this.#records.delete(id);
      this.#recordRemoval({ id, changedAtVersion });
    }
    for (const record of update.records) {
      this.#records.set(record.id, {
        record,
        changedAtVersion,
      });
    }
    for (const departure of update.departures) {
      const retainUntilMs = times.retainUntilMs;
      this.#departures.set(departure.id, {
        departure,
        changedAtVersion,
        retainUntilMs,
      });
    }
    this.#version = changedAtVersion;
    this.extendLease(update.header, times.nowMs);
  }

  #recordRemoval(removal: Removal): void {
    this.#removals.push(removal);
    if (this.#removals.length <= MAXIMUM_REMOVALS) return;
    const dropped = this.#removals.shift();
    this.#oldestDeltaVersion = dropped?.changedAtVersion ??
      this.#oldestDeltaVersion;
  }
}
