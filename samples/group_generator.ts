/**
 * Generates and scores all samples of one group, then commits them to the ledger together.
 *
 * @module
 */
import type { CompletionResult, Milliseconds, TrainerEntry } from "#core";
import { SAMPLES_EVENTS } from "./events.ts";
import { packTexts } from "./group_text.ts";
import { isRetryable, type LedgerClient } from "./ledger_client.ts";
import type { CommitOutcome, LeasedGroup } from "./ledger_types.ts";
import type { SampleMetrics } from "./sample_metrics.ts";
import {
  SampleGenerator,
  type SampleGeneratorOptions,
} from "./sample_generator.ts";
import type { ScoringClient } from "./scoring_client.ts";

const COMMIT_RETRY_INTERVAL_MS: Milliseconds = 250;

/** Options shared by all instances of `GroupGenerator` at an entry. */
export interface GroupGeneratorOptions extends SampleGeneratorOptions {
  readonly ledger: LedgerClient;
  readonly scoring: ScoringClient;
  readonly metrics: SampleMetrics;
  /** Fetches the published versions from the ledger. */
  readonly refreshVersions: () => Promise<void>;
}

/** Outcome of generating a group. */
export type GroupOutcome = CommitOutcome | "aborted" | "refused";

interface ScoredSample {
  readonly answer: CompletionResult;
  readonly score: number;
}

/** Generates one group. */
export class GroupGenerator {
  readonly group: LeasedGroup;
  readonly generators: readonly SampleGenerator[];
  readonly #options: GroupGeneratorOptions;
  readonly #trainer: TrainerEntry;
  readonly #controller = new AbortController();

  constructor(
    options: GroupGeneratorOptions,
    work: { readonly group: LeasedGroup; readonly trainer: TrainerEntry },
  ) {
    this.#options = options;
    this.group = work.group;
    this.#trainer = work.trainer;
    const samples: SampleGenerator[] = [];
    for (let index = 0; index < work.group.groupSize; index += 1) {
      samples.push(new SampleGenerator(options, { ...work, index }));
    }
    this.generators = samples;
  }

  /** Cancels generation; nothing more is committed, except by a commit that was already sent. */
  abort(): void {
    this.#controller.abort();
  }

  /** Runs until the group is committed by this or another entry, is permanently rejected, or is aborted. */
  async run(): Promise<GroupOutcome> {
    const startedAtMs = this.#options.clock.nowMs();
    const outcome = await this.#generateUntilCommitted();
    this.#options.metrics.recordGroup(this.#trainer, {
      outcome,
      durationMs: this.#options.clock.nowMs() - startedAtMs,
    });
    return outcome;
  }

  async #generateUntilCommitted(): Promise<GroupOutcome> {
    const samples: (ScoredSample | null)[] = this.generators.map(() => null);
    while (!this.#controller.signal.aborted) {
      await this.#generateMissing(samples);
      const complete = this.#completeSamples(samples);
      if (complete === null) continue;
      const outcome = await this.#commit(complete);
      if (outcome === "committed" || outcome === "duplicate") return outcome;
      if (outcome === "refused") return outcome;
      await this.#options.refreshVersions();
      await this.#options.clock.sleep(COMMIT_RETRY_INTERVAL_MS);
    }
    return "aborted";
  }

  async #generateMissing(samples: (ScoredSample | null)[]): Promise<void> {
    await Promise.all(this.generators.map(async (sample, index) => {
      const existing = samples[index] ?? null;
      if (existing !== null && sample.isWithinBound(existing.answer)) return;
      samples[index] = null;
      samples[index] = await this.#generateScored(sample);
    }));
  }

  async #generateScored(sample: SampleGenerator): Promise<ScoredSample | null> {
    const answer = await sample.generate(this.#controller.signal);
    if (answer === null) return null;
    const score = await this.#options.scoring.score({
      requestId: `${sample.key}/score`,
      trainer: this.#trainer,
      prompt: this.group.prompt,
      text: answer.text,
      signal: this.#controller.signal,
    });
    return score === null ? null : { answer, score };
  }

  #completeSamples(
    samples: readonly (ScoredSample | null)[],
  ): readonly ScoredSample[] | null {
    const complete: ScoredSample[] = [];
    for (const [index, sample] of samples.entries()) {
      if (sample === null) return null;
      if (!this.generators[index]?.isWithinBound(sample.answer)) return null;
      complete.push(sample);
    }
    return complete;
  }

  async #commit(
    samples: readonly ScoredSample[],
  ): Promise<CommitOutcome | "refused" | "unknown"> {
    const packed = packTexts(samples.map((sample) => sample.answer.text));
    const outcome = await this.#options.ledger.commit({
      kind: "commit",
      trainer: this.group.trainer,
      step: this.group.step,
      group: this.group.group,
      samples: samples.map(({ answer, score }, index) => ({
        tokens: answer.tokens,
        versions: [...answer.runs ?? []],
        score,
        textBytes: packed.lengths[index] ?? 0,
      })),
      text: packed.text,
    });
    if (outcome.ok) return outcome.val;
    if (isRetryable(outcome.val)) return "unknown";
    this.#options.events.emit(SAMPLES_EVENTS.groupRejected, {
      trainer: this.group.trainer,
      step: this.group.step,
      group: this.group.group,
      failure: outcome.val,
    });
    return "refused";
  }
}
