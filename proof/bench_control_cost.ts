/**
 * `npm run bench -- control_cost`: cost of the control traffic of a VM (probes, upstreams with their load, and the
 * watch for bundles) by number of VMs and upstreams. All VMs run in one process over loopback connections, so
 * processor time and heap are divided by the number of VMs; the memory of the whole process is reported as well.
 *
 * @module
 */
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import type { Milliseconds, UpstreamAnnouncement, VmEntry } from "#core";
import type { BenchFigures, BenchOptions } from "./bench.ts";
import { acceptedBundle, benchBundle, type SiteSize } from "./loopback_site.ts";
import { LoopbackVm } from "./loopback_vm.ts";
import { delay, waitUntil } from "./managed_process.ts";
import { fitLine, type Line, median, roundToDigits } from "./statistics.ts";

const START_TIMEOUT_MS: Milliseconds = 60_000;
const SETTLE_MS: Milliseconds = 4_000;
const RENEW_INTERVAL_MS: Milliseconds = 1_000;
const REPORT_INTERVAL_MS: Milliseconds = 500;
const MICROSECONDS_PER_MILLISECOND = 1_000;
const SECOND_MS = 1_000;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Size of a site, with its upstreams. */
interface CostSize extends SiteSize {
  readonly upstreamsPerZone: number;
}

/** The current site first, then sizes in which one number grows at a time. */
const SIZES: readonly CostSize[] = [
  { zones: 3, entriesPerZone: 2, upstreamsPerZone: 0 },
  { zones: 3, entriesPerZone: 2, upstreamsPerZone: 4 },
  { zones: 3, entriesPerZone: 2, upstreamsPerZone: 40 },
  { zones: 3, entriesPerZone: 2, upstreamsPerZone: 155 },
  { zones: 3, entriesPerZone: 10, upstreamsPerZone: 40 },
  { zones: 3, entriesPerZone: 30, upstreamsPerZone: 40 },
  { zones: 3, entriesPerZone: 30, upstreamsPerZone: 155 },
  { zones: 6, entriesPerZone: 10, upstreamsPerZone: 40 },
  { zones: 11, entriesPerZone: 10, upstreamsPerZone: 40 },
];

interface Cost {
  readonly coreShare: number;
  /** Median of the bytes sent per second by an entry VM, which represents an entry VM that is not a relay. */
  readonly entryBytesPerSecond: number;
  /** Bytes sent per second by the entry VM that sends most. */
  readonly relayBytesPerSecond: number;
  readonly controlBytesPerSecond: number;
  readonly heapBytes: number;
}

/** Runs the benchmark. */
export async function run(options: BenchOptions): Promise<BenchFigures> {
  const spanMs = options.quick ? 4_000 : 15_000;
  const sizes = options.quick ? SIZES.slice(0, 3) : SIZES;
  const figures: Record<string, unknown> = { spanMs };
  const costs = new Map<CostSize, Cost>();
  for (const size of sizes) {
    const cost = await measureCost(size, spanMs);
    costs.set(size, cost);
    figures[sizeName(size)] = {
      corePercentPerVm: roundToDigits(cost.coreShare * 100),
      entryBytesPerSecond: Math.round(cost.entryBytesPerSecond),
      relayBytesPerSecond: Math.round(cost.relayBytesPerSecond),
      controlBytesPerSecond: Math.round(cost.controlBytesPerSecond),
      heapKilobytesPerVm: roundToDigits(cost.heapBytes / 1_024),
    };
  }
  return {
    ...figures,
    processRssMegabytes: roundToDigits(process.memoryUsage().rss / 1_048_576),
    slopes: slopes(costs),
  };
}

/** Returns the cost of each further upstream in a zone, for sites with 3 zones and 2 entries per zone. */
function slopes(costs: ReadonlyMap<CostSize, Cost>): BenchFigures {
  const rows = [...costs].filter(([size]) =>
    size.zones === 3 && size.entriesPerZone === 2
  );
  const byUpstreams = (pick: (cost: Cost) => number): Line =>
    fitLine(
      rows.map(([size, cost]) => ({ x: size.upstreamsPerZone, y: pick(cost) })),
    );
  const bytes = byUpstreams((cost) => cost.entryBytesPerSecond);
  const share = byUpstreams((cost) => cost.coreShare * 100);
  const heap = byUpstreams((cost) => cost.heapBytes);
  return {
    entryBytesPerSecondPerUpstream: roundToDigits(bytes.slope),
    entryBytesPerSecondWithoutUpstreams: roundToDigits(bytes.intercept),
    corePercentPerUpstream: roundToDigits(share.slope),
    heapBytesPerUpstream: roundToDigits(heap.slope),
  };
}

function sizeName(size: CostSize): string {
  const { zones, entriesPerZone, upstreamsPerZone } = size;
  return `zones_${zones}_entries_${entriesPerZone}_upstreams_${upstreamsPerZone}`;
}

async function measureCost(
  size: CostSize,
  spanMs: Milliseconds,
): Promise<Cost> {
  const bundle = benchBundle(size);
  const heapBefore = heapBytesAfterCollection();
  const vms = bundle.vms.map((vm, seed) =>
    new LoopbackVm({ vm, bundle, seed, relayed: true, onBundle: () => {} })
  );
  const entries = vms.filter((vm) => vm.vm.role === "entry");
  const controls = vms.filter((vm) => vm.vm.role === "control");
  for (const control of controls) control.publish(acceptedBundle(bundle));
  for (const vm of vms) await vm.start({ withMembership: false });
  const timers: NodeJS.Timeout[] = [];
  try {
    await waitUntil(
      "the first bundle active on every entry VM",
      START_TIMEOUT_MS,
      () => entries.every((vm) => vm.board.read("bundle") !== null),
    );
    for (const vm of vms) vm.startMembership();
    timers.push(...startAnnouncingAll(entries, size.upstreamsPerZone));
    const expectedUpstreams = size.zones * size.upstreamsPerZone;
    await waitUntil(
      "every upstream known to every VM",
      START_TIMEOUT_MS,
      () =>
        vms.every((vm) =>
          vm.board.read("upstreams").size === expectedUpstreams
        ),
    );
    await delay(SETTLE_MS);
    const sentBefore = vms.map((vm) => vm.network.traffic().sentBytes);
    const cpuBefore = process.cpuUsage();
    const startMs = performance.now();
    await delay(spanMs);
    const seconds = (performance.now() - startMs) / SECOND_MS;
    const cpu = process.cpuUsage(cpuBefore);
    const rates = new Map<LoopbackVm, number>();
    for (const [index, vm] of vms.entries()) {
      const sent = vm.network.traffic().sentBytes - (sentBefore[index] ?? 0);
      rates.set(vm, sent / seconds);
    }
    const entryRates = entries.map((vm) => rates.get(vm) ?? 0);
    const cpuMs = (cpu.user + cpu.system) / MICROSECONDS_PER_MILLISECOND;
    return {
      coreShare: cpuMs / (seconds * SECOND_MS) / vms.length,
      entryBytesPerSecond: median(entryRates),
      relayBytesPerSecond: Math.max(...entryRates),
      controlBytesPerSecond: median(controls.map((vm) => rates.get(vm) ?? 0)),
      heapBytes: (heapBytesAfterCollection() - heapBefore) / vms.length,
    };
  } finally {
    for (const timer of timers) clearInterval(timer);
    for (const vm of vms) vm.stop();
    await delay(SETTLE_MS);
  }
}

/**
 * Spreads the upstreams of each zone evenly over its entry VMs, and announces them and reports their load there at an
 * interval. Returns the timers.
 */
function startAnnouncingAll(
  entries: readonly LoopbackVm[],
  perZone: number,
): readonly NodeJS.Timeout[] {
  const timers: NodeJS.Timeout[] = [];
  const zones = new Set(entries.map((vm) => vm.vm.zone));
  for (const zone of zones) {
    const zoneEntries = entries.filter((vm) => vm.vm.zone === zone);
    for (let index = 0; index < perZone; index += 1) {
      const entry = zoneEntries[index % zoneEntries.length];
      if (entry === undefined) continue;
      timers.push(
        ...startAnnouncing(entry, engineAnnouncement(entry.vm, index)),
      );
    }
  }
  return timers;
}

function startAnnouncing(
  entry: LoopbackVm,
  upstream: UpstreamAnnouncement,
): readonly NodeJS.Timeout[] {
  let sequence = 1;
  const announce = (): void => {
    entry.registry.announce({ announcement: upstream, sequence });
    sequence += 1;
  };
  const report = (): void => {
    entry.registry.report({
      id: upstream.id,
      running: sequence % upstream.capacity,
      waiting: 0,
      cacheUse: 0.5,
    });
  };
  announce();
  return [
    setInterval(announce, RENEW_INTERVAL_MS),
    setInterval(report, REPORT_INTERVAL_MS),
  ];
}

function engineAnnouncement(vm: VmEntry, index: number): UpstreamAnnouncement {
  return {
    id: `engine-${vm.zone}-${index}`,
    incarnation: 1,
    zone: vm.zone,
    address: { host: "127.7.250.1", port: 9_000 + index },
    role: "engine",
    serves: [{ model: "advice", version: 1 }],
    services: [],
    capacity: 16,
    enforcesFences: true,
    reportsVersions: true,
  };
}

function heapBytesAfterCollection(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}
