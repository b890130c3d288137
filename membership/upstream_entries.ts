/**
 * The stored heartbeats, by the identifier and the service that they name, and by whether they name models. Another writer can use the identifier or the
 * address of an upstream, so that several entries may claim one; none of them replaces another.
 *
 * @module
 */
import type { Address, FleetUpstream, Milliseconds } from "#core";

/** A heartbeat with the time that has passed since it was received. */
export interface AgedHeartbeat {
  readonly record: FleetUpstream;
  readonly ageMs: Milliseconds;
  /** Time since a response named the limit in the record; absent if there is none, and in earlier builds. */
  readonly limitAgeMs?: Milliseconds;
}

/** The newest heartbeat of one identifier and service, with or without models. */
export interface TableEntry {
  record: FleetUpstream;
  receivedMs: Milliseconds;
  /** When the heartbeat of this incarnation before that was received; null if there was none. */
  previousMs: Milliseconds | null;
  /** Start time of an incarnation that is known to leave, whatever its heartbeats say; null if none is. */
  leavingBornMs: Milliseconds | null;
  /** When a response last named the limit in the record; null if none is known. */
  limitObservedMs: Milliseconds | null;
}

const NO_ENTRIES: ReadonlySet<TableEntry> = new Set();

/** Stores entries. */
export class UpstreamEntries {
  readonly #entries = new Map<string, TableEntry>();
  readonly #byId = new Map<string, Set<TableEntry>>();
  readonly #byAddress = new Map<string, Set<TableEntry>>();

  /** Returns the entry that a record belongs to. */
  find(record: FleetUpstream): TableEntry | undefined {
    return this.#entries.get(keyOf(record));
  }

  /** Adds an entry, in place of the one that its record belongs to. */
  set(entry: TableEntry): void {
    const replaced = this.find(entry.record);
    if (replaced !== undefined) this.delete(replaced);
    const { id, address } = entry.record;
    this.#entries.set(keyOf(entry.record), entry);
    addTo(this.#byId, id, entry);
    addTo(this.#byAddress, hostAndPort(address), entry);
  }

  delete(entry: TableEntry): void {
    const { id, address } = entry.record;
    this.#entries.delete(keyOf(entry.record));
    removeFrom(this.#byId, id, entry);
    removeFrom(this.#byAddress, hostAndPort(address), entry);
  }

  all(): Iterable<TableEntry> {
    return this.#entries.values();
  }

  /** Returns the entries that claim an identifier. */
  ofId(id: string): ReadonlySet<TableEntry> {
    return this.#byId.get(id) ?? NO_ENTRIES;
  }

  /** Returns the entries that claim an address. */
  atAddress(address: Address): ReadonlySet<TableEntry> {
    return this.#byAddress.get(hostAndPort(address)) ?? NO_ENTRIES;
  }
}

/** Identifiers contain no spaces. An entry without models may lack them since it is another writer's. */
function keyOf({ id, service, serves }: FleetUpstream): string {
  const kind = serves.length > 0 ? "models" : "plain";
  return `${id} ${kind} ${service}`;
}

function hostAndPort({ host, port }: Address): string {
  return `${host}:${port}`;
}

function addTo(
  index: Map<string, Set<TableEntry>>,
  key: string,
  entry: TableEntry,
): void {
  const entries = index.get(key);
  if (entries === undefined) index.set(key, new Set([entry]));
  else entries.add(entry);
}

function removeFrom(
  index: Map<string, Set<TableEntry>>,
  key: string,
  entry: TableEntry,
): void {
  const entries = index.get(key);
  entries?.delete(entry);
  if (entries?.size === 0) index.delete(key);
}
