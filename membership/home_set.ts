/**
 * The set of upstreams that one home vouches for, as its home and all holders of a copy keep it.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import type {
  Departure,
  HeldRecord,
  SetHeader,
  SetUpdate,
} from "./registry_messages.ts";

const MAXIMUM_GONE = 512;

/** Until when the records of a set may be used. */
export interface Lease {
  expiresAtMs: Milliseconds;
}

interface StoredRecord {
  readonly record: HeldRecord;
  readonly changedAt: number;
}

interface StoredDeparture {
  readonly departure: Departure;
  readonly changedAt: number;
  readonly forgetAtMs: Milliseconds;
}

interface Gone {
  readonly id: string;
  readonly changedAt: number;
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
  #gone: Gone[] = [];
  /** Deltas from older versions would miss what is gone. */
  #goneFrom = 0;
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
  record(id: string): HeldRecord | undefined {
    return this.#records.get(id)?.record;
  }

  /** All records. */
  *records(): Generator<HeldRecord> {
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
  put(record: HeldRecord): void {
    this.#version += 1;
    this.#records.set(record.id, { record, changedAt: this.#version });
  }

  /** Notes a renewed announcement with the same content, which is no change. */
  renew(record: HeldRecord): void {
    const stored = this.#records.get(record.id);
    if (stored !== undefined) {
      this.#records.set(record.id, { ...stored, record });
    }
  }

  /** Removes a record as a change. */
  remove(id: string): void {
    if (!this.#records.delete(id)) return;
    this.#version += 1;
    this.#rememberGone({ id, changedAt: this.#version });
  }

  /** Adds a departure as a change. */
  depart(departure: Departure, forgetAtMs: Milliseconds): void {
    this.#version += 1;
    const changedAt = this.#version;
    this.#departures.set(departure.id, { departure, changedAt, forgetAtMs });
  }

  /** Forgets departures whose time is over; no holder can have an older record by then. */
  forgetDepartures(nowMs: Milliseconds): void {
    for (const [id, stored] of this.#departures) {
      if (stored.forgetAtMs <= nowMs) this.#departures.delete(id);
    }
  }

  /** Whether any departure is remembered. */
  hasDepartures(): boolean {
    return this.#departures.size > 0;
  }

  /** Begins the next heartbeat. */
  beat(): void {
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
  extend(header: SetHeader, nowMs: Milliseconds): void {
    if (header.heartbeat <= this.#heartbeat) return;
    this.#heartbeat = header.heartbeat;
    const untilMs = nowMs + header.leaseMs;
    this.lease.expiresAtMs = Math.max(this.lease.expiresAtMs, untilMs);
  }

  /** The changes since a version, or everything where that version is too old. */
  update(since: number, leaseMs: Milliseconds): SetUpdate {
    const from = since < this.#goneFrom ? 0 : since;
    const records: HeldRecord[] = [];
    for (const stored of this.#records.values()) {
      if (stored.changedAt > from) records.push(stored.record);
    }
    const departures: Departure[] = [];
    for (const stored of this.#departures.values()) {
      if (stored.changedAt > from) departures.push(stored.departure);
    }
    const gone = this.#gone.filter((each) => each.changedAt > from);
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
  apply(
    update: SetUpdate,
    times: {
      readonly nowMs: Milliseconds;
      readonly forgetAtMs: Milliseconds;
    },
  ): void {
    const changedAt = update.header.version;
    if (update.since === 0) {
      this.#records.clear();
      this.#gone = [];
      this.#goneFrom = changedAt;
    }
    for (const id of update.gone) {
      this.#records.delete(id);
      this.#rememberGone({ id, changedAt });
    }
    for (const record of update.records) {
      this.#records.set(record.id, { record, changedAt });
    }
    for (const departure of update.departures) {
      const forgetAtMs = times.forgetAtMs;
      this.#departures.set(departure.id, { departure, changedAt, forgetAtMs });
    }
    this.#version = changedAt;
    this.extend(update.header, times.nowMs);
  }

  #rememberGone(gone: Gone): void {
    this.#gone.push(gone);
    if (this.#gone.length <= MAXIMUM_GONE) return;
    const dropped = this.#gone.shift();
    this.#goneFrom = dropped?.changedAt ?? this.#goneFrom;
  }
}
