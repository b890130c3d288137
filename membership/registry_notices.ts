/**
 * Builds the notices of the registry channel.
 *
 * @module
 */
import type { LoadReport } from "#core";
import type { RegistryNotice, SetHeader } from "./registry_messages.ts";

/** Loads under this prefix are the sums of a zone. */
export const ZONE_LOAD_PREFIX = "zone:";

/** A load as notices carry it: the receiver notes its own time. */
export type SentLoad = Omit<LoadReport, "receivedAtMs">;

/** A notice of set headers and loads. */
export function headersNotice(
  headers: readonly SetHeader[],
  loads: readonly SentLoad[],
): RegistryNotice {
  return {
    kind: "headers",
    headers,
    loads: loads.map(({ id, running, waiting, cacheUse }) => ({
      id,
      running,
      waiting,
      cacheUse,
    })),
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
  return { id: `${ZONE_LOAD_PREFIX}${zone}`, running, waiting, cacheUse: 0 };
}
