/**
 * `npm run fuzz -- NAME --seed S --runs N`: runs one stateful fuzz model. A model is a module `fuzz_NAME.ts` that
 * exports `fuzz(options: FuzzOptions)`, whose promise rejects with the seed and the shrunk commands when a
 * check fails.
 *
 * @module
 */
import process from "node:process";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { loadNamedModule, moduleNames } from "./named_module.ts";

/** Seed and number of runs of a fuzz model. */
export interface FuzzOptions {
  readonly seed: number;
  readonly runs: number;
}

interface FuzzModule {
  readonly fuzz: (options: FuzzOptions) => Promise<unknown>;
}

async function main(): Promise<number> {
  const { positionals, values } = parseArgs({
    options: {
      seed: { type: "string", default: "1" },
      runs: { type: "string", default: "1000" },
    },
    allowPositionals: true,
  });
  const name = positionals[0];
  const names = await moduleNames("fuzz_");
  if (name === undefined || !names.includes(name)) {
    console.error(
      `usage: npm run fuzz -- NAME --seed S --runs N\nnames: ${
        names.join(", ")
      }`,
    );
    return 2;
  }
  const options = { seed: Number(values.seed), runs: Number(values.runs) };
  const model = await loadNamedModule("fuzz_", name) as FuzzModule;
  try {
    await model.fuzz(options);
  } catch (error) {
    console.error(error instanceof Error ? error.message : String(error));
    console.log(`fuzz ${name}: failed, seed ${options.seed}`);
    return 1;
  }
  console.log(
    `fuzz ${name}: ${options.runs} runs passed, seed ${options.seed}`,
  );
  return 0;
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  process.exit(await main());
}
