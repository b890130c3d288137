/**
 * Decides how much work an entry leases: its share of the engine capacity of its availability zone,
 * and some more, so that engines never wait for the next lease.
 *
 * @module
 */
import type { BoardSections, Milliseconds, ReadonlyBoard } from "#core";
import type { StepProgress } from "./ledger_types.ts";

/** Leased samples relative to the number that the engines run concurrently. */
const LEASE_AHEAD_FACTOR = 1.5;
/** Samples leased by an entry whose availability zone has no engine while other zones have some. */
const SAMPLES_WITHOUT_LOCAL_ENGINES = 1;

/** VM and availability zone of an entry. */
export interface EntryLocation {
  readonly vm: string;
  readonly zone: string;
}

/** Returns the number of samples that an entry should have in progress. */
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

/** Returns the number of groups to request, given the target and current number of samples in progress. */
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
