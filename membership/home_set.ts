/**
 * The set of upstreams that one home vouches for, as its home and all holders of a copy keep it.
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

/** Until when the records of a set may be used. */
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

/** Tells whether `a` is a later announcement of the same upstream than `b`. */
export function isNewer(
  a: { readonly incarnation: number; readonly sequence: number },
  b: { readonly incarnation: number; readonly sequence: number },
): boolean {
  if (a.incarnation !== b.incarnation) return a.incarnation > b.incarnation;
  return a.sequence > b.sequence;
}

/** Names a set. */
export interface HomeSetIdentity {
  readonly home: string;
  readonly epoch: number;
  /** Whether the set belongs to this VM's zone. */
  readonly local: boolean;
}

/** Records and departures of one home, with the version at which each changed. */
export class HomeSet {
  readonly home: string;
  readonly epoch: number;
  readonly local: boolean;
  readonly lease: Lease = { expiresAtMs: 0 };
  readonly #records = new Map<string, StoredRecord>();
  readonly #departures = new Map<string, StoredDeparture>();
  #removals: Removal[] = [];
  /** Deltas from older versions would miss what is gone. */
  #oldestDeltaVersion = 0;
  #version = 0;
  #heartbeat = 0;

  constructor(identity: HomeSetIdentity) {
    this.home = identity.home;
    this.epoch = identity.epoch;
    this.local = identity.local;
  }

  /** Grows with each change. */
  get version(): number {
    return this.#version;
  }

  /** The record of an upstream, or undefined. */
  record(id: string): SetRecord | undefined {
    return this.#records.get(id)?.record;
  }

  /** All records. */
  *records(): Generator<SetRecord> {
    for (const { record } of this.#records.values()) yield record;
  }

  /** All departures not yet forgotten. */
  *departures(): Generator<Departure> {
    for (const { departure } of this.#departures.values()) yield departure;
  }

  /** The departure of an upstream, or undefined. */
  departure(id: string): Departure | undefined {
    return this.#departures.get(id)?.departure;
  }

  /** Adds or replaces a record as a change. */
  putRecord(record: SetRecord): void {
    this.#version += 1;
    this.#records.set(record.id, { record, changedAtVersion: this.#version });
  }

  /** Notes a renewed announcement with the same content, which is no change. */
  renewRecord(record: SetRecord): void {
    const stored = this.#records.get(record.id);
    if (stored !== undefined) {
      this.#records.set(record.id, { ...stored, record });
    }
  }

  /** Removes a record as a change. */
  removeRecord(id: string): void {
    if (!this.#records.delete(id)) return;
    this.#version += 1;
    this.#recordRemoval({ id, changedAtVersion: this.#version });
  }

  /** Adds a departure as a change. */
  addDeparture(departure: Departure, retainUntilMs: Milliseconds): void {
    this.#version += 1;
    const changedAtVersion = this.#version;
    this.#departures.set(departure.id, {
      departure,
      changedAtVersion,
      retainUntilMs,
    });
  }

  /** Forgets departures whose time is over; no holder can have an older record by then. */
  expireDepartures(nowMs: Milliseconds): void {
    for (const [id, stored] of this.#departures) {
      if (stored.retainUntilMs <= nowMs) this.#departures.delete(id);
    }
  }

  /** Whether any departure is remembered. */
  hasDepartures(): boolean {
    return this.#departures.size > 0;
  }

  /** Begins the next heartbeat. */
  advanceHeartbeat(): void {
    this.#heartbeat += 1;
  }

  /** The header that vouches for this state during `leaseMs`. */
  header(leaseMs: Milliseconds): SetHeader {
    return {
      home: this.home,
      epoch: this.epoch,
      version: this.#version,
      heartbeat: this.#heartbeat,
      leaseMs: Math.max(0, leaseMs),
    };
  }

  /** Moves the lease on if the header carries a newer heartbeat for this version. */
  extendLease(header: SetHeader, nowMs: Milliseconds): void {
    if (header.heartbeat <= this.#heartbeat) return;
    this.#heartbeat = header.heartbeat;
    const untilMs = nowMs + header.leaseMs;
    this.lease.expiresAtMs = Math.max(this.lease.expiresAtMs, untilMs);
  }

  /** The changes since a version, or everything where that version is too old. */
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
    const gone = this.#removals.filter((each) => each.changedAtVersion > from);
    return {
      header: this.header(leaseMs),
      local: this.local,
      since: from,
      records,
      departures,
      gone: gone.map((each) => each.id),
    };
  }

  /** Applies an update that starts at or below this version. */
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

  #recordRemoval(gone: Removal): void {
    this.#removals.push(gone);
    if (this.#removals.length <= MAXIMUM_REMOVALS) return;
    const dropped = this.#removals.shift();
    this.#oldestDeltaVersion = dropped?.changedAtVersion ??
      this.#oldestDeltaVersion;
  }
}
