import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { SETTINGS_VARIABLE } from "#platform";

const HOST = "127.3.0.5";
const CONTROL_PORT = 18_166;

interface ProcessExit {
  readonly exitCode: number | null;
  readonly stderr: string;
}

function run(
  argv: readonly string[],
  environment: Readonly<Record<string, string>> = {},
): Promise<ProcessExit> {
  const url = new URL("./cicadafield_node.js", import.meta.url);
  const child = spawn(process.execPath, [fileURLToPath(url), ...argv], {
    env: { PATH: process.env["PATH"], ...environment },
  });
  let stderr = "";
  child.stderr.on("data", (bytes) => stderr += bytes);
  return new Promise((resolve) => {
    child.on("close", (exitCode) => resolve({ exitCode, stderr }));
  });
}

async function withSettings(
  change: (lines: readonly string[]) => readonly string[],
  use: (environment: Readonly<Record<string, string>>) => Promise<void>,
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "cicadafield-node-"));
  const path = join(folder, "node.conf");
  const lines = [
    "node_name=control-1",
    `ip=${HOST}`,
    "zone=z1",
    `listen.control=${HOST}:${CONTROL_PORT}`,
    "internal_ports=17720,17729",
    `seeds=${HOST}:${CONTROL_PORT}`,
    "bootstrap=true",
    `data_dir=${join(folder, "data")}`,
  ];
  await writeFile(path, change(lines).join("\n"));
  try {
    await use({ [SETTINGS_VARIABLE]: path });
  } finally {
    await rm(folder, { recursive: true });
  }
}

test("a program started without a role or a settings file prints what is missing", async () => {
  const roleless = await run([]);
  assert.notEqual(roleless.exitCode, 0);
  assert.match(roleless.stderr, /usage: cicadafield entry \| control \| store/);
  const unset = await run(["entry"]);
  assert.notEqual(unset.exitCode, 0);
  assert.match(unset.stderr, new RegExp(SETTINGS_VARIABLE));
});

test("an unreadable or malformed settings file is rejected with every error", async () => {
  const missing = await run(["entry"], { [SETTINGS_VARIABLE]: "/nowhere/x" });
  assert.notEqual(missing.exitCode, 0);
  assert.match(missing.stderr, /settings can't be read/);
  const malformed = (lines: readonly string[]): readonly string[] => [
    ...lines.slice(1),
    "bootstrap=perhaps",
  ];
  await withSettings(malformed, async (environment) => {
    const exit = await run(["control"], environment);
    assert.notEqual(exit.exitCode, 0);
    assert.match(exit.stderr, /node_name/);
    assert.match(exit.stderr, /bootstrap=perhaps/);
  });
});

test("the error for an address in use names the address", async () => {
  const other = createServer();
  await new Promise<void>((resolve) =>
    other.listen({ host: HOST, port: CONTROL_PORT }, resolve)
  );
  try {
    await withSettings((lines) => lines, async (environment) => {
      const exit = await run(["control"], environment);
      assert.notEqual(exit.exitCode, 0);
      assert.match(
        exit.stderr,
        new RegExp(`${HOST}:${CONTROL_PORT} is in use`),
      );
    });
  } finally {
    other.close();
  }
});

test("a data folder that is a file stops the process with an error", async () => {
  const blocked = (lines: readonly string[]): readonly string[] => [
    ...lines.filter((line) => !line.startsWith("data_dir")),
    `data_dir=${fileURLToPath(import.meta.url)}`,
  ];
  await withSettings(blocked, async (environment) => {
    const exit = await run(["control"], environment);
    assert.notEqual(exit.exitCode, 0);
    assert.match(exit.stderr, /is not a folder/);
  });
});
