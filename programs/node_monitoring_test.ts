import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { parseNodeSettings, withMetricsPort } from "#platform";
import { MemoryEventLog } from "#core";
import { HTTP_EVENTS } from "./events.ts";
import { buildNodeBase, type NodeBase } from "./node_base.ts";
import { NodeMonitoring } from "./node_monitoring.ts";

const HOST = "127.3.0.9";
const METRICS_PORT = 18_463;
const HOLDER = { heldSizes: () => ({ bytes: { log: 7 }, counts: {} }) };

function nodeBase(events: MemoryEventLog, port: string | undefined): NodeBase {
  const lines = [
    "node_name=store-1",
    `ip=${HOST}`,
    "zone=z1",
    "internal_ports=17720,17729",
    "limits.memory_mb=230",
  ];
  const parsed = parseNodeSettings(lines.join("\n")).unwrap();
  const settings = withMetricsPort(parsed, port);
  const options = { role: "store", current: () => settings } as const;
  return { ...buildNodeBase(settings, options), events };
}

async function readMetrics(): Promise<string> {
  const url = `http://${HOST}:${METRICS_PORT}/metrics`;
  const response = await fetch(url, { headers: { connection: "close" } });
  assert.equal(response.status, 200);
  return response.text();
}

test("a process with a metrics port serves its memory and what it holds there, until it stops", async () => {
  const events = new MemoryEventLog();
  const base = nodeBase(events, String(METRICS_PORT));
  const monitoring = new NodeMonitoring(base, HOLDER);
  await monitoring.start();
  try {
    const text = await readMetrics();
    assert.match(text, /cicadafield_memory_bytes\{kind="limit"\} 230000000/);
    assert.match(text, /cicadafield_held_bytes\{what="log"\} 7/);
  } finally {
    await monitoring.stop();
  }
  await assert.rejects(readMetrics());
});

test("a metrics port in use is logged and does not prevent the start", async () => {
  const other = createServer();
  await new Promise<void>((resolve) =>
    other.listen({ host: HOST, port: METRICS_PORT }, resolve)
  );
  const events = new MemoryEventLog();
  const base = nodeBase(events, String(METRICS_PORT));
  const monitoring = new NodeMonitoring(base, HOLDER);
  try {
    await monitoring.start();
    const logged = events.records().map((each) => each.event);
    assert.ok(logged.includes(HTTP_EVENTS.metricsUnavailable));
  } finally {
    await monitoring.stop();
    other.close();
  }
});

test("a process without a metrics port still reports its memory", async () => {
  const base = nodeBase(new MemoryEventLog(), undefined);
  const monitoring = new NodeMonitoring(base, HOLDER);
  await monitoring.start();
  await monitoring.stop();
  assert.match(await base.metrics.render(), /kind="resident"/);
});
