/**
 * Merges the sets of all homes into one view of all upstreams.
 *
 * @module
 */
import type { Milliseconds, UpstreamRecord } from "#core";
import { type HomeSet, isNewer, type Lease } from "./home_set.ts";
import type { SetRecord } from "./registry_messages.ts";

/** Record of an upstream whose lease is renewed by the heartbeats of its home. */
class RegistryRecord implements UpstreamRecord {
  readonly id: string;
  readonly incarnation: number;
  readonly zone: string;
  readonly address: UpstreamRecord["address"];
  readonly role: UpstreamRecord["role"];
  readonly serves: UpstreamRecord["serves"];
  readonly services: readonly string[];
  readonly capacity: number;
  readonly enforcesFences: boolean;
  readonly reportsVersions: boolean;
  readonly sequence: number;
  readonly #lease: Lease;

  constructor(
    record: SetRecord,
    lease: Lease,
    readonly leaving: boolean,
  ) {
    this.id = record.id;
    this.incarnation = record.incarnation;
    this.zone = record.zone;
    this.address = record.address;
    this.role = record.role;
    this.serves = record.serves;
    this.services = record.services;
    this.capacity = record.capacity;
    this.enforcesFences = record.enforcesFences;
    this.reportsVersions = record.reportsVersions;
    this.sequence = record.sequence;
    this.#lease = lease;
  }

  get expiresAtMs(): Milliseconds {
    return this.#lease.expiresAtMs;
  }
}

/** Returns the record without its lease, as a home set stores it. */
export function toSetRecord(record: UpstreamRecord): SetRecord {
  return {
    id: record.id,
    incarnation: record.incarnation,
    zone: record.zone,
    address: record.address,
    role: record.role,
    serves: record.serves,
    services: record.services,
    capacity: record.capacity,
    enforcesFences: record.enforcesFences,
    reportsVersions: record.reportsVersions,
    sequence: record.sequence,
  };
}

/**
 * Merges sets. The latest announcement of each upstream wins; a departure of the same or a later
 * incarnation marks it as leaving.
 */
export function mergeSets(
  sets: readonly HomeSet[],
  leaseOf: (set: HomeSet, id: string) => Lease,
): ReadonlyMap<string, UpstreamRecord> {
  const latest = new Map<string, { record: SetRecord; lease: Lease }>();
  const departedIncarnations = new Map<string, number>();
  for (const set of sets) {
    for (const record of set.records()) {
      const other = latest.get(record.id);
      if (other !== undefined && !isNewer(record, other.record)) continue;
      latest.set(record.id, { record, lease: leaseOf(set, record.id) });
    }
    for (const { id, incarnation } of set.departures()) {
      departedIncarnations.set(
        id,
        Math.max(departedIncarnations.get(id) ?? 0, incarnation),
      );
    }
  }
  const view = new Map<string, UpstreamRecord>();
  for (const [id, { record, lease }] of latest) {
    const leaving = (departedIncarnations.get(id) ?? -1) >= record.incarnation;
    view.set(id, new RegistryRecord(record, lease, leaving));
  }
  return view;
}
