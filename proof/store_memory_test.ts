import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import {
  LOAD_RESULTS,
  type StoreMemoryReport,
} from "./store_memory_process.ts";

const PROGRAM = fileURLToPath(
  new URL("./store_memory_process.js", import.meta.url),
);
/** Memory of the smallest store VM that the users' deployments name. */
const STORE_VM_BYTES = 230_000_000;

async function runStore(
  folder: string,
  mode: "load" | "recover",
): Promise<StoreMemoryReport> {
  // The flag of deploy/system.toml.
  const flags = ["--max-semi-space-size=4"];
  const { stdout } = await promisify(execFile)(
    process.execPath,
    [...flags, PROGRAM, folder, mode],
  );
  return JSON.parse(stdout) as StoreMemoryReport;
}

test(
  "a store with a minute of batches neither outgrows its VM nor fails to recover within it",
  async () => {
    const folder = mkdtempSync(join(tmpdir(), "store-memory-"));
    try {
      const loaded = await runStore(folder, "load");
      const recovered = await runStore(folder, "recover");
      assert.equal(loaded.results, LOAD_RESULTS);
      assert.equal(recovered.results, LOAD_RESULTS);
      const peaks = `load ${loaded.peakBytes}, recover ${recovered.peakBytes}`;
      assert.ok(loaded.peakBytes < STORE_VM_BYTES, peaks);
      assert.ok(recovered.peakBytes < STORE_VM_BYTES, peaks);
    } finally {
      rmSync(folder, { recursive: true, force: true });
    }
  },
);
