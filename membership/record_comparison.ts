/**
 * Comparison of the records and headers of upstreams, and the failures with which announcements are
 * rejected.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import { fail, type Failure, type UpstreamRecord } from "#core";
import type { HomeSet } from "./home_set.ts";
import type { SetHeader, SetRecord } from "./registry_messages.ts";

/** Returns the failure for a request of an incarnation that a later one has replaced. */
export function supersededFailure(known: UpstreamRecord): Failure {
  return fail(
    "conflict",
    `${known.id} already runs as incarnation ${known.incarnation}`,
    { field: "incarnation" },
  );
}

/** Returns the failure for an announcement of an upstream that has left. */
function departedFailure(record: SetRecord): Failure {
  return fail(
    "conflict",
    `${record.id} has left; announce it with a higher incarnation`,
    { field: "incarnation" },
  );
}

/** Whether a header describes an earlier version of a set than the stored copy. */
export function isOlderHeader(
  header: SetHeader,
  copy: { readonly epoch: number; readonly version: number },
): boolean {
  if (header.epoch !== copy.epoch) return header.epoch < copy.epoch;
  return header.version < copy.version;
}

/** Whether two records are equal except for their sequence number. */
export function haveSameContent(a: SetRecord, b: SetRecord): boolean {
  return isDeepStrictEqual({ ...a, sequence: 0 }, { ...b, sequence: 0 });
}

/** Returns why an announcement is rejected, given the known record of the upstream and all sets, or undefined. */
export function rejectionOf(
  record: SetRecord,
  known: UpstreamRecord | undefined,
  sets: readonly HomeSet[],
): Failure | undefined {
  if (known !== undefined && known.incarnation > record.incarnation) {
    return supersededFailure(known);
  }
  for (const set of sets) {
    const departure = set.departure(record.id);
    if (departure === undefined) continue;
    if (departure.incarnation >= record.incarnation) {
      return departedFailure(record);
    }
  }
  return undefined;
}
