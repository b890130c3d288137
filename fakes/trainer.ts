/**
 * A fake trainer: submits steps, reads samples by cursor, trains, publishes versions, and measures its idle
 * time.
 *
 * @module
 */
import type { Clock, EventLog, Milliseconds } from "#core";
import { FAKES_EVENTS } from "./events.ts";
import { type JsonCall, JsonClient, type JsonResponse } from "./json_client.ts";
import {
  parseSamplePage,
  samplesPath,
  type StepBody,
  stepPath,
  versionPath,
} from "./trainer_protocol.ts";
import { type TrainerReport, TrainerTally } from "./trainer_tally.ts";

const RETRY_DELAY_MS: Milliseconds = 200;
const CALL_TIMEOUT_MS: Milliseconds = 5_000;
/** Number of rejections of one call after which the trainer stops retrying it. */
const MAXIMUM_REJECTIONS = 20;
const PROMPT_FILLER = "field note ".repeat(40);

/** Options of `FakeTrainer`. */
export interface FakeTrainerOptions {
  readonly trainer: string;
  readonly model: string;
  /** Base URLs of the entry VMs, in the order in which they are tried. */
  readonly entries: readonly string[];
  /** Steps to train on before it stops. */
  readonly steps: number;
  readonly firstStep: number;
  /** Cursor to resume reading from; empty to start from the first sample. */
  readonly cursor: string;
  /** Number of steps submitted ahead of the one that the trainer waits for. */
  readonly stepsAhead: number;
  readonly groups: number;
  readonly groupSize: number;
  readonly maximumTokens: number;
  readonly maximumStaleness: number;
  readonly deadlineMs: Milliseconds;
  /** Time to train on one step. */
  readonly trainMs: Milliseconds;
  /** Newest published version at the start. */
  readonly version: number;
  /** Steps between two publications; 0 to publish nothing. */
  readonly publishIntervalSteps: number;
  readonly pageLimit: number;
  readonly waitMs: Milliseconds;
  readonly clock: Clock;
  readonly events: EventLog;
}

/** Default options. */
export const TRAINER_DEFAULTS = {
  steps: 1,
  firstStep: 1,
  cursor: "",
  stepsAhead: 1,
  groups: 4,
  groupSize: 4,
  maximumTokens: 64,
  maximumStaleness: 2,
  deadlineMs: 540_000,
  trainMs: 200,
  version: 1,
  publishIntervalSteps: 1,
  pageLimit: 256,
  waitMs: 2_000,
} as const satisfies Partial<FakeTrainerOptions>;

/** A trainer that validates every sample that it receives. */
export class FakeTrainer {
  readonly #options: FakeTrainerOptions;
  readonly #client = new JsonClient();
  readonly #tally: TrainerTally;
  #entryIndex = 0;
  #cursor: string;
  #submittedSteps = 0;
  #completedSteps = 0;
  #newestVersion: number;
  #idleMs: Milliseconds = 0;
  #failedCalls = 0;
  #stopped = false;
  readonly #startedAtMs: Milliseconds;

  constructor(options: FakeTrainerOptions) {
    this.#options = options;
    this.#tally = new TrainerTally(options.model);
    this.#newestVersion = options.version;
    this.#cursor = options.cursor;
    this.#startedAtMs = options.clock.nowMs();
  }

  /** Trains on all steps, or until `stop`; returns the report. */
  async run(): Promise<TrainerReport> {
    while (!this.#stopped && this.#completedSteps < this.#options.steps) {
      await this.#submitAhead();
      const step = this.#options.firstStep + this.#completedSteps;
      await this.#receiveStep(step);
      if (!this.#tally.isComplete(step)) break;
      await this.#trainOnStep(step);
    }
    await this.#acknowledgeSamples();
    this.#client.close();
    return this.report();
  }

  /** Stops the trainer after the call in progress. */
  stop(): void {
    this.#stopped = true;
  }

  /** Returns the report up to now. */
  report(): TrainerReport {
    return {
      trainer: this.#options.trainer,
      stepsWhole: this.#completedSteps,
      ...this.#tally.counts(),
      idleMs: Math.round(this.#idleMs),
      elapsedMs: Math.round(this.#options.clock.nowMs() - this.#startedAtMs),
      newestVersion: this.#newestVersion,
      failedCalls: this.#failedCalls,
      cursor: this.#cursor,
    };
  }

  async #submitAhead(): Promise<void> {
    const { steps, stepsAhead, firstStep } = this.#options;
    const until = Math.min(steps, this.#completedSteps + 1 + stepsAhead);
    while (!this.#stopped && this.#submittedSteps < until) {
      const step = firstStep + this.#submittedSteps;
      const body = this.#stepBody(step);
      this.#tally.addStep(step, body);
      await this.#sendUntilAccepted({
        method: "PUT",
        path: stepPath(this.#options.trainer, step),
        body,
      });
      this.#submittedSteps += 1;
    }
  }

  async #receiveStep(step: number): Promise<void> {
    const startedMs = this.#options.clock.nowMs();
    while (!this.#stopped && !this.#tally.isComplete(step)) {
      await this.#readSamples(this.#options.waitMs);
    }
    this.#idleMs += this.#options.clock.nowMs() - startedMs;
  }

  async #readSamples(waitMs: Milliseconds): Promise<void> {
    const response = await this.#sendUntilAccepted({
      method: "GET",
      path: samplesPath(this.#options.trainer, {
        after: this.#cursor,
        limit: this.#options.pageLimit,
        waitMs,
      }),
    });
    const page = response === undefined
      ? undefined
      : parseSamplePage(response.text);
    if (page === undefined) return;
    for (const sample of page.samples) {
      this.#tally.addSample(sample, this.#newestVersion);
    }
    this.#cursor = String(page.cursor);
  }

  async #trainOnStep(step: number): Promise<void> {
    await this.#options.clock.sleep(this.#options.trainMs);
    this.#completedSteps += 1;
    this.#options.events.emit(FAKES_EVENTS.stepTrained, { step });
    const every = this.#options.publishIntervalSteps;
    if (every === 0 || this.#completedSteps % every !== 0) return;
    const version = this.#newestVersion + 1;
    const response = await this.#sendUntilAccepted({
      method: "PUT",
      path: versionPath(this.#options.trainer, version),
      body: {},
    });
    if (response !== undefined) this.#newestVersion = version;
  }

  async #acknowledgeSamples(): Promise<void> {
    if (this.#stopped || this.#cursor === "") return;
    await this.#readSamples(0);
  }

  /** Sends a call until an entry VM responds with success; moves to the next entry VM after each failure. */
  async #sendUntilAccepted(
    call: Pick<JsonCall, "method" | "path" | "body">,
  ): Promise<JsonResponse | undefined> {
    let rejections = 0;
    while (!this.#stopped) {
      const entries = this.#options.entries;
      const response = await this.#client.send({
        ...call,
        baseUrl: entries[this.#entryIndex % entries.length] ?? "",
        timeoutMs: CALL_TIMEOUT_MS + this.#options.waitMs,
      });
      if (response.status >= 200 && response.status < 300) return response;
      this.#failedCalls += 1;
      if (isRejection(response.status)) rejections += 1;
      if (rejections >= MAXIMUM_REJECTIONS) {
        throw new Error(`${call.path} was rejected: ${response.text}`);
      }
      this.#options.events.emit(FAKES_EVENTS.trainerCallFailed, {
        path: call.path,
        status: response.status,
        answer: response.text.slice(0, 300),
      });
      this.#entryIndex += 1;
      await this.#options.clock.sleep(RETRY_DELAY_MS);
    }
    return undefined;
  }

  #stepBody(step: number): StepBody {
    const groups = [];
    for (let group = 0; group < this.#options.groups; group += 1) {
      const name = `${this.#options.trainer} step ${step} group ${group}`;
      groups.push({ group, prompt: `${name}: ${PROMPT_FILLER}` });
    }
    return {
      groups,
      groupSize: this.#options.groupSize,
      maximumTokens: this.#options.maximumTokens,
      bound: this.#options.maximumStaleness,
      deadlineMs: this.#options.deadlineMs,
    };
  }
}

function isRejection(status: number): boolean {
  if (status === 408 || status === 429) return false;
  return status >= 400 && status < 500;
}
