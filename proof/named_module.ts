/**
 * Finds the module of a benchmark or a fuzz run by its name: `bench_NAME.js` or `fuzz_NAME.js` beside
 * this file.
 *
 * @module
 */
import { readdir } from "node:fs/promises";
import { dirname, join } from "node:path";
import { fileURLToPath, pathToFileURL } from "node:url";

const MODULE_FOLDER = dirname(fileURLToPath(import.meta.url));

/** The names for which there is a module with this prefix. */
export async function moduleNames(prefix: string): Promise<readonly string[]> {
  const files = await readdir(MODULE_FOLDER);
  return files
    .filter((file) => file.startsWith(prefix) && file.endsWith(".js"))
    .filter((file) => !file.endsWith("_test.js"))
    .map((file) => file.slice(prefix.length, -".js".length))
    .sort();
}

/** Loads the module of a name that `moduleNames` gave. */
export function loadNamedModule(
  prefix: string,
  name: string,
): Promise<unknown> {
  return import(pathToFileURL(join(MODULE_FOLDER, `${prefix}${name}.js`)).href);
}
