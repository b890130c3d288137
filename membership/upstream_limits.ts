/**
 * The limits that upstreams name in responses, as entries of the table of upstreams hold them.
 *
 * @module
 */
import { type FleetUpstream, incarnationOf, type Milliseconds } from "#core";
import type { AgedHeartbeat, TableEntry } from "./upstream_entries.ts";

/** Returns the limits of the ready ones of these upstreams, by service and incarnation. */
export function groupLimits(
  upstreams: readonly FleetUpstream[],
): ReadonlyMap<string, ReadonlyMap<string, number>> {
  const limits = new Map<string, Map<string, number>>();
  for (const upstream of upstreams) {
    const { service, requestLimit = null, phase } = upstream;
    if (requestLimit === null || phase !== "ready") continue;
    const ofService = limits.get(service) ?? new Map<string, number>();
    ofService.set(incarnationOf(upstream), requestLimit);
    limits.set(service, ofService);
  }
  return limits;
}

/** A limit as an upstream named it. */
export interface ObservedLimit {
  readonly perSecond: number | null;
  readonly observedMs: Milliseconds;
}

/** Returns the newer one of the limits known for an incarnation and the one that its heartbeat brings, if any. */
export function newerLimit(
  known: TableEntry | undefined,
  beat: AgedHeartbeat,
  nowMs: Milliseconds,
): ObservedLimit | undefined {
  const stored = known?.record.bornMs === beat.record.bornMs
    ? observedLimit(known.record, known.limitObservedMs)
    : undefined;
  const brought = beat.limitAgeMs === undefined
    ? undefined
    : observedLimit(beat.record, nowMs - beat.limitAgeMs);
  if (stored === undefined || brought === undefined) return stored ?? brought;
  return brought.observedMs > stored.observedMs ? brought : stored;
}

function observedLimit(
  record: FleetUpstream,
  observedMs: Milliseconds | null,
): ObservedLimit | undefined {
  const { requestLimit } = record;
  if (requestLimit === undefined || observedMs === null) return undefined;
  return { perSecond: requestLimit, observedMs };
}

/** Returns the part of a record that states a limit, if one is known. */
export function limitField(
  limit: ObservedLimit | undefined,
): Pick<FleetUpstream, "requestLimit"> {
  return limit === undefined ? {} : { requestLimit: limit.perSecond };
}
