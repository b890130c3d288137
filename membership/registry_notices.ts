/**
 * Encodes and decodes the loads in the notices of the registry channel.
 *
 * @module
 */
import type { LoadReport, Milliseconds } from "#core";
import type { EncodedLoad } from "./registry_messages.ts";

/** Prefix of the identifier of a load that is the total of a zone. */
export const ZONE_LOAD_PREFIX = "zone:";

const PERCENT = 100;

/** Encodes a load for a notice. */
export function encodeLoad(load: LoadReport): EncodedLoad {
  return {
    id: load.id,
    running: Math.round(load.running),
    waiting: Math.round(load.waiting),
    cachePercent: Math.round(load.cacheUse * PERCENT),
  };
}

/** Decodes a load from a notice that arrived at `receivedAtMs`. */
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

/** Returns the loads that are totals of a zone. */
export function selectZoneTotals(
  loads: ReadonlyMap<string, LoadReport>,
): readonly LoadReport[] {
  return [...loads.values()].filter((load) =>
    load.id.startsWith(ZONE_LOAD_PREFIX)
  );
}

/** Returns the total load of a zone's upstreams, which other zones receive instead of each load. */
export function computeZoneTotal(
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
