/**
 * A program that holds one replica of the batch log and, with `load`, writes a minute of a busy day to it. It
 * prints its peak memory as JSON. Arguments: the data folder, then `load` or `recover`; with a third argument,
 * `samples`, it also prints where its memory went.
 *
 * @module
 */
import process from "node:process";
import { QuorumLog, SHORT_TIMING } from "#agreement";
import {
  type Batch,
  type BatchesCommand,
  BatchesMachine,
  type BatchItem,
  type ItemUpdate,
} from "#batches";
import {
  type AnyStateMachine,
  type Bytes,
  MemoryEventLog,
  type Milliseconds,
  MINUTE_MS,
  SeededRandom,
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

const VM = "store-1";
const SEED = 1;
const MODELS = ["route-draft", "grade-suggest", "anchor-notes"];
const STEP_INTERVAL_MS: Milliseconds = 4_000;
const STEPS = MINUTE_MS / STEP_INTERVAL_MS;
const ITEMS_PER_BATCH = 170;
const EVENTS_PER_ITEM = 18;
const EVENTS_PER_UPDATE = 2;
const UPDATES_PER_COMMAND = 64;
const EVENT_BYTES: Bytes = 400;
const BODY_BYTES: Bytes = 600;
const RETENTION_MS: Milliseconds = 2 * MINUTE_MS;
const POLL_MS: Milliseconds = 10;

const random = new SeededRandom(SEED);
const EVENT_TEXTS = Array.from(
  { length: 64 },
  () => randomText(EVENT_BYTES),
);

/** Figures that the program prints. */
export interface StoreMemoryReport {
  /** Peak resident memory of the process. */
  readonly peakBytes: Bytes;
  /** Number of results that the replica holds. */
  readonly results: number;
  /** Where the memory went; empty unless asked for. */
  readonly samples: readonly MemorySample[];
}

/** Number of results that the load produces. */
export const LOAD_RESULTS = STEPS * MODELS.length * ITEMS_PER_BATCH;

function randomText(length: number): string {
  let text = "";
  while (text.length < length) text += random.identifier();
  return text.slice(0, length);
}

function batchItem(batch: string, index: number): BatchItem {
  return {
    id: `${batch}-${index}`,
    target: "/drafts/1/2",
    headers: ["Model", "m", "Token-Counts", "276,1400"],
    body: Buffer.alloc(BODY_BYTES, index),
    group: `${batch}-group-${index >> 3}`,
    promptTokens: 276,
    expectedTokens: 1_400,
    scoring: null,
  };
}

function batchOf(id: string, model: string): Batch {
  const items: BatchItem[] = [];
  for (let index = 0; index < ITEMS_PER_BATCH; index += 1) {
    items.push(batchItem(id, index));
  }
  return {
    id,
    route: model,
    host: "topos.example",
    model,
    minimumVersion: 1,
    singleVersion: false,
    maximumFailures: 3,
    maximumQueueMs: null,
    dueMs: 7_500,
    items,
  };
}

function updateOf(batch: string, item: string, fromEvents: number): ItemUpdate {
  const events: string[] = [];
  for (let count = 0; count < EVENTS_PER_UPDATE; count += 1) {
    const at = (fromEvents + count) % EVENT_TEXTS.length;
    events.push(EVENT_TEXTS[at] as string);
  }
  const lastEvent = fromEvents + EVENTS_PER_UPDATE;
  return {
    id: `${item}-${fromEvents}`,
    batch,
    item,
    fromEvents,
    events: EVENTS_PER_UPDATE,
    lastEvent,
    text: events.join("\n"),
    versions: [1],
    failures: 0,
    restart: false,
    outcome: lastEvent === EVENTS_PER_ITEM ? "completed" : null,
  };
}

/** One replica that is the whole group. */
class StoreReplica {
  readonly machine = new BatchesMachine();
  readonly samples = new MemorySamples(() => this.#log.sizes());
  readonly #measured: boolean;
  readonly #clock = new SystemClock();
  readonly #log: QuorumLog;

  constructor(folder: string, measured: boolean) {
    this.#measured = measured;
    const network = new MemoryNetwork({
      clock: new VirtualClock(0),
      random: new SeededRandom(SEED),
    });
    this.#log = new QuorumLog({
      vm: VM,
      network: network.join(VM),
      folder: openFolder(
        folder,
        measured ? (at) => this.sample(at) : undefined,
      ),
      machines: [this.machine as AnyStateMachine],
      clock: this.#clock,
      random: new SystemRandom(),
      events: new MemoryEventLog(),
      peers: () => [VM],
      firstStart: { voters: [VM] },
      timing: SHORT_TIMING,
    });
  }

  /** Starts the replica and waits until it leads. */
  async start(): Promise<void> {
    await this.#log.start();
    while (this.#log.leaseUntilMs() <= this.#clock.nowMs()) {
      await this.#clock.sleep(POLL_MS);
    }
  }

  /** Records the memory if asked for. */
  sample(at: string): void {
    if (this.#measured) this.samples.add(at);
  }

  async commit(command: BatchesCommand): Promise<void> {
    const result = await this.#log.propose({ machine: "batches", command });
    if (result.err) throw new Error(result.val.message);
  }
}

async function writeStep(replica: StoreReplica, step: number): Promise<void> {
  const ids = MODELS.map((model) => `${model}-${step}`);
  for (const [index, id] of ids.entries()) {
    const batch = batchOf(id, MODELS[index] as string);
    await replica.commit({ kind: "accept", batch, keepMs: RETENTION_MS });
  }
  for (let from = 0; from < EVENTS_PER_ITEM; from += EVENTS_PER_UPDATE) {
    for (const id of ids) await writeProgress(replica, id, from);
  }
  for (const id of ids) await replica.commit({ kind: "end", id });
}

async function writeProgress(
  replica: StoreReplica,
  batch: string,
  fromEvents: number,
): Promise<void> {
  const items = [...replica.machine.find(batch)?.items.keys() ?? []];
  while (items.length > 0) {
    const updates = items.splice(0, UPDATES_PER_COMMAND).map((item) =>
      updateOf(batch, item, fromEvents)
    );
    await replica.commit({ kind: "update", updates });
  }
}

function countResults(machine: BatchesMachine): number {
  let count = 0;
  for (let step = 0; step < STEPS; step += 1) {
    for (const model of MODELS) {
      count += machine.find(`${model}-${step}`)?.results.length ?? 0;
    }
  }
  return count;
}

async function main(
  folder: string,
  mode: string,
  measured: boolean,
): Promise<void> {
  const replica = new StoreReplica(folder, measured);
  replica.sample("before the start");
  await replica.start();
  replica.sample("at rest after the start");
  if (mode === "load") {
    for (let step = 0; step < STEPS; step += 1) {
      await writeStep(replica, step);
      replica.sample(`after step ${step + 1}`);
    }
  }
  const report: StoreMemoryReport = {
    peakBytes: process.resourceUsage().maxRSS * 1_024,
    results: countResults(replica.machine),
    samples: replica.samples.list,
  };
  console.log(JSON.stringify(report));
  process.exit(0);
}

const [folder, mode, samples] = process.argv.slice(2);
if (folder !== undefined && mode !== undefined) {
  await main(folder, mode, samples === "samples");
}
