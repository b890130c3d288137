/**
 * A small valid bundle for tests and benchmarks, and as a template for operators.
 *
 * @module
 */
import type { Bundle, VmEntry } from "#core";

/** Options of `sampleBundle`; fields that are left out have defaults. */
export interface SampleBundleOptions {
  readonly cluster?: string;
  readonly version?: number;
  readonly predecessor?: string | null;
  readonly zones?: readonly string[];
  readonly entriesPerZone?: number;
  readonly controls?: number;
  /** First two numbers of the addresses, such as `127.1`. */
  readonly block?: string;
  readonly operators?: Bundle["operators"];
}

const PEER_PORT = 7_000;
const HTTP_PORT = 8_000;
const CONTROL_PEER_PORT = 7_100;
const CONTROL_HTTP_PORT = 8_100;

/**
 * Creates a bundle with entry VMs in every zone, and control VMs spread over the zones.
 *
 * @example
 * ```ts
 * const bundle = sampleBundle({ zones: ["a", "b", "c"], entriesPerZone: 2, controls: 3 });
 * ```
 */
export function sampleBundle(options: SampleBundleOptions = {}): Bundle {
  const zones = options.zones ?? ["a", "b", "c"];
  return {
    schema: 1,
    cluster: options.cluster ?? "sample",
    version: options.version ?? 1,
    predecessor: options.predecessor ?? null,
    zones: zones.map((name) => ({ name, region: "home" })),
    vms: sampleVms({ ...options, zones }),
    tenants: [
      { name: "agence", weight: 1, maximumOutstanding: 4_096 },
      { name: "tana", weight: 1, maximumOutstanding: 4_096 },
    ],
    classes: [
      {
        name: "drafting",
        rank: 0,
        floor: 0.5,
        maximumQueued: 4_096,
        defaultDeadlineMs: 120_000,
      },
      {
        name: "lookup",
        rank: 1,
        floor: 0.05,
        maximumQueued: 256,
        defaultDeadlineMs: 5_000,
      },
    ],
    models: [{ name: "advice", servingFloor: 0.5, loadsPerSecond: 4 }],
    services: [
      { name: "cards", idempotentMethods: ["GET", "HEAD"] },
      { name: "score", idempotentMethods: ["GET", "HEAD", "POST"] },
    ],
    trainers: [{
      name: "tuner",
      tenant: "tana",
      class: "drafting",
      model: "advice",
      scorer: "score",
      weight: 1,
      maximumStaleness: 1,
    }],
    operators: options.operators ??
      [{ name: "awa", publicKey: "A".repeat(43) + "=" }],
    limits: {
      bodyBytes: 1_048_576,
      answerBytes: 8_388_608,
      claimRetentionMs: 3_600_000,
      claimsStored: 10_000,
      upstreamLeaseMs: 6_000,
    },
  };
}

function sampleVms(
  options: SampleBundleOptions & { readonly zones: readonly string[] },
): readonly VmEntry[] {
  const block = options.block ?? "127.1";
  const vms: VmEntry[] = [];
  for (const [zone, name] of options.zones.entries()) {
    for (let number = 1; number <= (options.entriesPerZone ?? 2); number += 1) {
      const host = `${block}.${zone + 1}.${number}`;
      vms.push({
        name: `entry-${name}${number}`,
        zone: name,
        role: "entry",
        peer: { host, port: PEER_PORT },
        http: { host, port: HTTP_PORT },
      });
    }
  }
  for (let index = 0; index < (options.controls ?? 3); index += 1) {
    const zone = index % options.zones.length;
    const row = Math.floor(index / options.zones.length) + 1;
    const host = `${block}.${zone + 1}.${row}`;
    vms.push({
      name: `control-${options.zones[zone]}${row}`,
      zone: options.zones[zone] ?? "",
      role: "control",
      peer: { host, port: CONTROL_PEER_PORT },
      http: { host, port: CONTROL_HTTP_PORT },
    });
  }
  return vms;
}
