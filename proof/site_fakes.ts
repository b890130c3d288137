/**
 * The stand-ins of a test cluster, as flags of `cicadafield-fakes`.
 *
 * @module
 */
import { type SiteOptions, zoneNetwork } from "./site_bundle.ts";

/** One stand-in that listens. */
export interface FakeProcess {
  readonly kind: "engine" | "service" | "weight-store";
  readonly id: string;
  readonly zone: string;
  readonly host: string;
  readonly port: number;
  /** Further flags, such as `["--model", "advice"]`. */
  readonly flags: readonly string[];
}

const FAKE_PORT = 9_000;
const FIRST_ENGINE_HOST = 20;
const SERVICE_HOST = 40;
const STORE_HOST = 60;

/** An address to call a stand-in. */
export function fakeProcessUrl(standIn: FakeProcess): string {
  return `http://${standIn.host}:${standIn.port}`;
}

/** Flags of a stand-in that announces itself to these entry VMs. */
export function fakeProcessArguments(
  standIn: FakeProcess,
  entries: readonly string[],
): readonly string[] {
  return [
    standIn.kind,
    ...["--id", standIn.id, "--zone", standIn.zone],
    ...["--listen-host", standIn.host, "--listen-port", String(standIn.port)],
    ...["--entry", entries.join(",")],
    ...standIn.flags,
  ];
}

/** What the stand-ins of a site are made from. */
export interface SiteFakesOptions
  extends Pick<SiteOptions, "block" | "network" | "zones"> {
  /** Engines of each zone, by model. */
  readonly models: readonly string[];
  /** Further flags of every engine. */
  readonly engineFlags: readonly string[];
}

/** A weight store, and in each zone an engine for each model and a plain service. */
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
  const standIns: FakeProcess[] = [store];
  for (const [place, zone] of site.zones.entries()) {
    const network = zoneNetwork(site, place);
    for (const [row, model] of site.models.entries()) {
      standIns.push({
        kind: "engine",
        id: `engine-${model}-${zone}`,
        zone,
        host: `${network}.${FIRST_ENGINE_HOST + row}`,
        port: FAKE_PORT,
        flags: [
          ...["--model", model, "--weight-store", fakeProcessUrl(store)],
          ...site.engineFlags,
        ],
      });
    }
    standIns.push({
      kind: "service",
      id: `service-${zone}`,
      zone,
      host: `${network}.${SERVICE_HOST}`,
      port: FAKE_PORT,
      flags: ["--services", "cards,lookup,score"],
    });
  }
  return standIns;
}
