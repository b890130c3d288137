/**
 * How records and headers of upstreams compare, and why an announcement is refused.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import { fail, type Failure, type UpstreamRecord } from "#core";
import type { SetHeader, SetRecord } from "./registry_messages.ts";

/** An announcement of an incarnation that has been replaced. */
export function supersededFailure(known: UpstreamRecord): Failure {
  return fail(
    "conflict",
    `${known.id} runs as incarnation ${known.incarnation}`,
    { field: "incarnation" },
  );
}

/** An announcement of an upstream that has left. */
export function departedFailure(record: SetRecord): Failure {
  return fail(
    "conflict",
    `${record.id} has left; announce it with a higher incarnation`,
    { field: "incarnation" },
  );
}

/** Whether a header tells of an earlier state of a set than the one held. */
export function isOlderHeader(
  header: SetHeader,
  held: { readonly epoch: number; readonly version: number },
): boolean {
  if (header.epoch !== held.epoch) return header.epoch < held.epoch;
  return header.version < held.version;
}

/** Whether two records differ in nothing but their place among the announcements. */
export function haveSameContent(a: SetRecord, b: SetRecord): boolean {
  return isDeepStrictEqual({ ...a, sequence: 0 }, { ...b, sequence: 0 });
}
