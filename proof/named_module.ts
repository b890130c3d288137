/**
 * Finds the module of a benchmark, fuzz run or golden session by its name, such as `bench_NAME.js`, in the folder
 * of this file.
 *
 * @module
 */
import { readdir } from "node:fs/promises";
import { dirname, join } from "node:path";
import { fileURLToPath, pathToFileURL } from "node:url";

const MODULE_FOLDER = dirname(fileURLToPath(import.meta.url));

/** Returns the names of the modules with the given prefix. */
export async function moduleNames(prefix: string): Promise<readonly string[]> {
  const files = await readdir(MODULE_FOLDER);
  return files
    .filter((file) => file.startsWith(prefix) && file.endsWith(".js"))
    .filter((file) => !file.endsWith("_test.js"))
    .map((file) => file.slice(prefix.length, -".js".length))
    .sort();
}

/** Loads the module with a prefix and a name that `moduleNames` returned. */
export function loadNamedModule(
  prefix: string,
  name: string,
): Promise<unknown> {
  return import(pathToFileURL(join(MODULE_FOLDER, `${prefix}${name}.js`)).href);
}
