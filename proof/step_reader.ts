/**
 * A test trainer of one step, which reads samples from any entry VM that responds and checks them.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import {
  type JsonResponse,
  parseSamplePage,
  samplesPath,
  type StepBody,
  stepPath,
  TrainerTally,
  versionPath,
} from "#fakes";
import { z } from "zod";
import { delay } from "./managed_process.ts";
import type { ClusterCall, ProcessCluster } from "./process_cluster.ts";

const RETRY_INTERVAL_MS: Milliseconds = 200;
const PAGE_WAIT_MS: Milliseconds = 1_000;
const PAGE_LIMIT = 64;

const deliveredPageSchema = z.object({
  samples: z.array(z.object({
    deliveredAtVersion: z.number(),
    versions: z.array(z.object({ version: z.number() })),
  })),
});

/** Options of `StepReader`: the step, and where to start reading. */
export interface StepReaderOptions {
  readonly cluster: ProcessCluster;
  readonly trainer: string;
  readonly model: string;
  readonly step: number;
  readonly body: StepBody;
  /** Cursor at which reading starts; the trainer's first sample by default. */
  readonly cursor?: string;
}

/** Submits a step and reads its samples until it is complete. */
export class StepReader {
  readonly tally: TrainerTally;
  /** Samples whose staleness at delivery was over the bound of the step. */
  overBound = 0;
  /** Cursors that returned different bytes when they were read again. */
  changedPages = 0;
  readonly #options: StepReaderOptions;
  #entryIndex = 0;
  #cursor: string;

  constructor(options: StepReaderOptions) {
    this.#options = options;
    this.#cursor = options.cursor ?? "";
    this.tally = new TrainerTally(options.model);
  }

  /** Cursor at which the next read starts. */
  get cursor(): string {
    return this.#cursor;
  }

  /** Submits the step. */
  async submit(): Promise<void> {
    const { trainer, step, body } = this.#options;
    this.tally.addStep(step, body);
    await this.#call({ method: "PUT", path: stepPath(trainer, step), body });
  }

  /** Publishes a version of the model. */
  async publish(version: number): Promise<void> {
    const path = versionPath(this.#options.trainer, version);
    await this.#call({ method: "PUT", path, body: {} });
  }

  /** Reads until the step is complete or the time limit is reached, each page with samples twice. */
  async readAll(limitMs: Milliseconds): Promise<void> {
    const deadlineMs = performance.now() + limitMs;
    while (!this.tally.isComplete(this.#options.step)) {
      if (performance.now() > deadlineMs) return;
      const response = await this.#call(this.#pageCall());
      const page = parseSamplePage(response.text);
      if (page === undefined) continue;
      if (page.samples.length > 0) await this.#compareRepeatedPage(response);
      for (const sample of page.samples) this.tally.addSample(sample, 0);
      this.#countOverBound(response);
      this.#cursor = String(page.cursor);
    }
  }

  async #compareRepeatedPage(first: JsonResponse): Promise<void> {
    this.#entryIndex += 1;
    const second = await this.#call(this.#pageCall());
    if (second.text !== first.text) this.changedPages += 1;
  }

  #countOverBound(response: JsonResponse): void {
    const { samples } = deliveredPageSchema.parse(JSON.parse(response.text));
    for (const sample of samples) {
      const oldest = Math.min(...sample.versions.map((run) => run.version));
      const staleness = sample.deliveredAtVersion - oldest;
      if (staleness > this.#options.body.bound) this.overBound += 1;
    }
  }

  #pageCall(): ClusterCall {
    const path = samplesPath(this.#options.trainer, {
      after: this.#cursor,
      limit: PAGE_LIMIT,
      waitMs: PAGE_WAIT_MS,
    });
    return { method: "GET", path };
  }

  /** Calls one entry VM after the other until one responds with 200; throws on a final rejection. */
  async #call(call: ClusterCall): Promise<JsonResponse> {
    const { cluster } = this.#options;
    const entries = cluster.vms("entry");
    for (;;) {
      const vm = entries[this.#entryIndex % entries.length]?.name ?? "";
      if (cluster.process(vm).isRunning) {
        const response = await cluster.call(vm, call);
        if (response.status === 200) return response;
        const isRejected = response.status >= 400 && response.status < 500 &&
          response.status !== 429 && response.status !== 408;
        if (isRejected) throw new Error(`${call.path}: ${response.text}`);
      }
      this.#entryIndex += 1;
      await delay(RETRY_INTERVAL_MS);
    }
  }
}
