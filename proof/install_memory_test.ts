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
  type InstallMemoryReport,
  STORE_VM_BYTES,
} from "./install_memory_process.ts";

const PROGRAM = fileURLToPath(
  new URL("./install_memory_process.js", import.meta.url),
);

async function run(...programArguments: readonly string[]): Promise<string> {
  // The flag of deploy/system.toml.
  const flags = ["--max-semi-space-size=4"];
  const { stdout } = await promisify(execFile)(
    process.execPath,
    [...flags, PROGRAM, ...programArguments],
  );
  return stdout;
}

test(
  "a replica with a full state that installs a snapshot of other batches does not outgrow its VM",
  async () => {
    const folder = mkdtempSync(join(tmpdir(), "install-memory-"));
    try {
      await run("make", folder, "old");
      await run("make", folder, "new");
      const report = JSON.parse(
        await run("install", folder),
      ) as InstallMemoryReport;
      assert.ok(
        report.peakBytes < STORE_VM_BYTES,
        `peak ${report.peakBytes}, state ${report.stateBytes}`,
      );
    } finally {
      rmSync(folder, { recursive: true, force: true });
    }
  },
);
