/**
 * `npm run bench -- process_cost`: processor time and memory of the real programs: three control VMs and six entry
 * VMs with their stand-ins, idle and under keyed saves.
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
import { median, rounded } from "./statistics.ts";

const SITE = { block: "127.7", network: 61, zones: CLUSTER_DEFAULTS.zones };
const SETTLE_MS: Milliseconds = 5_000;
/** Processor time in the process table is counted in hundredths of a second. */
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
    const idle = await measure(cluster, () => delay(spanMs));
    let saved = 0;
    const busy = await measure(cluster, async () => {
      saved = await saveCards(cluster, spanMs);
    });
    return {
      spanMs,
      idle,
      busy: { savesPerSecond: rounded(saved / spanMs * 1_000), ...busy },
    };
  } finally {
    await cluster.cleanUp();
  }
}

async function measure(
  cluster: ProcessCluster,
  work: () => Promise<void>,
): Promise<BenchFigures> {
  const vms = [...cluster.vms("entry"), ...cluster.vms("control")];
  const before = new Map(vms.map((vm) => [vm.name, usage(cluster, vm.name)]));
  const beganMs = performance.now();
  await work();
  const elapsedMs = performance.now() - beganMs;
  const figures: Record<string, unknown> = {};
  for (const role of ["entry", "control"] as const) {
    const rows = cluster.vms(role).map((vm) => {
      const now = usage(cluster, vm.name);
      const cpuMs = now.cpuMs - (before.get(vm.name)?.cpuMs ?? 0);
      return { corePercent: 100 * cpuMs / elapsedMs, ...now };
    });
    const shares = rows.map((row) => row.corePercent);
    const memory = rows.map((row) => row.memoryMegabytes);
    figures[role] = {
      corePercentMedian: rounded(median(shares)),
      corePercentHighest: rounded(Math.max(...shares)),
      memoryMegabytesHighest: rounded(Math.max(...memory)),
    };
  }
  return figures;
}

/** Saves job cards with a key, one after the other at each entry VM; gives how many were saved. */
async function saveCards(
  cluster: ProcessCluster,
  spanMs: Milliseconds,
): Promise<number> {
  const tana = new Caller(cluster, { tenant: "tana", class: "lookup" });
  const untilMs = performance.now() + spanMs;
  let saved = 0;
  await Promise.all(
    cluster.vms("entry").map(async (vm) => {
      for (let each = 0; performance.now() < untilMs; each += 1) {
        const id = `${vm.name}-${each}`;
        const answer = await tana.service(vm.name, {
          method: "POST",
          service: "cards",
          path: "/cards",
          body: { id },
          key: id,
        });
        if (answer.status === 201) saved += 1;
      }
    }),
  );
  return saved;
}

function usage(cluster: ProcessCluster, vm: string): Usage {
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
