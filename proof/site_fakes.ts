/**
 * The fake engines, services and weight store of a test cluster, run by `cicadafield-fakes`.
 *
 * @module
 */
import { type SiteOptions, zoneNetwork } from "./site_bundle.ts";

/** A process of `cicadafield-fakes` that listens on an address. */
export interface FakeProcess {
  readonly kind: "engine" | "service" | "weight-store";
  readonly id: string;
  readonly zone: string;
  readonly host: string;
  readonly port: number;
  /** Additional flags, such as `["--model", "advice"]`. */
  readonly flags: readonly string[];
}

const FAKE_PORT = 9_000;
const FIRST_ENGINE_HOST = 20;
const SERVICE_HOST = 40;
const STORE_HOST = 60;

/** Returns the base URL of a fake. */
export function fakeProcessUrl(fake: FakeProcess): string {
  return `http://${fake.host}:${fake.port}`;
}

/** Returns the arguments of a fake that registers with the given entry VMs. */
export function fakeProcessArguments(
  fake: FakeProcess,
  entries: readonly string[],
): readonly string[] {
  return [
    fake.kind,
    ...["--id", fake.id, "--zone", fake.zone],
    ...["--listen-host", fake.host, "--listen-port", String(fake.port)],
    ...["--entry", entries.join(",")],
    ...fake.flags,
  ];
}

/** Options of `siteFakes`. */
export interface SiteFakesOptions
  extends Pick<SiteOptions, "block" | "network" | "zones"> {
  /** Models; each zone has one engine for each of them. */
  readonly models: readonly string[];
  /** Additional flags of every engine. */
  readonly engineFlags: readonly string[];
}

/** Returns a weight store, and for each zone one engine for each model and one plain service. */
export function siteFakes(site: SiteFakesOptions): readonly FakeProcess[] {
  const first = site.zones[0] ?? "a";
  const store: FakeProcess = {
    kind: "weight-store",
    id: "store",
    zone: first,
    host: `${zoneNetwork(site, 0)}.${STORE_HOST}`,
    port: FAKE_PORT,
    flags: ["--loads-per-second", "20", "--transfer-ms", "50"],
  };
  const fakes: FakeProcess[] = [store];
  for (const [zoneIndex, zone] of site.zones.entries()) {
    const network = zoneNetwork(site, zoneIndex);
    for (const [modelIndex, model] of site.models.entries()) {
      fakes.push({
        kind: "engine",
        id: `engine-${model}-${zone}`,
        zone,
        host: `${network}.${FIRST_ENGINE_HOST + modelIndex}`,
        port: FAKE_PORT,
        flags: [
          ...["--model", model, "--weight-store", fakeProcessUrl(store)],
          ...site.engineFlags,
        ],
      });
    }
    fakes.push({
      kind: "service",
      id: `service-${zone}`,
      zone,
      host: `${network}.${SERVICE_HOST}`,
      port: FAKE_PORT,
      flags: ["--services", "cards,lookup,score"],
    });
  }
  return fakes;
}
