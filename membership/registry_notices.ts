/**
 * Builds the notices of the registry channel.
 *
 * @module
 */
import type { LoadReport, Milliseconds } from "#core";
import type { SentLoad } from "./registry_messages.ts";

/** Loads under this prefix are the sums of a zone. */
export const ZONE_LOAD_PREFIX = "zone:";

const PERCENT = 100;

/** A load as notices carry it. */
export function packLoad(load: LoadReport): SentLoad {
  return {
    id: load.id,
    running: Math.round(load.running),
    waiting: Math.round(load.waiting),
    cachePercent: Math.round(load.cacheUse * PERCENT),
  };
}

/** A load as it came, with the time at which it did. */
export function unpackLoad(
  sent: SentLoad,
  receivedAtMs: Milliseconds,
): LoadReport {
  return {
    id: sent.id,
    running: sent.running,
    waiting: sent.waiting,
    cacheUse: sent.cachePercent / PERCENT,
    receivedAtMs,
  };
}

/** The loads that are sums of a zone. */
export function zoneLoads(
  loads: ReadonlyMap<string, LoadReport>,
): readonly LoadReport[] {
  return [...loads.values()].filter((load) =>
    load.id.startsWith(ZONE_LOAD_PREFIX)
  );
}

/** The sum of the loads of a zone's upstreams; it stands in for them in other zones. */
export function zoneSum(
  loads: ReadonlyMap<string, LoadReport>,
  zone: string,
): SentLoad {
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
