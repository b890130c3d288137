/**
 * Builds the notices of the registry channel.
 *
 * @module
 */
import type { LoadReport, Milliseconds } from "#core";
import type { EncodedLoad } from "./registry_messages.ts";

/** Loads under this prefix are the sums of a zone. */
export const ZONE_LOAD_PREFIX = "zone:";

const PERCENT = 100;

/** A load as notices carry it. */
export function encodeLoad(load: LoadReport): EncodedLoad {
  return {
    id: load.id,
    running: Math.round(load.running),
    waiting: Math.round(load.waiting),
    cachePercent: Math.round(load.cacheUse * PERCENT),
  };
}

/** A load as it came, with the time at which it did. */
export function decodeLoad(
  encoded: EncodedLoad,
  receivedAtMs: Milliseconds,
): LoadReport {
  return {
    id: encoded.id,
    running: encoded.running,
    waiting: encoded.waiting,
    cacheUse: encoded.cachePercent / PERCENT,
    receivedAtMs,
  };
}

/** The loads that are sums of a zone. */
export function zoneTotals(
  loads: ReadonlyMap<string, LoadReport>,
): readonly LoadReport[] {
  return [...loads.values()].filter((load) =>
    load.id.startsWith(ZONE_LOAD_PREFIX)
  );
}

/** The sum of the loads of a zone's upstreams; it stands in for them in other zones. */
export function zoneTotal(
  loads: ReadonlyMap<string, LoadReport>,
  zone: string,
): EncodedLoad {
  let running = 0;
  let waiting = 0;
  for (const load of loads.values()) {
    if (load.id.startsWith(ZONE_LOAD_PREFIX)) continue;
    running += load.running;
    waiting += load.waiting;
  }
  return {
    id: `${ZONE_LOAD_PREFIX}${zone}`,
    running,
    waiting,
    cachePercent: 0,
  };
}
