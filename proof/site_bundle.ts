/**
 * The bundle of a test site with three availability zones: its entry VMs and control VMs, and the tenants, trainers
 * and services of two workloads.
 *
 * @module
 */
import { generateKeyPairSync, type KeyObject } from "node:crypto";
import { encodePublicKey, sampleBundle, signBundle } from "#bundles";
import type { Bundle, SignedBundle } from "#core";

/** An operator with its key pair. */
export interface TestOperator {
  readonly name: string;
  readonly privateKey: KeyObject;
  readonly publicKey: string;
}

/** Options of `siteBundle`. */
export interface SiteOptions {
  /** First two octets of the addresses, such as `127.7`. */
  readonly block: string;
  /** Third octet of the addresses in the first zone; each further zone adds 1. */
  readonly network: number;
  readonly zones: readonly string[];
  readonly entriesPerZone: number;
  readonly controls: number;
  readonly operators: readonly TestOperator[];
}

/** Returns the first three octets of the addresses in a zone, given by its index. */
export function zoneNetwork(
  site: Pick<SiteOptions, "block" | "network">,
  zoneIndex: number,
): string {
  return `${site.block}.${site.network + zoneIndex}`;
}

/** Creates an operator with a new key pair. */
export function createOperator(name: string): TestOperator {
  const { publicKey, privateKey } = generateKeyPairSync("ed25519");
  return { name, privateKey, publicKey: encodePublicKey(publicKey) };
}

/** Returns the first bundle of a site. */
export function siteBundle(options: SiteOptions): Bundle {
  const sample = sampleBundle({
    cluster: "proof",
    zones: options.zones,
    entriesPerZone: options.entriesPerZone,
    controls: options.controls,
    block: options.block,
    operators: options.operators.map(({ name, publicKey }) => ({
      name,
      publicKey,
    })),
  });
  return {
    ...sample,
    vms: sample.vms.map((vm) => {
      const zoneIndex = options.zones.indexOf(vm.zone);
      const lastOctet = vm.peer.host.split(".").at(-1);
      const host = `${zoneNetwork(options, zoneIndex)}.${lastOctet}`;
      return { ...vm, peer: { ...vm.peer, host }, http: { ...vm.http, host } };
    }),
    models: [
      { name: "advice", servingFloor: 0.5, loadsPerSecond: 20 },
      { name: "draft", servingFloor: 0.5, loadsPerSecond: 20 },
    ],
    services: [
      { name: "cards", idempotentMethods: ["GET", "HEAD"] },
      { name: "lookup", idempotentMethods: ["GET", "HEAD"] },
      { name: "score", idempotentMethods: ["GET", "HEAD", "POST"] },
    ],
    trainers: [
      trainerEntry({ name: "advice-tuning", tenant: "tana", model: "advice" }),
      trainerEntry({ name: "draft-tuning", tenant: "agence", model: "draft" }),
    ],
  };
}

/** Signs a bundle with an operator's key. */
export function signAs(operator: TestOperator, bundle: Bundle): SignedBundle {
  return signBundle(bundle, {
    signer: operator.name,
    privateKey: operator.privateKey,
  });
}

function trainerEntry(
  names: Pick<Bundle["trainers"][number], "name" | "tenant" | "model">,
): Bundle["trainers"][number] {
  return {
    ...names,
    class: "drafting",
    scorer: "score",
    weight: 1,
    maximumStaleness: 2,
  };
}
