import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { mkdtemp, readdir, rm, writeFile } from "node:fs/promises";
import { createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { loopbackHost } from "#core";

const HOST = loopbackHost(1);
const HTTP_PORT = "18100";
const PEER_PORT = "17100";

interface ProcessResult {
  readonly exitCode: number | null;
  readonly stderr: string;
}

function run(program: string, argv: readonly string[]): Promise<ProcessResult> {
  const file = fileURLToPath(new URL(`./${program}.js`, import.meta.url));
  const child = spawn(process.execPath, [file, ...argv], {
    env: { PATH: process.env["PATH"] },
  });
  let stderr = "";
  child.stderr.on("data", (bytes) => stderr += bytes);
  return new Promise((resolve) => {
    child.on("close", (exitCode) => resolve({ exitCode, stderr }));
  });
}

function validFlags(dataFolder: string): readonly string[] {
  return [
    ["--cluster", "test"],
    ["--vm", "control-a1"],
    ["--zone", "a"],
    ["--listen-host", HOST],
    ["--http-port", HTTP_PORT],
    ["--peer-port", PEER_PORT],
    ["--control-vms", `control-a1@a=${HOST}:${PEER_PORT}`],
    ["--data-folder", dataFolder],
    ["--first-start", "yes"],
  ].flat();
}

async function withFolder(
  use: (folder: string) => Promise<void>,
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "cicadafield-start-"));
  try {
    await use(folder);
  } finally {
    await rm(folder, { recursive: true });
  }
}

function occupyPort(port: string): Promise<Server> {
  const server = createServer();
  return new Promise((resolve) => {
    server.listen({ host: HOST, port: Number(port) }, () => resolve(server));
  });
}

test("an unknown flag, a value out of range and a missing setting are reported together, and nothing starts", async () => {
  await withFolder(async (folder) => {
    for (const program of ["cicadafield_control", "cicadafield_entry"]) {
      const ended = await run(program, [
        "--colour",
        "red",
        "--http-port",
        "70000",
        "--listen-host",
        "localhost",
      ]);
      assert.equal(ended.exitCode, 2, program);
      assert.match(ended.stderr, /--colour: is an unknown flag/);
      assert.match(
        ended.stderr,
        /--http-port \(CICADAFIELD_HTTP_PORT\) "70000": .*65535/,
      );
      assert.match(ended.stderr, /--listen-host .*must be an IP address/);
      assert.match(ended.stderr, /--cluster .*is required/);
    }
    assert.deepEqual(await readdir(folder), []);
  });
});

test("conflicting settings are rejected, and nothing is changed", async () => {
  await withFolder(async (folder) => {
    const flags = [...validFlags(folder), "--test-cut-file", "/cut"]
      .map((each) => each === HOST ? "10.9.9.9" : each);
    const ended = await run("cicadafield_control", flags);
    assert.equal(ended.exitCode, 2);
    assert.match(ended.stderr, /--test-cut-file .*listen-host/);
    assert.deepEqual(await readdir(folder), []);
  });
});

test("the error for a port in use names the address", async () => {
  await withFolder(async (folder) => {
    for (const port of [PEER_PORT, HTTP_PORT]) {
      const occupant = await occupyPort(port);
      try {
        const ended = await run("cicadafield_control", validFlags(folder));
        assert.equal(ended.exitCode, 1);
        assert.match(ended.stderr, new RegExp(`${HOST}:${port} is in use`));
      } finally {
        occupant.close();
      }
    }
  });
});

test("the error for a data folder below a file names the path", async () => {
  await withFolder(async (folder) => {
    const file = join(folder, "file");
    await writeFile(file, "");
    const ended = await run(
      "cicadafield_control",
      validFlags(join(file, "data")),
    );
    assert.equal(ended.exitCode, 1);
    assert.match(ended.stderr, /file.* (is not a folder|can't be written)/);
    assert.deepEqual(await readdir(folder), ["file"]);
  });
});
