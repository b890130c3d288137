/**
 * How much work an entry takes on: its share of its zone's engines, and a little more so that they
 * never wait for the next lease.
 *
 * @module
 */
import type { BoardSections, Milliseconds, ReadonlyBoard } from "#core";
import type { StepProgress } from "./ledger_types.ts";

/** Work taken on relative to what the engines run at once. */
const AHEAD = 1.5;
/** Samples taken on by an entry whose zone has no engine while others have. */
const WITHOUT_ENGINES = 1;

/** Where an entry stands. */
export interface EntryPlace {
  readonly vm: string;
  readonly zone: string;
}

/** Counts the samples that an entry should have in work. */
export function wantedSamples(
  board: ReadonlyBoard<BoardSections>,
  place: EntryPlace,
  nowMs: Milliseconds,
): number {
  let own = 0;
  let other = 0;
  for (const upstream of board.read("upstreams").values()) {
    if (upstream.role !== "engine" || upstream.leaving) continue;
    if (upstream.expiresAtMs <= nowMs) continue;
    if (upstream.zone === place.zone) own += upstream.capacity;
    else other += upstream.capacity;
  }
  if (own === 0) return other > 0 ? WITHOUT_ENGINES : 0;
  return Math.ceil(AHEAD * own / entriesOfZone(board, place));
}

/** How many groups to ask for, given the samples wanted and those in work. */
export function groupsToLease(
  progress: readonly StepProgress[],
  wanted: number,
  inWork: number,
): number {
  if (inWork >= wanted) return 0;
  let smallest = Number.MAX_SAFE_INTEGER;
  for (const step of progress) {
    smallest = Math.min(smallest, step.groupSize);
  }
  return Math.ceil((wanted - inWork) / smallest);
}

function entriesOfZone(
  board: ReadonlyBoard<BoardSections>,
  place: EntryPlace,
): number {
  const vms = board.read("bundle")?.signed.bundle.vms ?? [];
  const members = board.read("members");
  let count = 0;
  for (const vm of vms) {
    if (vm.role !== "entry" || vm.zone !== place.zone) continue;
    const state = members.get(vm.name)?.state ?? "alive";
    if (vm.name === place.vm || state !== "unreachable") count += 1;
  }
  return Math.max(1, count);
}
