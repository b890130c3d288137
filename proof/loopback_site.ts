/**
 * Bundles of any size for benchmarks that run many VMs in one process.
 *
 * @module
 */
import { bundleDigest, sampleBundle } from "#bundles";
import type { AcceptedBundle, Bundle } from "#core";

/** First two octets of the addresses that benchmarks use. */
export const BENCH_ADDRESS_BLOCK = "127.7";

/** Size of a site. */
export interface SiteSize {
  readonly zones: number;
  readonly entriesPerZone: number;
}

/** Returns the first bundle of a site with one control VM. */
export function benchBundle(size: SiteSize): Bundle {
  const zones: string[] = [];
  for (let zone = 0; zone < size.zones; zone += 1) {
    zones.push(String.fromCharCode("a".charCodeAt(0) + zone));
  }
  return sampleBundle({
    zones,
    entriesPerZone: size.entriesPerZone,
    controls: 1,
    block: BENCH_ADDRESS_BLOCK,
  });
}

/** Returns a bundle as if a control VM had accepted it, with a placeholder for the signature. */
export function acceptedBundle(bundle: Bundle): AcceptedBundle {
  return {
    signed: { bundle, signer: "awa", signature: "A".repeat(86) + "==" },
    digest: bundleDigest(bundle),
    index: bundle.version,
    acceptedAtMs: bundle.version,
  };
}

/** Returns the next version, which differs in the weight of the tenants only, as most changes are small. */
export function nextBundle(accepted: AcceptedBundle): AcceptedBundle {
  const { bundle } = accepted.signed;
  const version = bundle.version + 1;
  const tenants = bundle.tenants.map((tenant) => ({
    ...tenant,
    weight: 1 + version / 1_000,
  }));
  return acceptedBundle({
    ...bundle,
    version,
    predecessor: accepted.digest,
    tenants,
  });
}
