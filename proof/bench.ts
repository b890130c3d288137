/**
 * `npm run bench -- NAME [--quick]`: runs one benchmark and prints its result as the last line, in JSON. A benchmark is
 * a module `bench_NAME.ts` that exports `run(options: BenchOptions): Promise<BenchFigures>`.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { cpus } from "node:os";
import process from "node:process";
import { loadNamedModule, moduleNames } from "./named_module.ts";

/** Options of a benchmark run. */
export interface BenchOptions {
  /** Whether to run fewer repeats, to check that the benchmark works; such figures are not for publication. */
  readonly quick: boolean;
}

/** Results of one benchmark; names end in their unit. */
export type BenchFigures = Readonly<Record<string, unknown>>;

interface BenchModule {
  readonly run: (options: BenchOptions) => Promise<BenchFigures>;
}

async function main(): Promise<number> {
  const [name, ...flags] = process.argv.slice(2);
  const names = await moduleNames("bench_");
  if (name === undefined || !names.includes(name)) {
    console.error(
      `usage: npm run bench -- NAME [--quick]\nnames: ${names.join(", ")}`,
    );
    return 2;
  }
  const bench = await loadNamedModule("bench_", name) as BenchModule;
  const commit = execFileSync("git", ["rev-parse", "--short", "HEAD"])
    .toString().trim();
  const figures = await bench.run({ quick: flags.includes("--quick") });
  const machine = { cores: cpus().length, node: process.version };
  console.log(JSON.stringify({ bench: name, commit, machine, ...figures }));
  return 0;
}

process.exit(await main());
