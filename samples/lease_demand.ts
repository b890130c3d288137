/**
 * How much work an entry takes on: its share of its zone's engines, and a little more so that they
 * never wait for the next lease.
 *
 * @module
 */
import type { BoardSections, Milliseconds, ReadonlyBoard } from "#core";
import type { StepProgress } from "./ledger_types.ts";

/** Work taken on relative to what the engines run at once. */
const LEASE_AHEAD_FACTOR = 1.5;
/** Samples taken on by an entry whose zone has no engine while others have. */
const SAMPLES_WITHOUT_LOCAL_ENGINES = 1;

/** Where an entry stands. */
export interface EntryLocation {
  readonly vm: string;
  readonly zone: string;
}

/** Counts the samples that an entry should have in work. */
export function targetSamplesInWork(
  board: ReadonlyBoard<BoardSections>,
  location: EntryLocation,
  nowMs: Milliseconds,
): number {
  let local = 0;
  let remote = 0;
  for (const upstream of board.read("upstreams").values()) {
    if (upstream.role !== "engine" || upstream.leaving) continue;
    if (upstream.expiresAtMs <= nowMs) continue;
    if (upstream.zone === location.zone) local += upstream.capacity;
    else remote += upstream.capacity;
  }
  if (local === 0) return remote > 0 ? SAMPLES_WITHOUT_LOCAL_ENGINES : 0;
  return Math.ceil(
    LEASE_AHEAD_FACTOR * local / countZoneEntries(board, location),
  );
}

/** How many groups to ask for, given the samples wanted and those in work. */
export function groupsToLease(
  progress: readonly StepProgress[],
  targetSamples: number,
  inWork: number,
): number {
  if (inWork >= targetSamples) return 0;
  let smallestGroupSize = Number.MAX_SAFE_INTEGER;
  for (const step of progress) {
    smallestGroupSize = Math.min(smallestGroupSize, step.groupSize);
  }
  return Math.ceil((targetSamples - inWork) / smallestGroupSize);
}

function countZoneEntries(
  board: ReadonlyBoard<BoardSections>,
  location: EntryLocation,
): number {
  const vms = board.read("bundle")?.signed.bundle.vms ?? [];
  const members = board.read("members");
  let count = 0;
  for (const vm of vms) {
    if (vm.role !== "entry" || vm.zone !== location.zone) continue;
    const state = members.get(vm.name)?.state ?? "alive";
    if (vm.name === location.vm || state !== "unreachable") count += 1;
  }
  return Math.max(1, count);
}
