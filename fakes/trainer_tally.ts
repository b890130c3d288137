/**
 * Validates the samples that a fake trainer receives against the steps that it submitted. Has no I/O.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import { matchesVersionRuns } from "./token_text.ts";
import type { DeliveredSample, StepBody } from "./trainer_protocol.ts";

/** Results of a trainer. */
export interface TrainerReport {
  readonly trainer: string;
  readonly stepsWhole: number;
  readonly samples: number;
  /** Number of duplicate deliveries of samples. */
  readonly doubled: number;
  /** Number of samples that no step requested. */
  readonly unasked: number;
  /** Number of samples whose text does not match the reported versions. */
  readonly untrue: number;
  /** Number of samples that exceeded the staleness bound when received. */
  readonly overBound: number;
  readonly idleMs: Milliseconds;
  readonly elapsedMs: Milliseconds;
  /** Mean and maximum number of versions that a sample was behind when received. */
  readonly meanStaleness: number;
  readonly greatestStaleness: number;
  readonly newestVersion: number;
  readonly failedCalls: number;
  /** Cursor to resume reading from. */
  readonly cursor: string;
}

/** Counts and validates samples as they are received. */
export class TrainerTally {
  readonly #model: string;
  readonly #steps = new Map<number, StepBody>();
  readonly #missingSamples = new Map<number, Set<string>>();
  #samples = 0;
  #duplicateSamples = 0;
  #unrequestedSamples = 0;
  #mismatchedSamples = 0;
  #tooStaleSamples = 0;
  #stalenessSum = 0;
  #greatestStaleness = 0;

  constructor(model: string) {
    this.#model = model;
  }

  /** Records a submitted step. */
  addStep(step: number, body: StepBody): void {
    if (this.#steps.has(step)) return;
    this.#steps.set(step, body);
    const slots = new Set<string>();
    for (const { group } of body.groups) {
      for (let index = 0; index < body.groupSize; index += 1) {
        slots.add(`${group}/${index}`);
      }
    }
    this.#missingSamples.set(step, slots);
  }

  /** Records a sample that was received while `newestVersion` was the newest published version. */
  addSample(sample: DeliveredSample, newestVersion: number): void {
    const body = this.#steps.get(sample.step);
    const missing = this.#missingSamples.get(sample.step);
    const group = body?.groups.find((candidate) =>
      candidate.group === sample.group
    );
    if (body === undefined || missing === undefined || group === undefined) {
      this.#unrequestedSamples += 1;
      return;
    }
    if (!missing.delete(`${sample.group}/${sample.index}`)) {
      this.#duplicateSamples += 1;
      return;
    }
    this.#samples += 1;
    const oldest = Math.min(...sample.versions.map((run) => run.version));
    const staleness = Math.max(0, newestVersion - oldest);
    this.#stalenessSum += staleness;
    this.#greatestStaleness = Math.max(this.#greatestStaleness, staleness);
    if (staleness > body.bound) this.#tooStaleSamples += 1;
    const source = { model: this.#model, prompt: group.prompt };
    if (!matchesVersionRuns(sample.text, source, sample.versions)) {
      this.#mismatchedSamples += 1;
    }
  }

  /** Returns whether every sample of the step was received. */
  isComplete(step: number): boolean {
    return this.#missingSamples.get(step)?.size === 0;
  }

  /** Returns the counts up to now. */
  counts(): Pick<
    TrainerReport,
    | "samples"
    | "doubled"
    | "unasked"
    | "untrue"
    | "overBound"
    | "meanStaleness"
    | "greatestStaleness"
  > {
    return {
      samples: this.#samples,
      doubled: this.#duplicateSamples,
      unasked: this.#unrequestedSamples,
      untrue: this.#mismatchedSamples,
      overBound: this.#tooStaleSamples,
      meanStaleness: this.#samples === 0
        ? 0
        : this.#stalenessSum / this.#samples,
      greatestStaleness: this.#greatestStaleness,
    };
  }
}
