/**
 * `npm run bench -- overhead`: the latency that an entry VM adds to a call of a plain service: throughput and latency
 * through the entry program against direct calls to the fake service, over keep-alive connections, in the same run.
 *
 * @module
 */
import { JsonClient } from "#fakes";
import type { BenchFigures, BenchOptions } from "./bench.ts";
import { CLUSTER_DEFAULTS, ProcessCluster } from "./process_cluster.ts";
import { fakeProcessUrl, siteFakes } from "./site_fakes.ts";

const SITE = { block: "127.5", network: 41, zones: ["a"] } as const;
const CALLS = 4_000;
const QUICK_CALLS = 400;
const WARM_UP_CALLS = 200;
const CONCURRENCY = [1, 16] as const;
const TIMEOUT_MS = 30_000;

/** Runs the benchmark. */
export async function run(options: BenchOptions): Promise<BenchFigures> {
  const standIns = siteFakes({ ...SITE, models: [], engineFlags: [] });
  const service = standIns.find((each) => each.kind === "service");
  if (service === undefined) {
    throw new Error("the fakes of the site include no service");
  }
  const cluster = await ProcessCluster.start({
    ...CLUSTER_DEFAULTS,
    ...SITE,
    entriesPerZone: 1,
    controls: 1,
    fakes: standIns,
  });
  try {
    await cluster.waitForUpstreams(2);
    const calls = options.quick ? QUICK_CALLS : CALLS;
    const figures: Record<string, number> = {};
    for (const concurrency of CONCURRENCY) {
      const targets = {
        direct: { baseUrl: fakeProcessUrl(service), path: "/item" },
        entry: {
          baseUrl: cluster.baseUrl("entry-a1"),
          path: "/services/lookup/item",
        },
      };
      for (const [name, target] of Object.entries(targets)) {
        await measureTarget(target, { calls: WARM_UP_CALLS, concurrency });
        const measured = await measureTarget(target, { calls, concurrency });
        for (const [key, value] of Object.entries(measured)) {
          figures[`${name}_${key}_at_${concurrency}`] = value;
        }
      }
      const added = (figures[`entry_p50_ms_at_${concurrency}`] ?? 0) -
        (figures[`direct_p50_ms_at_${concurrency}`] ?? 0);
      figures[`added_p50_ms_at_${concurrency}`] = round(added);
    }
    return { calls, ...figures };
  } finally {
    await cluster.cleanUp();
  }
}

async function measureTarget(
  target: { readonly baseUrl: string; readonly path: string },
  options: { readonly calls: number; readonly concurrency: number },
): Promise<Readonly<Record<string, number>>> {
  const client = new JsonClient();
  const latenciesMs: number[] = [];
  let remainingCalls = options.calls;
  const startMs = performance.now();
  const runCaller = async (): Promise<void> => {
    while (remainingCalls > 0) {
      remainingCalls -= 1;
      const sentMs = performance.now();
      const response = await client.send({
        ...target,
        method: "GET",
        headers: {
          "cicadafield-tenant": "tana",
          "cicadafield-class": "lookup",
        },
        timeoutMs: TIMEOUT_MS,
      });
      if (response.status !== 200) {
        throw new Error(`${target.path}: ${response.status} ${response.text}`);
      }
      latenciesMs.push(performance.now() - sentMs);
    }
  };
  await Promise.all(Array.from({ length: options.concurrency }, runCaller));
  const seconds = (performance.now() - startMs) / 1_000;
  client.close();
  latenciesMs.sort((a, b) => a - b);
  return {
    requests_per_second: Math.round(options.calls / seconds),
    p50_ms: round(latenciesMs[Math.floor(latenciesMs.length * 0.5)] ?? 0),
    p99_ms: round(latenciesMs[Math.floor(latenciesMs.length * 0.99)] ?? 0),
  };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
