/**
 * `npm run bench -- bundles`: time from the commit of a bundle until it is in force on every entry VM, and the bytes
 * that each entry VM sends and receives for it. All VMs run in one process over loopback connections.
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
  rounded,
} from "./statistics.ts";

const SIZES: readonly SiteSize[] = [
  { zones: 3, entriesPerZone: 2 },
  { zones: 3, entriesPerZone: 20 },
  { zones: 11, entriesPerZone: 30 },
];
const START_TIMEOUT_MS: Milliseconds = 60_000;
const ROUND_TIMEOUT_MS: Milliseconds = 30_000;
const PAUSE_MS: Milliseconds = 150;

const WAYS = [
  { name: "relayed", relayed: true },
  { name: "direct", relayed: false },
] as const;

interface SizeFigures {
  readonly inForceMs: readonly Milliseconds[];
  readonly entryBytes: readonly number[];
  readonly controlBytes: readonly number[];
}

interface Measurement {
  readonly size: SiteSize;
  readonly relayed: boolean;
  readonly rounds: number;
}

/** Runs the benchmark: through the relays of the zones, and with every entry VM asking the control VM as baseline. */
export async function run(options: BenchOptions): Promise<BenchFigures> {
  const rounds = options.quick ? 3 : 20;
  const repeats = options.quick ? 1 : 3;
  const sizes = options.quick ? SIZES.slice(0, 2) : SIZES;
  const figures: Record<string, unknown> = { rounds: rounds * repeats };
  const points: Point[] = [];
  for (const size of sizes) {
    const entries = size.zones * size.entriesPerZone;
    const ways = await measureWays(size, { rounds, repeats });
    const row: Record<string, unknown> = {};
    for (const [name, measured] of ways) row[name] = summary(measured);
    figures[`entries_${entries}`] = row;
    const relayed = ways.get("relayed")?.inForceMs ?? [];
    points.push({ x: entries, y: median(relayed) });
  }
  const line = fitLine(points);
  return {
    ...figures,
    slopeMsPerEntry: rounded(line.slope),
    interceptMs: rounded(line.intercept),
  };
}

async function measureWays(
  size: SiteSize,
  counts: { readonly rounds: number; readonly repeats: number },
): Promise<ReadonlyMap<string, SizeFigures>> {
  const ways = new Map<string, SizeFigures>();
  for (let repeat = 0; repeat < counts.repeats; repeat += 1) {
    for (const { name, relayed } of WAYS) {
      const more = await measure({ size, relayed, rounds: counts.rounds });
      const before = ways.get(name);
      ways.set(name, before === undefined ? more : joined(before, more));
    }
  }
  return ways;
}

function joined(one: SizeFigures, other: SizeFigures): SizeFigures {
  return {
    inForceMs: [...one.inForceMs, ...other.inForceMs],
    entryBytes: [...one.entryBytes, ...other.entryBytes],
    controlBytes: [...one.controlBytes, ...other.controlBytes],
  };
}

function summary(size: SizeFigures): Readonly<Record<string, number>> {
  return {
    inForceP50Ms: rounded(median(size.inForceMs)),
    inForceP99Ms: rounded(quantile(size.inForceMs, 0.99)),
    bytesPerEntryAndChange: Math.round(median(size.entryBytes)),
    controlBytesPerChange: Math.round(median(size.controlBytes)),
  };
}

async function measure(measurement: Measurement): Promise<SizeFigures> {
  const bundle = benchBundle(measurement.size);
  let accepted: AcceptedBundle = acceptedBundle(bundle);
  const held = new Map<string, number>();
  const vms = bundle.vms.map((vm, seed) =>
    new LoopbackVm({
      vm,
      bundle,
      seed,
      relayed: measurement.relayed,
      onBundle: (name, taken) => {
        held.set(name, taken.signed.bundle.version);
      },
    })
  );
  const entries = vms.filter((vm) => vm.vm.role === "entry");
  const control = vms.find((vm) => vm.vm.role === "control");
  if (control === undefined) throw new Error("the site has no control VM");
  control.offer(accepted);
  for (const vm of vms) await vm.start({ talking: false });
  const allHold = (): boolean => {
    const version = accepted.signed.bundle.version;
    return entries.every((vm) => held.get(vm.vm.name) === version);
  };
  try {
    await waitUntil("the first bundle in force", START_TIMEOUT_MS, allHold);
    const inForceMs: Milliseconds[] = [];
    const entryBytes: number[] = [];
    const controlBytes: number[] = [];
    for (let round = 0; round < measurement.rounds; round += 1) {
      await delay(PAUSE_MS);
      const entriesBefore = bytesOf(entries);
      const controlBefore = bytesOf([control]);
      accepted = nextBundle(accepted);
      const beganMs = performance.now();
      control.offer(accepted);
      await settled(allHold);
      inForceMs.push(performance.now() - beganMs);
      entryBytes.push((bytesOf(entries) - entriesBefore) / entries.length);
      controlBytes.push(bytesOf([control]) - controlBefore);
    }
    return { inForceMs, entryBytes, controlBytes };
  } finally {
    for (const vm of vms) vm.stop();
  }
}

/** Waits without a pause between checks, since the times measured are short. */
async function settled(check: () => boolean): Promise<void> {
  const beganMs = performance.now();
  while (!check()) {
    if (performance.now() - beganMs > ROUND_TIMEOUT_MS) {
      throw new Error("a bundle was not in force everywhere in time");
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
}

function bytesOf(vms: readonly LoopbackVm[]): number {
  let bytes = 0;
  for (const vm of vms) {
    const traffic = vm.network.traffic();
    bytes += traffic.sentBytes + traffic.receivedBytes;
  }
  return bytes;
}
