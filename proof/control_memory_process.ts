/**
 * A program that holds one replica of the control log and, with `load`, commits changes of a large configuration. It
 * prints where its memory went as JSON. Arguments: the data folder, then `load` or `recover`.
 *
 * @module
 */
import process from "node:process";
import { QuorumLog, SHORT_TIMING } from "#agreement";
import { ConfigurationMachine } from "#bundles";
import {
  type AnyStateMachine,
  MemoryEventLog,
  type Milliseconds,
  type RouteRule,
  SeededRandom,
  type ServiceRule,
  type StoredConfiguration,
  SystemClock,
  SystemRandom,
  VirtualClock,
} from "#core";
import { MemoryNetwork } from "#wire";
import {
  type MemorySample,
  MemorySamples,
  openFolder,
} from "./memory_samples.ts";

const VM = "control-1";
const SEED = 1;
const ROUTES = 1_000;
const CHANGES = 120;
const CHANGES_PER_SAMPLE = 20;
const POLL_MS: Milliseconds = 10;

/** Figures that the program prints. */
export interface ControlMemoryReport {
  readonly samples: readonly MemorySample[];
}

function routeRule(index: number): RouteRule {
  return {
    name: `route-${index}`,
    host: `tenant-${index % 50}.example`,
    pathPrefix: `/path-${index}/`,
    kind: "idempotent",
    timeoutMs: 5_000,
    objectiveMs: 2_000,
    priority: index % 4,
    split: [{ service: `service-${index}`, weight: 1 }],
    maximumAttempts: 3,
    resumable: false,
    singleVersion: false,
    maximumQueueMs: null,
    dueMs: null,
  };
}

function serviceRule(index: number): ServiceRule {
  return { name: `service-${index}`, maximumConnections: 50, engine: null };
}

/** Returns a configuration with 1,000 routes, each to its own service. */
function largeConfiguration(version: number): StoredConfiguration {
  const indexes = Array.from({ length: ROUTES }, (_, index) => index);
  const rules = {
    version,
    routes: indexes.map(routeRule),
    services: indexes.map(serviceRule),
    limits: {
      headerBytes: 65_536,
      bodyBytes: 33_554_432,
      headerTimeoutMs: 10_000,
      idleTimeoutMs: 60_000,
    },
  };
  return { document: JSON.stringify(rules), rules };
}

async function main(folder: string, mode: string): Promise<void> {
  const clock = new SystemClock();
  const network = new MemoryNetwork({
    clock: new VirtualClock(0),
    random: new SeededRandom(SEED),
  });
  const samples = new MemorySamples(() => log.sizes());
  const log: QuorumLog = new QuorumLog({
    vm: VM,
    network: network.join(VM),
    folder: openFolder(folder, (at) => samples.add(at)),
    machines: [new ConfigurationMachine() as AnyStateMachine],
    clock,
    random: new SystemRandom(),
    events: new MemoryEventLog(),
    peers: () => [VM],
    firstStart: { voters: [VM] },
    timing: SHORT_TIMING,
  });
  samples.add("before the start");
  await log.start();
  while (log.leaseUntilMs() <= clock.nowMs()) await clock.sleep(POLL_MS);
  samples.add("at rest after the start");
  if (mode === "load") await writeChanges(log, samples);
  const report: ControlMemoryReport = { samples: samples.list };
  console.log(JSON.stringify(report));
  process.exit(0);
}

async function writeChanges(
  log: QuorumLog,
  samples: MemorySamples,
): Promise<void> {
  for (let version = 1; version <= CHANGES; version += 1) {
    const command = largeConfiguration(version);
    const result = await log.propose({ machine: "configuration", command });
    if (result.err) throw new Error(JSON.stringify(result.val));
    if (version % CHANGES_PER_SAMPLE === 0) {
      samples.add(`after ${version} changes`);
    }
  }
}

const [folder, mode] = process.argv.slice(2);
if (folder !== undefined && mode !== undefined) await main(folder, mode);
