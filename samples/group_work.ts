/**
 * One group: all its samples made and scored, then committed as a whole.
 *
 * @module
 */
import type { CompletionAnswer, Milliseconds, TrainerEntry } from "#core";
import { SAMPLES_EVENTS } from "./events.ts";
import { packTexts } from "./group_text.ts";
import { isRetryable, type LedgerClient } from "./ledger_client.ts";
import type { CommitOutcome, LeasedGroup } from "./ledger_types.ts";
import type { SampleMetrics } from "./sample_metrics.ts";
import { SampleWork, type SampleWorkOptions } from "./sample_work.ts";
import type { Scoring } from "./scoring.ts";

const BETWEEN_COMMITS_MS: Milliseconds = 250;

/** What the work on groups of an entry is built from. */
export interface GroupWorkOptions extends SampleWorkOptions {
  readonly ledger: LedgerClient;
  readonly scoring: Scoring;
  readonly metrics: SampleMetrics;
  /** Fetches what the ledger knows of published versions. */
  readonly refresh: () => Promise<void>;
}

/** How the work on a group ended. */
export type GroupOutcome = CommitOutcome | "aborted" | "refused";

interface ScoredSample {
  readonly answer: CompletionAnswer;
  readonly score: number;
}

/** Makes one group. */
export class GroupWork {
  readonly group: LeasedGroup;
  readonly samples: readonly SampleWork[];
  readonly #options: GroupWorkOptions;
  readonly #trainer: TrainerEntry;
  readonly #controller = new AbortController();

  constructor(
    options: GroupWorkOptions,
    work: { readonly group: LeasedGroup; readonly trainer: TrainerEntry },
  ) {
    this.#options = options;
    this.group = work.group;
    this.#trainer = work.trainer;
    const samples: SampleWork[] = [];
    for (let index = 0; index < work.group.groupSize; index += 1) {
      samples.push(new SampleWork(options, { ...work, index }));
    }
    this.samples = samples;
  }

  /** Ends the work; nothing is committed after this, except a commit already sent. */
  abort(): void {
    this.#controller.abort();
  }

  /** Works until the group is committed by anybody, refused for good, or aborted. */
  async run(): Promise<GroupOutcome> {
    const beganMs = this.#options.clock.nowMs();
    const outcome = await this.#work();
    this.#options.metrics.recordGroup(this.#trainer, {
      outcome,
      durationMs: this.#options.clock.nowMs() - beganMs,
    });
    return outcome;
  }

  async #work(): Promise<GroupOutcome> {
    const made: (ScoredSample | null)[] = this.samples.map(() => null);
    while (!this.#controller.signal.aborted) {
      await this.#fill(made);
      const whole = this.#whole(made);
      if (whole === null) continue;
      const outcome = await this.#commit(whole);
      if (outcome === "committed" || outcome === "duplicate") return outcome;
      if (outcome === "refused") return outcome;
      await this.#options.refresh();
      await this.#options.clock.sleep(BETWEEN_COMMITS_MS);
    }
    return "aborted";
  }

  async #fill(made: (ScoredSample | null)[]): Promise<void> {
    await Promise.all(this.samples.map(async (sample, index) => {
      const known = made[index] ?? null;
      if (known !== null && sample.isFresh(known.answer)) return;
      made[index] = null;
      made[index] = await this.#makeOne(sample);
    }));
  }

  async #makeOne(sample: SampleWork): Promise<ScoredSample | null> {
    const answer = await sample.make(this.#controller.signal);
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

  #whole(
    made: readonly (ScoredSample | null)[],
  ): readonly ScoredSample[] | null {
    const whole: ScoredSample[] = [];
    for (const [index, sample] of made.entries()) {
      if (sample === null) return null;
      if (!this.samples[index]?.isFresh(sample.answer)) return null;
      whole.push(sample);
    }
    return whole;
  }

  async #commit(
    whole: readonly ScoredSample[],
  ): Promise<CommitOutcome | "refused" | "unknown"> {
    const packed = packTexts(whole.map((sample) => sample.answer.text));
    const outcome = await this.#options.ledger.commit({
      kind: "commit",
      trainer: this.group.trainer,
      step: this.group.step,
      group: this.group.group,
      samples: whole.map(({ answer, score }, index) => ({
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
