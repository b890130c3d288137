/**
 * A trainer of the soak: it submits batches until they are accepted, reads their results all the time, at any entry VM,
 * and keeps what it read.
 *
 * @module
 */
import type { Address, Milliseconds } from "#core";
import { delay } from "../proof/managed_process.ts";
import { exchange } from "./soak_exchange.ts";
import type { SoakBatch, SoakPage } from "./soak_batches.ts";
import { REMOVED_PREFIX } from "./soak_configuration.ts";

const BATCH_INTERVAL_MS: Milliseconds = 1_500;
const READ_INTERVAL_MS: Milliseconds = 200;
const ITEMS = 4;
const BATCHES_PREFIX = "/tuning/";
const ACCEPTED_STATUS = 202;
const OK_STATUS = 200;
const NOT_FOUND_STATUS = 404;

/** Options of `SoakTrainer`. */
export interface SoakTrainerOptions {
  readonly entries: readonly Address[];
  readonly host: string;
  readonly model: string;
  /** Returns the oldest version of the weights that may generate the next batch. */
  readonly minimumVersion: () => number;
}

/** Submits batches and reads them. */
export class SoakTrainer {
  readonly #options: SoakTrainerOptions;
  readonly #batches: SoakBatch[] = [];
  readonly #reading: Promise<void>[] = [];
  #running: Promise<void> = Promise.resolve();
  #turn = 0;
  #isStopped = false;
  /** Set when all batches have had time to be completed. */
  #isOver = false;

  constructor(options: SoakTrainerOptions) {
    this.#options = options;
  }

  /** Everything that it saw. */
  get record(): readonly SoakBatch[] {
    return this.#batches;
  }

  start(): void {
    this.#running = this.#submitAll();
  }

  /** Submits no more, and reads what is open for a time. */
  async stop(withinMs: Milliseconds): Promise<void> {
    this.#isStopped = true;
    await this.#running;
    const limit = delay(withinMs).then(() => {
      this.#isOver = true;
    });
    await Promise.race([Promise.all(this.#reading), limit]);
    this.#isOver = true;
    await Promise.all(this.#reading);
  }

  async #submitAll(): Promise<void> {
    while (!this.#isStopped) {
      const id = `batch-${this.#batches.length}`;
      const batch: SoakBatch = { id, items: itemsOf(id), pages: [], lost: 0 };
      this.#batches.push(batch);
      // The route of the first one is removed later, and its results must not be.
      const isFirst = this.#batches.length === 1;
      await this.#submit(batch, isFirst ? REMOVED_PREFIX : BATCHES_PREFIX);
      this.#reading.push(this.#read(batch, { readsOn: isFirst }));
      await delay(BATCH_INTERVAL_MS);
    }
  }

  async #submit(
    { id, items }: SoakBatch,
    prefix: string,
  ): Promise<void> {
    const { host, model, minimumVersion } = this.#options;
    const headers = { Host: host, "Request-Id": id };
    const body = JSON.stringify({
      step: 1,
      model,
      min_version: minimumVersion(),
      desired: 1,
      items: items.map(({ id, events }, at) => ({
        id,
        path: `${prefix}x`,
        headers: { Model: model, "Token-Counts": `10,${events}` },
        body: "eA==",
        tokens: 10 + events,
        group: `${id}-${at % 2}`,
      })),
    });
    while (true) {
      const { status } = await exchange(this.#nextEntry(), {
        method: "POST",
        path: `${prefix}submit`,
        headers,
        body,
      });
      if (status === ACCEPTED_STATUS) return;
      await delay(READ_INTERVAL_MS);
    }
  }

  /** Reads the batch from the start until all results are listed, or as long as batches are submitted. */
  async #read(
    batch: SoakBatch,
    { readsOn }: { readonly readsOn: boolean },
  ): Promise<void> {
    const headers = { Host: this.#options.host };
    while (!this.#isOver) {
      const { status, text } = await exchange(this.#nextEntry(), {
        method: "GET",
        path: `/lots/${batch.id}?after=0`,
        headers,
        body: "",
      });
      if (status === NOT_FOUND_STATUS) batch.lost += 1;
      if (status === OK_STATUS) {
        const page = JSON.parse(text) as SoakPage;
        batch.pages.push(page);
        const isWhole = page.results.length === batch.items.length;
        if (isWhole && (!readsOn || this.#isStopped)) return;
      }
      await delay(READ_INTERVAL_MS);
    }
  }

  #nextEntry(): Address {
    const { entries } = this.#options;
    this.#turn += 1;
    const entry = entries[this.#turn % entries.length];
    if (entry === undefined) throw new Error("no entry VM");
    return entry;
  }
}

function itemsOf(batch: string): SoakBatch["items"] {
  return Array.from({ length: ITEMS }, (_, at) => ({
    id: `${batch}-${at}`,
    events: 5 + 15 * at,
  }));
}
