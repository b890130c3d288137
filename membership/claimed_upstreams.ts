/**
 * Which of several entries holds an identifier or an address that all of them claim.
 *
 * An entry whose service no configuration names, or that lacks the models of its service, is one of another writer or of
 * an upstream that is to be used later: it takes nothing from an upstream that is used now. Of others the later start
 * counts, unless the heartbeats of the earlier one go on while the later one is silent: the clocks of VMs differ, and an
 * address is used again.
 *
 * @module
 */
import type { Address, FleetUpstream } from "#core";
import type { TableEntry, UpstreamEntries } from "./upstream_entries.ts";

/** Whether a record names an upstream to use; see `FleetTable.isUsable`. */
export type IsUsable = (record: FleetUpstream) => boolean;

/** Returns the entry that holds its identifier; undefined if there are none. */
export function holderOfId(
  entries: Iterable<TableEntry>,
  isUsable: IsUsable,
): TableEntry | undefined {
  return holderOf(entries, (entry, other) => {
    const byEvidence = compareEvidence(entry, other, isUsable);
    return byEvidence === 0
      ? isNewer(entry.record, other.record)
      : byEvidence > 0;
  });
}

/** Returns the entry that holds an address, of those that hold their identifiers. */
export function holderOfAddress(
  entries: UpstreamEntries,
  address: Address,
  isUsable: IsUsable,
): TableEntry | undefined {
  const claims: TableEntry[] = [];
  for (const entry of entries.atAddress(address)) {
    const holder = holderOfId(entries.ofId(entry.record.id), isUsable);
    if (holder === entry) claims.push(entry);
  }
  return holderOf(claims, (entry, other) => {
    const byEvidence = compareEvidence(entry, other, isUsable);
    return byEvidence === 0
      ? entry.record.bornMs > other.record.bornMs
      : byEvidence > 0;
  });
}

/** Whether a heartbeat is newer than another one of the same identifier and service. */
export function isNewer(record: FleetUpstream, known: FleetUpstream): boolean {
  if (record.bornMs !== known.bornMs) return record.bornMs > known.bornMs;
  return record.sequence > known.sequence;
}

/** Returns the entry that none of the others displaces; the first one if they are equal. */
function holderOf(
  entries: Iterable<TableEntry>,
  displaces: (entry: TableEntry, holder: TableEntry) => boolean,
): TableEntry | undefined {
  let holder: TableEntry | undefined;
  for (const entry of entries) {
    if (holder === undefined || displaces(entry, holder)) holder = entry;
  }
  return holder;
}

/**
 * Compares what speaks for two entries besides their times of start: positive for the first one, negative for the other,
 * 0 if nothing does.
 */
function compareEvidence(
  entry: TableEntry,
  other: TableEntry,
  isUsable: IsUsable,
): number {
  const byUse = Number(isUsable(entry.record)) -
    Number(isUsable(other.record));
  if (byUse !== 0) return byUse;
  return Number(outlives(entry, other)) - Number(outlives(other, entry));
}

/**
 * Whether two heartbeats of an entry came after the last sign of another one. A single one may have been sent before the
 * other began, and come late.
 */
function outlives(entry: TableEntry, other: TableEntry): boolean {
  const { record: { phase }, previousMs } = entry;
  return phase !== "gone" && previousMs !== null &&
    previousMs > other.receivedMs;
}
