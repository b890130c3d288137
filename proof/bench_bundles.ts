/**
 * `npm run bench -- bundles`: time from the commit of a bundle until it is active on every entry VM, and the bytes that
 * each entry VM sends and receives for it. All VMs run in one process over loopback connections.
 *
 * @module
 */
import type { AcceptedBundle, Milliseconds } from "#core";
import type { BenchFigures, BenchOptions } from "./bench.ts";
import {
  acceptedBundle,
  benchBundle,
  nextBundle,
  type SiteSize,
} from "./loopback_site.ts";
import { LoopbackVm } from "./loopback_vm.ts";
import { delay, waitUntil } from "./managed_process.ts";
import {
  fitLine,
  median,
  type Point,
  quantile,
  roundToDigits,
} from "./statistics.ts";

const SIZES: readonly SiteSize[] = [
  { zones: 3, entriesPerZone: 2 },
  { zones: 3, entriesPerZone: 20 },
  { zones: 11, entriesPerZone: 30 },
];
const START_TIMEOUT_MS: Milliseconds = 60_000;
const ROUND_TIMEOUT_MS: Milliseconds = 30_000;
const ROUND_PAUSE_MS: Milliseconds = 150;

const DISTRIBUTION_MODES = [
  { name: "relayed", relayed: true },
  { name: "direct", relayed: false },
] as const;

interface SizeFigures {
  readonly activationMs: readonly Milliseconds[];
  readonly entryBytes: readonly number[];
  readonly controlBytes: readonly number[];
}

interface Measurement {
  readonly size: SiteSize;
  readonly relayed: boolean;
  readonly rounds: number;
}

/**
 * Runs the benchmark with distribution through the relays of the zones and, as the baseline, with each entry VM reading
 * from the control VM.
 */
export async function run(options: BenchOptions): Promise<BenchFigures> {
  const rounds = options.quick ? 3 : 20;
  const repeats = options.quick ? 1 : 3;
  const sizes = options.quick ? SIZES.slice(0, 2) : SIZES;
  const figures: Record<string, unknown> = { rounds: rounds * repeats };
  const points: Point[] = [];
  for (const size of sizes) {
    const entries = size.zones * size.entriesPerZone;
    const figuresByMode = await measureModes(size, { rounds, repeats });
    const row: Record<string, unknown> = {};
    for (const [name, measured] of figuresByMode) {
      row[name] = summarise(measured);
    }
    figures[`entries_${entries}`] = row;
    const relayed = figuresByMode.get("relayed")?.activationMs ?? [];
    points.push({ x: entries, y: median(relayed) });
  }
  const line = fitLine(points);
  return {
    ...figures,
    slopeMsPerEntry: roundToDigits(line.slope),
    interceptMs: roundToDigits(line.intercept),
  };
}

async function measureModes(
  size: SiteSize,
  counts: { readonly rounds: number; readonly repeats: number },
): Promise<ReadonlyMap<string, SizeFigures>> {
  const figuresByMode = new Map<string, SizeFigures>();
  for (let repeat = 0; repeat < counts.repeats; repeat += 1) {
    for (const { name, relayed } of DISTRIBUTION_MODES) {
      const added = await measureSize({ size, relayed, rounds: counts.rounds });
      const previous = figuresByMode.get(name);
      figuresByMode.set(
        name,
        previous === undefined ? added : mergeFigures(previous, added),
      );
    }
  }
  return figuresByMode;
}

function mergeFigures(one: SizeFigures, other: SizeFigures): SizeFigures {
  return {
    activationMs: [...one.activationMs, ...other.activationMs],
    entryBytes: [...one.entryBytes, ...other.entryBytes],
    controlBytes: [...one.controlBytes, ...other.controlBytes],
  };
}

function summarise(size: SizeFigures): Readonly<Record<string, number>> {
  return {
    inForceP50Ms: roundToDigits(median(size.activationMs)),
    inForceP99Ms: roundToDigits(quantile(size.activationMs, 0.99)),
    bytesPerEntryAndChange: Math.round(median(size.entryBytes)),
    controlBytesPerChange: Math.round(median(size.controlBytes)),
  };
}

async function measureSize(measurement: Measurement): Promise<SizeFigures> {
  const bundle = benchBundle(measurement.size);
  let accepted: AcceptedBundle = acceptedBundle(bundle);
  const activeVersions = new Map<string, number>();
  const vms = bundle.vms.map((vm, seed) =>
    new LoopbackVm({
      vm,
      bundle,
      seed,
      relayed: measurement.relayed,
      onBundle: (name, activated) => {
        activeVersions.set(name, activated.signed.bundle.version);
      },
    })
  );
  const entries = vms.filter((vm) => vm.vm.role === "entry");
  const control = vms.find((vm) => vm.vm.role === "control");
  if (control === undefined) throw new Error("the site has no control VM");
  control.publish(accepted);
  for (const vm of vms) await vm.start({ withMembership: false });
  const isActiveEverywhere = (): boolean => {
    const version = accepted.signed.bundle.version;
    return entries.every((vm) => activeVersions.get(vm.vm.name) === version);
  };
  try {
    await waitUntil(
      "the first bundle active on every entry VM",
      START_TIMEOUT_MS,
      isActiveEverywhere,
    );
    const activationMs: Milliseconds[] = [];
    const entryBytes: number[] = [];
    const controlBytes: number[] = [];
    for (let round = 0; round < measurement.rounds; round += 1) {
      await delay(ROUND_PAUSE_MS);
      const entriesBefore = trafficBytes(entries);
      const controlBefore = trafficBytes([control]);
      accepted = nextBundle(accepted);
      const startMs = performance.now();
      control.publish(accepted);
      await waitForActivation(isActiveEverywhere);
      activationMs.push(performance.now() - startMs);
      entryBytes.push((trafficBytes(entries) - entriesBefore) / entries.length);
      controlBytes.push(trafficBytes([control]) - controlBefore);
    }
    return { activationMs, entryBytes, controlBytes };
  } finally {
    for (const vm of vms) vm.stop();
  }
}

/** Polls without a sleep between checks, because the times to measure are short. */
async function waitForActivation(check: () => boolean): Promise<void> {
  const startMs = performance.now();
  while (!check()) {
    if (performance.now() - startMs > ROUND_TIMEOUT_MS) {
      throw new Error(
        "timed out waiting for a bundle to be active on every entry VM",
      );
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function trafficBytes(vms: readonly LoopbackVm[]): number {
  let bytes = 0;
  for (const vm of vms) {
    const traffic = vm.network.traffic();
    bytes += traffic.sentBytes + traffic.receivedBytes;
  }
  return bytes;
}
