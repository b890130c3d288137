/**
 * The upstreams as reported by their heartbeats. Heartbeats can arrive late, twice and in any order, also after
 * their sender has stopped. They are ordered by the start time of the incarnation, then by the sequence number.
 *
 * @module
 */
import type { FleetUpstream, Milliseconds } from "#core";

/** Whether a heartbeat changed the routing, only renewed the upstream, or was outdated. */
export type HeartbeatOutcome = "changed" | "renewed" | "outdated";

interface TableEntry {
  record: FleetUpstream;
  receivedMs: Milliseconds;
  /** Start time of an incarnation that is known to leave, whatever its heartbeats say; null if none is. */
  leavingBornMs: Milliseconds | null;
}

/** A heartbeat with the time that has passed since it was received. */
export interface AgedHeartbeat {
  readonly record: FleetUpstream;
  readonly ageMs: Milliseconds;
}

/** Time limits of the table. */
export interface FleetTableOptions {
  /** Time without a heartbeat after which an upstream receives no work. */
  readonly heartbeatTimeoutMs: Milliseconds;
  /** Time for which the table remembers that an incarnation is gone. */
  readonly retentionMs: Milliseconds;
}

/**
 * Stores the newest heartbeat of each upstream.
 *
 * @example
 * ```ts
 * const table = new FleetTable({ heartbeatTimeoutMs: 4_200, retentionMs: 60_000 });
 * table.recordHeartbeat({ record, ageMs: 0 }, clock.nowMs());
 * const usable = table.listed();
 * ```
 */
export class FleetTable {
  readonly #options: FleetTableOptions;
  readonly #entries = new Map<string, TableEntry>();
  #revision = 0;

  constructor(options: FleetTableOptions) {
    this.#options = options;
  }

  /** A number that increases with each change that affects routing. */
  get revision(): number {
    return this.#revision;
  }

  /** Stores a heartbeat unless a newer one is known. */
  recordHeartbeat(beat: AgedHeartbeat, nowMs: Milliseconds): HeartbeatOutcome {
    const known = this.#entries.get(beat.record.id);
    if (known !== undefined && !isNewer(beat.record, known.record)) {
      return "outdated";
    }
    const leavingBornMs = known?.leavingBornMs ?? null;
    const record = withDeparture(beat.record, leavingBornMs);
    const wasExpired = known !== undefined && this.#isExpired(known, nowMs);
    const receivedMs = nowMs - beat.ageMs;
    this.#entries.set(record.id, { record, receivedMs, leavingBornMs });
    const changed = known === undefined || wasExpired ||
      !sameForRouting(known.record, record);
    if (!changed) return "renewed";
    this.#revision += 1;
    return "changed";
  }

  /**
   * Marks an incarnation, or the newest one if `bornMs` is null, as gone. Does nothing if the upstream is unknown or
   * if a later incarnation is known.
   */
  markGone(id: string, bornMs: Milliseconds | null, nowMs: Milliseconds): void {
    const known = this.#entries.get(id);
    if (known === undefined) return;
    if (bornMs !== null && bornMs < known.record.bornMs) return;
    known.record = {
      ...known.record,
      bornMs: bornMs ?? known.record.bornMs,
      sequence: Number.MAX_SAFE_INTEGER,
      phase: "gone",
    };
    known.receivedMs = nowMs;
    this.#revision += 1;
  }

  /**
   * Marks an incarnation that still sends heartbeats as draining; returns whether that is news. A later incarnation of
   * the same upstream is not affected.
   */
  markDraining(id: string, bornMs: Milliseconds): boolean {
    const known = this.#entries.get(id);
    if (known === undefined || known.record.bornMs !== bornMs) return false;
    if (known.leavingBornMs === bornMs) return false;
    known.leavingBornMs = bornMs;
    if (known.record.phase !== "ready") return false;
    known.record = withDeparture(known.record, bornMs);
    this.#revision += 1;
    return true;
  }

  /** Marks upstreams without a heartbeat in time as gone, and removes those without one for the retention time. */
  expire(nowMs: Milliseconds): void {
    for (const [id, entry] of this.#entries) {
      const ageMs = nowMs - entry.receivedMs;
      if (ageMs > this.#options.retentionMs) this.#entries.delete(id);
      if (entry.record.phase === "gone") continue;
      if (!this.#isExpired(entry, nowMs)) continue;
      entry.record = { ...entry.record, phase: "gone" };
      this.#revision += 1;
    }
  }

  /** Returns the upstreams that are not gone; of several at one address, only the one that started last. */
  listed(): readonly FleetUpstream[] {
    const byAddress = new Map<string, FleetUpstream>();
    for (const { record } of this.#entries.values()) {
      const address = `${record.address.host}:${record.address.port}`;
      const other = byAddress.get(address);
      if (other !== undefined && other.bornMs >= record.bornMs) continue;
      byAddress.set(address, record);
    }
    return [...byAddress.values()].filter((each) => each.phase !== "gone");
  }

  /** Returns all stored heartbeats with their ages, for another control VM. */
  agedHeartbeats(nowMs: Milliseconds): readonly AgedHeartbeat[] {
    const all: AgedHeartbeat[] = [];
    for (const { record, receivedMs } of this.#entries.values()) {
      all.push({ record, ageMs: nowMs - receivedMs });
    }
    return all;
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

function isNewer(record: FleetUpstream, known: FleetUpstream): boolean {
  if (record.bornMs !== known.bornMs) return record.bornMs > known.bornMs;
  return record.sequence > known.sequence;
}

function sameForRouting(a: FleetUpstream, b: FleetUpstream): boolean {
  return a.bornMs === b.bornMs && a.phase === b.phase &&
    a.service === b.service && a.zone === b.zone && a.slots === b.slots &&
    a.address.host === b.address.host && a.address.port === b.address.port &&
    JSON.stringify(a.serves) === JSON.stringify(b.serves);
}
