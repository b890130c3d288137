import assert from "node:assert/strict";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { METRICS_PORT_VARIABLE, SETTINGS_VARIABLE } from "#platform";

const HOST = "127.3.0.8";
const METRICS_PORT = 18_464;
const TIMEOUT_MS = 20_000;
const POLL_MS = 50;

/** What each role states to hold. */
const HELD: Readonly<Record<string, readonly string[]>> = {
  entry: ["unsent_to_peers", "caller_connections", "upstreams"],
  control: ["log", "state", "snapshot", "caller_connections"],
  store: ["log", "state", "snapshot", "items_in_progress", "open_batches"],
};

async function readMetrics(): Promise<string> {
  const untilMs = performance.now() + TIMEOUT_MS;
  while (performance.now() < untilMs) {
    try {
      const url = `http://${HOST}:${METRICS_PORT}/metrics`;
      const response = await fetch(url, { headers: { connection: "close" } });
      return await response.text();
    } catch {
      // The process doesn't listen yet.
      await delay(POLL_MS);
    }
  }
  throw new Error(`no metrics within ${TIMEOUT_MS} ms`);
}

async function startNode(role: string, folder: string): Promise<ChildProcess> {
  const lines = [
    `node_name=${role}-1`,
    `ip=${HOST}`,
    "zone=z1",
    `listen.front=${HOST}:18171`,
    `listen.ready=${HOST}:18172`,
    `listen.control=${HOST}:18173`,
    "internal_ports=17730,17739",
    `seeds=${HOST}:18173`,
    "bootstrap=true",
    "limits.memory_mb=350",
    `data_dir=${join(folder, "data")}`,
  ];
  const settings = join(folder, "node.conf");
  await writeFile(settings, lines.join("\n"));
  const url = new URL("./cicadafield_node.js", import.meta.url);
  return spawn(process.execPath, [fileURLToPath(url), role], {
    stdio: "ignore",
    env: {
      PATH: process.env["PATH"],
      [SETTINGS_VARIABLE]: settings,
      [METRICS_PORT_VARIABLE]: String(METRICS_PORT),
    },
  });
}

for (const [role, held] of Object.entries(HELD)) {
  test(`a process of role ${role} serves its memory and what it holds on the metrics port`, async () => {
    const folder = await mkdtemp(join(tmpdir(), "cicadafield-metrics-"));
    const child = await startNode(role, folder);
    const exited = once(child, "exit");
    try {
      const text = await readMetrics();
      assert.match(text, /cicadafield_memory_bytes\{kind="limit"\} 350000000/);
      assert.match(text, /cicadafield_memory_bytes\{kind="resident"\} \d+/);
      for (const what of held) {
        assert.match(
          text,
          new RegExp(`cicadafield_held_\\w+\\{what="${what}"\\}`),
        );
      }
    } finally {
      child.kill("SIGKILL");
      await exited;
      await rm(folder, { recursive: true });
    }
  });
}
