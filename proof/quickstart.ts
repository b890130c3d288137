/**
 * `./quickstart [--short] [--stay]`: runs a site of three availability zones on loopback addresses, from the first
 * bundle to delivered samples, and prints a summary.
 *
 * @module
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import { type Milliseconds, SECOND_MS } from "#core";
import type { JsonResponse, TrainerReport } from "#fakes";
import { ManagedProcess, waitUntil } from "./managed_process.ts";
import {
  CLUSTER_DEFAULTS,
  type ClusterCall,
  ProcessCluster,
} from "./process_cluster.ts";
import { changeBundle } from "./quickstart_operator.ts";
import { siteFakes } from "./site_fakes.ts";

const PROGRAMS = join(dirname(fileURLToPath(import.meta.url)), "../programs");
const ADDRESS_BLOCK = "127.1";
const COMPLETION_CALLS = 20;
const UPSTREAM_TIMEOUT_MS: Milliseconds = 30_000;
const RETRY_TIMEOUT_MS: Milliseconds = 60_000;
const MODELS = ["advice", "draft"];
const TRAINERS = [
  { trainer: "advice-tuning", model: "advice" },
  { trainer: "draft-tuning", model: "draft" },
];

/** Results that the quickstart prints at the end. */
interface Summary {
  /** Bundle version that the operator signed. */
  readonly version: number;
  readonly inForce: { readonly entries: number; readonly of: number };
  /** Number of completions that succeeded. */
  readonly completions: number;
  /** Number of job cards whose two calls ran once. */
  readonly cardsSaved: number;
  readonly reports: readonly TrainerReport[];
}

async function main(): Promise<number> {
  const { values } = parseArgs({
    options: {
      short: { type: "boolean", default: false },
      stay: { type: "boolean", default: false },
    },
  });
  const site = { ...CLUSTER_DEFAULTS, block: ADDRESS_BLOCK, network: 1 };
  console.log("Starting 3 control VMs, 6 entry VMs and their upstreams ...");
  const fakes = siteFakes({ ...site, models: MODELS, engineFlags: [] });
  const cluster = await ProcessCluster.start({ ...site, fakes });
  try {
    await waitForUpstreams(cluster, fakes.length);
    const summary = await runScenario(cluster, values.short ? 1 : 3);
    printSummary(summary);
    if (values.stay) await keepRunning(cluster);
    return isSuccessful(summary) ? 0 : 1;
  } finally {
    await cluster.cleanUp();
  }
}

async function runScenario(
  cluster: ProcessCluster,
  steps: number,
): Promise<Summary> {
  const training = runTrainers(cluster, steps);
  const completions = await sendCompletions(cluster);
  const cardsSaved = await saveJobCards(cluster);
  const version = await changeBundle(cluster);
  const reports = await training;
  const status = await cluster.call("entry-a1", {
    method: "GET",
    path: "/v1/status",
  });
  const { inForce } = JSON.parse(status.text) as Pick<Summary, "inForce">;
  return { version, inForce, completions, cardsSaved, reports };
}

/** Waits until the status of every entry VM lists every upstream, including those of other zones. */
async function waitForUpstreams(
  cluster: ProcessCluster,
  expected: number,
): Promise<void> {
  const names = cluster.vms("entry").map((vm) => vm.name);
  await waitUntil(
    "every upstream listed by every entry VM",
    UPSTREAM_TIMEOUT_MS,
    async () => {
      const counts = await Promise.all(
        names.map((name) => countUpstreams(cluster, name)),
      );
      return counts.every((count) => count === expected);
    },
  );
}

async function countUpstreams(
  cluster: ProcessCluster,
  vm: string,
): Promise<number> {
  const response = await cluster.call(vm, {
    method: "GET",
    path: "/v1/status",
  });
  if (response.status !== 200) return 0;
  const status = JSON.parse(response.text) as { readonly upstreams: unknown[] };
  return status.upstreams.length;
}

async function sendCompletions(cluster: ProcessCluster): Promise<number> {
  const entries = cluster.vms("entry");
  let succeeded = 0;
  for (let call = 0; call < COMPLETION_CALLS; call += 1) {
    const vm = entries[call % entries.length]?.name ?? "";
    const response = await callWithRetry(cluster, vm, {
      method: "POST",
      path: "/v1/completions",
      headers: {
        "cicadafield-tenant": call % 2 === 0 ? "tana" : "agence",
        "cicadafield-class": "lookup",
      },
      body: {
        model: MODELS[call % MODELS.length],
        prompt: `fault ${call}: no hot water in flat ${call}`,
        max_tokens: 16,
      },
    });
    if (response.status === 200) succeeded += 1;
    else console.log(`completion failed: ${response.status} ${response.text}`);
  }
  return succeeded;
}

/** Sends a call, and retries it after the `Retry-After` of each 503 or 429 response. */
async function callWithRetry(
  cluster: ProcessCluster,
  vm: string,
  call: ClusterCall,
): Promise<JsonResponse> {
  const deadlineMs = performance.now() + RETRY_TIMEOUT_MS;
  while (true) {
    const response = await cluster.call(vm, call);
    const seconds = Number(response.headers["retry-after"] ?? "1");
    const isRejected = response.status === 503 || response.status === 429;
    if (!isRejected || performance.now() > deadlineMs) return response;
    await pause(seconds * SECOND_MS);
  }
}

/** Saves each job card twice through different entry VMs; the second call must not run again. */
async function saveJobCards(cluster: ProcessCluster): Promise<number> {
  const entries = cluster.vms("entry");
  let saved = 0;
  for (let card = 0; card < entries.length; card += 1) {
    const texts: string[] = [];
    for (const attempt of [0, 1]) {
      const vm = entries[(card + attempt) % entries.length]?.name ?? "";
      const response = await callWithRetry(cluster, vm, {
        method: "POST",
        path: "/services/cards/cards",
        headers: {
          "cicadafield-tenant": "tana",
          "cicadafield-class": "lookup",
          "idempotency-key": `card-${card}`,
        },
        body: { id: `card-${card}` },
      });
      texts.push(response.text);
    }
    const ranOnce = texts[0]?.includes('"executions":1') === true;
    if (ranOnce && texts[0] === texts[1]) saved += 1;
  }
  return saved;
}

async function runTrainers(
  cluster: ProcessCluster,
  steps: number,
): Promise<readonly TrainerReport[]> {
  const folder = mkdtempSync(join(tmpdir(), "cicadafield-quickstart-"));
  const entries = cluster.vms("entry").map((vm) => cluster.baseUrl(vm.name));
  try {
    const running = TRAINERS.map(({ trainer, model }) => {
      const logFile = join(folder, `${trainer}.log`);
      const managed = new ManagedProcess({
        name: trainer,
        program: join(PROGRAMS, "cicadafield_fakes.js"),
        arguments: [
          ...["trainer", "--trainer", trainer, "--model", model],
          ...["--entry", entries.join(","), "--steps", String(steps)],
        ],
        logFile,
        readyUrl: "",
      });
      return managed.exited().then(() => readReport(managed));
    });
    return await Promise.all(running);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

function readReport(managed: ManagedProcess): TrainerReport {
  const line = managed.logTail().trim().split("\n").at(-1) ?? "";
  try {
    return JSON.parse(line) as TrainerReport;
  } catch {
    throw new Error(
      `${managed.name} did not print a report: ${managed.logTail()}`,
    );
  }
}

function printSummary(summary: Summary): void {
  const { version, inForce, completions, cardsSaved, reports } = summary;
  console.log(
    `bundle version ${version} active on ${inForce.entries} of ${inForce.of} entry VMs`,
  );
  console.log(`completions: ${completions} of ${COMPLETION_CALLS}`);
  console.log(`job cards sent twice and run once: ${cardsSaved} of 6`);
  for (const report of reports) console.log(formatReport(report));
}

function formatReport(report: TrainerReport): string {
  const idle = (report.idleMs / 1_000).toFixed(1);
  const elapsed = (report.elapsedMs / 1_000).toFixed(1);
  return `trainer ${report.trainer}: ${report.stepsWhole} steps complete, ` +
    `${report.samples} samples delivered, ${report.doubled} of them twice, ` +
    `${report.untrue} with wrong model versions, ` +
    `newest version ${report.newestVersion}, ` +
    `staleness at most ${report.greatestStaleness} versions, ` +
    `idle ${idle} s of ${elapsed} s`;
}

function isSuccessful(summary: Summary): boolean {
  const { inForce, completions, cardsSaved, reports } = summary;
  for (const report of reports) {
    const violations = report.doubled + report.unasked + report.untrue +
      report.overBound;
    if (violations > 0 || report.stepsWhole === 0) return false;
  }
  return inForce.entries === inForce.of && completions === COMPLETION_CALLS &&
    cardsSaved === 6;
}

async function keepRunning(cluster: ProcessCluster): Promise<void> {
  console.log("Running until interrupted (Ctrl-C). Addresses:");
  for (const vm of [...cluster.vms("entry"), ...cluster.vms("control")]) {
    console.log(`  ${vm.name.padEnd(12)} ${cluster.baseUrl(vm.name)}`);
  }
  await new Promise<void>((resolve) => {
    process.once("SIGINT", () => resolve());
    process.once("SIGTERM", () => resolve());
  });
}

process.exit(await main());
