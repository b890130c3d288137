/**
 * Benchmark `memory`: where the memory of a store process goes under a minute of batches, and that of a control process
 * under changes of a large configuration; each at rest, under load, while it saves a snapshot, and at a restart.
 *
 * @module
 */
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import type { BenchFigures, BenchOptions } from "./bench.ts";
import type { MemorySample } from "./memory_samples.ts";

/** The flag of deploy/system.toml. */
const DEPLOY_FLAG = "--max-semi-space-size=4";
const OUTPUT_BYTES = 16_777_216;
const PROGRAMS: Readonly<Record<string, string>> = {
  store: "store_memory_process.js",
  control: "control_memory_process.js",
};

/**
 * Runs the benchmark. Each program runs once as it is deployed, for the peaks, and once with a collection of garbage
 * before each sample, for what is retained; with `quick`, only the former.
 */
export async function run(options: BenchOptions): Promise<BenchFigures> {
  const figures: Record<string, unknown> = {};
  for (const [role, program] of Object.entries(PROGRAMS)) {
    figures[role] = await measure(program, [DEPLOY_FLAG]);
    if (options.quick) continue;
    const flags = [DEPLOY_FLAG, "--expose-gc"];
    figures[`${role}Retained`] = await measure(program, flags);
  }
  return figures;
}

async function measure(
  program: string,
  flags: readonly string[],
): Promise<Readonly<Record<string, readonly MemorySample[]>>> {
  const folder = mkdtempSync(join(tmpdir(), "memory-"));
  const path = fileURLToPath(new URL(program, import.meta.url));
  const samplesOf = async (
    mode: string,
  ): Promise<readonly MemorySample[]> => {
    const { stdout } = await promisify(execFile)(
      process.execPath,
      [...flags, path, folder, mode, "samples"],
      { maxBuffer: OUTPUT_BYTES },
    );
    const report = JSON.parse(stdout) as { samples: readonly MemorySample[] };
    return report.samples;
  };
  try {
    return {
      load: await samplesOf("load"),
      recover: await samplesOf("recover"),
    };
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}
