/**
 * A program that measures the memory of a replica that installs a snapshot. `make FOLDER NAME` writes the parts of a
 * full state to files; `install FOLDER` restores the state `old`, then `new`, and prints its peak memory as JSON.
 *
 * @module
 */
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { BatchesMachine, type BatchItem, batchStateLimit } from "#batches";
import { type Bytes, MEBIBYTE } from "#core";
import { decodeValue, encodeValue } from "#wire";

/** Memory of the smallest store VM that the users' deployments name. */
export const STORE_VM_BYTES: Bytes = 230_000_000;

/** Entries in memory until the next snapshot: 8 MiB since the last one, 4 MiB retained before it. */
const LOG_BYTES: Bytes = 12 * MEBIBYTE;
const ITEMS_PER_BATCH = 170;
const TEXT_BYTES: Bytes = 7_200;
const RETENTION_MS = 120_000;

/** Figures that the program prints. */
export interface InstallMemoryReport {
  /** Peak resident memory of the process. */
  readonly peakBytes: Bytes;
  /** Size of the state at the end, as the machine counts it. */
  readonly stateBytes: Bytes;
  /** Size of the log that the process holds beside it. */
  readonly logBytes: Bytes;
}

function itemOf(batch: string, index: number): BatchItem {
  return {
    id: `${batch}-${index}`,
    target: "/drafts/1/2",
    headers: [],
    body: new Uint8Array(0),
    group: `${batch}-group`,
    promptTokens: 1,
    expectedTokens: 1,
    scoring: null,
  };
}

function addBatch(machine: BatchesMachine, id: string): void {
  const items = Array.from(
    { length: ITEMS_PER_BATCH },
    (_, index) => itemOf(id, index),
  );
  const batch = {
    id,
    route: "r",
    host: "h",
    model: "m",
    minimumVersion: null,
    singleVersion: false,
    maximumFailures: 3,
    maximumQueueMs: null,
    dueMs: 1,
    items,
  };
  const updates = items.map((item) => ({
    id: "update",
    batch: id,
    item: item.id,
    fromEvents: 0,
    events: 1,
    lastEvent: 1,
    text: item.id.repeat(TEXT_BYTES).slice(0, TEXT_BYTES),
    versions: [1],
    failures: 0,
    restart: false,
    outcome: "completed" as const,
  }));
  const entry = { index: 1, atMs: 0 };
  const keepMs = RETENTION_MS;
  machine.apply({ ...entry, command: { kind: "accept", batch, keepMs } });
  machine.apply({ ...entry, command: { kind: "update", updates } });
  machine.apply({ ...entry, command: { kind: "end", id } });
}

/** Writes the parts of a state that is as large as a store admits. */
function make(folder: string, name: string): void {
  const machine = new BatchesMachine();
  const limitBytes = batchStateLimit(STORE_VM_BYTES);
  let batchBytes = 0;
  for (let count = 0; machine.stateBytes() + batchBytes < limitBytes; count++) {
    addBatch(machine, `${name}-${count}`);
    batchBytes ||= machine.stateBytes();
  }
  let part = 0;
  for (const value of machine.snapshotParts()) {
    const file = `${name}-${String(part++).padStart(4, "0")}`;
    writeFileSync(join(folder, file), encodeValue(value));
  }
}

async function install(folder: string): Promise<void> {
  const log = new Uint8Array(LOG_BYTES).fill(1);
  const machine = new BatchesMachine();
  for (const name of ["old", "new"]) {
    const restoration = machine.startRestoration();
    for (const file of readdirSync(folder).sort()) {
      if (!file.startsWith(name)) continue;
      restoration.add(decodeValue(readFileSync(join(folder, file))));
      // As the sync loop does, which reads the next part in a later turn.
      await new Promise((resolve) => setImmediate(resolve));
    }
    restoration.finish();
  }
  const report: InstallMemoryReport = {
    peakBytes: process.resourceUsage().maxRSS * 1_024,
    stateBytes: machine.stateBytes(),
    logBytes: log.length,
  };
  console.log(JSON.stringify(report));
}

const [mode, folder, name] = process.argv.slice(2);
if (mode === "make" && folder !== undefined) make(folder, name ?? "");
if (mode === "install" && folder !== undefined) await install(folder);
