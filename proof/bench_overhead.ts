/**
 * What an entry VM adds to a call of a plain service: requests a second and latency through the program against the
 * direct call of the stand-in, over kept connections, in the same run.
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
const WARM_UP = 200;
const CONCURRENCY = [1, 16] as const;
const TIMEOUT_MS = 30_000;

/** Runs the benchmark. */
export async function run(options: BenchOptions): Promise<BenchFigures> {
  const standIns = siteFakes({ ...SITE, models: [], engineFlags: [] });
  const service = standIns.find((each) => each.kind === "service");
  if (service === undefined) throw new Error("there is no service");
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
        await measure(target, { calls: WARM_UP, concurrency });
        const measured = await measure(target, { calls, concurrency });
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

async function measure(
  target: { readonly baseUrl: string; readonly path: string },
  options: { readonly calls: number; readonly concurrency: number },
): Promise<Readonly<Record<string, number>>> {
  const client = new JsonClient();
  const times: number[] = [];
  let left = options.calls;
  const begin = performance.now();
  const work = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      const sent = performance.now();
      const answer = await client.send({
        ...target,
        method: "GET",
        headers: {
          "cicadafield-tenant": "tana",
          "cicadafield-class": "lookup",
        },
        timeoutMs: TIMEOUT_MS,
      });
      if (answer.status !== 200) {
        throw new Error(`${target.path}: ${answer.status} ${answer.text}`);
      }
      times.push(performance.now() - sent);
    }
  };
  await Promise.all(Array.from({ length: options.concurrency }, work));
  const seconds = (performance.now() - begin) / 1_000;
  client.close();
  times.sort((a, b) => a - b);
  return {
    requests_per_second: Math.round(options.calls / seconds),
    p50_ms: round(times[Math.floor(times.length * 0.5)] ?? 0),
    p99_ms: round(times[Math.floor(times.length * 0.99)] ?? 0),
  };
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
