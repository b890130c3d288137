/**
 * `npm run bench -- process_cost`: processor time and memory of the real programs of three control VMs and six entry
 * VMs with their fakes, idle and under POST requests with an idempotency key.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import type { Milliseconds } from "#core";
import type { BenchFigures, BenchOptions } from "./bench.ts";
import { Caller } from "./caller.ts";
import { delay } from "./managed_process.ts";
import { CLUSTER_DEFAULTS, ProcessCluster } from "./process_cluster.ts";
import { siteFakes } from "./site_fakes.ts";
import { median, roundToDigits } from "./statistics.ts";

const SITE = { block: "127.7", network: 61, zones: CLUSTER_DEFAULTS.zones };
const SETTLE_MS: Milliseconds = 5_000;
/** Linux reports processor time in `/proc` in clock ticks of a hundredth of a second. */
const TICK_MS: Milliseconds = 10;
const KIBIBYTES_PER_MEBIBYTE = 1_024;

interface Usage {
  readonly cpuMs: Milliseconds;
  readonly memoryMegabytes: number;
}

/** Runs the benchmark. */
export async function run(options: BenchOptions): Promise<BenchFigures> {
  const spanMs = options.quick ? 3_000 : 20_000;
  const cluster = await ProcessCluster.start({
    ...CLUSTER_DEFAULTS,
    ...SITE,
    fakes: siteFakes({ ...SITE, models: ["draft"], engineFlags: [] }),
  });
  try {
    await cluster.waitForUpstreams(7);
    await delay(SETTLE_MS);
    const idle = await measureUsage(cluster, () => delay(spanMs));
    let saved = 0;
    const busy = await measureUsage(cluster, async () => {
      saved = await saveCards(cluster, spanMs);
    });
    return {
      spanMs,
      idle,
      busy: { savesPerSecond: roundToDigits(saved / spanMs * 1_000), ...busy },
    };
  } finally {
    await cluster.cleanUp();
  }
}

async function measureUsage(
  cluster: ProcessCluster,
  work: () => Promise<void>,
): Promise<BenchFigures> {
  const vms = [...cluster.vms("entry"), ...cluster.vms("control")];
  const before = new Map(
    vms.map((vm) => [vm.name, readUsage(cluster, vm.name)]),
  );
  const startMs = performance.now();
  await work();
  const elapsedMs = performance.now() - startMs;
  const figures: Record<string, unknown> = {};
  for (const role of ["entry", "control"] as const) {
    const rows = cluster.vms(role).map((vm) => {
      const current = readUsage(cluster, vm.name);
      const cpuMs = current.cpuMs - (before.get(vm.name)?.cpuMs ?? 0);
      return { corePercent: 100 * cpuMs / elapsedMs, ...current };
    });
    const shares = rows.map((row) => row.corePercent);
    const memory = rows.map((row) => row.memoryMegabytes);
    figures[role] = {
      corePercentMedian: roundToDigits(median(shares)),
      corePercentHighest: roundToDigits(Math.max(...shares)),
      memoryMegabytesHighest: roundToDigits(Math.max(...memory)),
    };
  }
  return figures;
}

/** Saves job cards with an idempotency key, one at a time at each entry VM, and returns how many were saved. */
async function saveCards(
  cluster: ProcessCluster,
  spanMs: Milliseconds,
): Promise<number> {
  const tana = new Caller(cluster, { tenant: "tana", class: "lookup" });
  const untilMs = performance.now() + spanMs;
  let saved = 0;
  await Promise.all(
    cluster.vms("entry").map(async (vm) => {
      for (let index = 0; performance.now() < untilMs; index += 1) {
        const id = `${vm.name}-${index}`;
        const response = await tana.service(vm.name, {
          method: "POST",
          service: "cards",
          path: "/cards",
          body: { id },
          key: id,
        });
        if (response.status === 201) saved += 1;
      }
    }),
  );
  return saved;
}

function readUsage(cluster: ProcessCluster, vm: string): Usage {
  const folder = `/proc/${cluster.process(vm).processId}`;
  const fields = readFileSync(`${folder}/stat`, "utf8").split(") ")[1]
    ?.split(" ") ?? [];
  const ticks = Number(fields[11]) + Number(fields[12]);
  const resident = /VmRSS:\s+(\d+) kB/.exec(
    readFileSync(`${folder}/status`, "utf8"),
  );
  return {
    cpuMs: ticks * TICK_MS,
    memoryMegabytes: Number(resident?.[1] ?? 0) / KIBIBYTES_PER_MEBIBYTE,
  };
}
