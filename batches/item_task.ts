/**
 * Task of the leading store VM for one item: the state of the item in the log, and what engines have generated
 * since.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import {
  type BatchHeader,
  type ItemOutcome,
  type ItemProgress,
  type ItemUpdate,
  NO_PROGRESS,
} from "./batch_types.ts";
import type { ItemState } from "./batch_state.ts";
import { versionsAllowed } from "./batches_machine.ts";
import type { GeneratedEvent } from "./item_run.ts";
import { FailedRuns } from "./failed_runs.ts";

/** Fraction of the generated tokens that is expected to follow at least, since estimates are often too low. */
const EXPECTED_GROWTH_RATIO = 0.5;

/** A run in progress. */
export interface ActiveRun {
  readonly engine: string;
  /** Incarnation of the engine. */
  readonly incarnation: string;
  readonly abort: AbortController;
  readonly startedMs: Milliseconds;
  lastEventMs: Milliseconds;
  /** Whether an event has arrived since the run started. */
  hasEvents: boolean;
}

/** A scoring call in progress. */
export interface ActiveScoring {
  /** Service that the call was sent to. */
  readonly service: string;
  readonly abort: AbortController;
}

/** What the runs of an item on this VM amounted to. */
export interface RunUsage {
  count: number;
  /** Time of the ended runs, from each start to the last event of that run. */
  totalMs: Milliseconds;
  /** Longest time between two events of one run. */
  longestGapMs: Milliseconds;
  latestEngine: string | null;
}

/** The task to complete one item. */
export class ItemTask {
  readonly batch: BatchHeader;
  readonly dueMs: Milliseconds;
  /** Identifier of the group of the item, which the log no longer holds once it is listed. */
  readonly group: string;
  readonly runUsage: RunUsage = {
    count: 0,
    totalMs: 0,
    longestGapMs: 0,
    latestEngine: null,
  };
  run: ActiveRun | undefined;
  scoring: ActiveScoring | undefined;
  moves = 0;
  /** Runs on this VM that failed. */
  readonly failedRuns = new FailedRuns();
  /** When its last event arrived on this VM, or since when this VM has the item. */
  progressMs: Milliseconds;
  #logged: ItemState;
  #newEvents: GeneratedEvent[] = [];
  #restartPending = false;
  #newFailures = 0;
  #textComplete = false;
  #newScore: string | null = null;
  #newScoringFailures = 0;
  #outcome: ItemOutcome | null = null;
  #proposedUpdate: ItemUpdate | undefined;
  /** Whether the text was discarded while the proposed update was in flight. */
  #restartedSinceProposal = false;

  constructor(
    batch: BatchHeader,
    options: {
      readonly logged: ItemState;
      readonly dueMs: Milliseconds;
      readonly nowMs: Milliseconds;
    },
  ) {
    this.batch = batch;
    this.progressMs = options.nowMs;
    this.#logged = options.logged;
    this.group = options.logged.item.group;
    this.dueMs = options.dueMs;
  }

  get key(): string {
    return `${this.batch.id}/${this.#logged.item.id}`;
  }

  get item(): ItemState["item"] {
    return this.#logged.item;
  }

  /** Whether an earlier batch already contained the item. */
  get resubmitted(): boolean {
    return this.#logged.again;
  }

  /** Whether the item is completed or abandoned. */
  get done(): boolean {
    return this.#outcome !== null;
  }

  /** Number of engine failures so far. */
  get failures(): number {
    return this.#logged.failures + this.#newFailures;
  }

  /** Whether the item needs no run now: it has one, or its text is complete, or it is abandoned. */
  get isBusy(): boolean {
    return this.run !== undefined || this.textComplete || this.done;
  }

  /** Whether the text is complete. */
  get textComplete(): boolean {
    return this.#textComplete || this.#logged.whole;
  }

  /** Number of failures of the scoring call so far. */
  get scoringFailures(): number {
    return this.#logged.scoringFailures + this.#newScoringFailures;
  }

  /** Whether there are changes that the log does not contain yet. */
  get hasUnloggedChanges(): boolean {
    return this.#restartPending || this.#newFailures > 0 ||
      this.#newScoringFailures > 0 || this.#newEvents.length > 0 ||
      (this.#textComplete && !this.#logged.whole) || this.#outcome !== null;
  }

  /** Length of the texts that the log does not contain yet. */
  get unloggedTextLength(): number {
    let length = 0;
    for (const { data } of this.#newEvents) length += data.length;
    return length;
  }

  /** Identifier of the last known event, or null before the first event. */
  get lastEvent(): number | null {
    return this.#newEvents.at(-1)?.id ?? this.#baseProgress().lastEvent;
  }

  /** Weight versions that have generated events. */
  get versions(): readonly number[] {
    const newVersions = this.#newEvents.map((event) => event.version);
    return [...new Set([...this.#baseProgress().versions, ...newVersions])];
  }

  /** Returns the estimated number of tokens left; a text longer than expected tends to continue. */
  tokensLeft(tokensPerEvent: number): number {
    const { expectedTokens } = this.item;
    const generated = this.tokensGenerated(tokensPerEvent);
    return Math.max(
      expectedTokens - generated,
      generated * EXPECTED_GROWTH_RATIO,
    );
  }

  /** Number of events generated so far. */
  get eventCount(): number {
    return this.#baseProgress().events + this.#newEvents.length;
  }

  /** Returns the estimated number of tokens generated so far, by the number of events. */
  tokensGenerated(tokensPerEvent: number): number {
    return this.eventCount * tokensPerEvent;
  }

  /** Returns whether a version may generate the next event. */
  allowsVersion(version: number): boolean {
    const versions = [...new Set([...this.versions, version])];
    return versionsAllowed(this.batch, versions);
  }

  /** The only version that may continue the text, or null. */
  get boundVersion(): number | null {
    return this.batch.singleVersion ? this.versions[0] ?? null : null;
  }

  /** Appends an event to the text. */
  addEvent(event: GeneratedEvent): void {
    this.#newEvents.push(event);
  }

  /** Discards the text, because no engine can continue it. */
  restart(): void {
    const proposedEvents = this.#proposedUpdate?.events ?? 0;
    this.#newEvents = [];
    this.#restartPending = this.#logged.progress.events + proposedEvents > 0;
    this.#restartedSinceProposal = this.#proposedUpdate !== undefined;
  }

  /** Counts an engine failure. */
  countFailure(): void {
    this.#newFailures += 1;
  }

  /** Records that the text is complete, which completes an item that needs no score. */
  completeText(): void {
    this.#textComplete = true;
    if (this.item.scoring === null) this.finish("completed");
  }

  /** Sets the score of the complete text, which completes the item. */
  setScore(score: string): void {
    this.#newScore = score;
    this.finish("completed");
  }

  /** Counts failures of the scoring call. */
  countScoringFailures(count: number): void {
    this.#newScoringFailures += count;
  }

  /** Sets the final outcome of the item. */
  finish(outcome: ItemOutcome): void {
    this.#outcome = outcome;
  }

  /** Returns the update with all changes that the log does not contain yet, and remembers it as proposed. */
  prepareUpdate(id: string): ItemUpdate {
    const update: ItemUpdate = {
      id,
      batch: this.batch.id,
      item: this.item.id,
      fromEvents: this.#logged.progress.events,
      events: this.#newEvents.length,
      lastEvent: this.#newEvents.at(-1)?.id ?? null,
      text: this.#newEvents.map((event) => event.data).join("\n"),
      versions: [...new Set(this.#newEvents.map((event) => event.version))],
      failures: this.#newFailures,
      restart: this.#restartPending,
      outcome: this.#outcome,
      ...(this.item.scoring === null ? {} : this.#scoringUpdate()),
    };
    this.#proposedUpdate = update;
    this.#restartedSinceProposal = false;
    return update;
  }

  /** Adopts the logged state if it contains the proposed update; returns whether it does. */
  confirmUpdate(state: ItemState): boolean {
    const proposed = this.#proposedUpdate;
    this.#proposedUpdate = undefined;
    if (proposed === undefined) return false;
    if (state.lastUpdate !== proposed.id) return false;
    this.#newFailures -= proposed.failures;
    this.#newScoringFailures -= proposed.scoringFailures ?? 0;
    this.#logged = state;
    if (this.#restartedSinceProposal) {
      this.#restartPending = state.progress.events > 0;
      return true;
    }
    this.#newEvents = this.#newEvents.slice(proposed.events);
    if (proposed.restart) this.#restartPending = false;
    return true;
  }

  /**
   * Returns whether this task is based on the logged state, which a late update from an earlier leadership can
   * change. Always true while an update of this task is proposed.
   */
  isBasedOn(state: ItemState): boolean {
    return this.#proposedUpdate !== undefined || this.#logged === state;
  }

  #scoringUpdate(): Pick<
    ItemUpdate,
    "textComplete" | "score" | "scoringFailures"
  > {
    return {
      textComplete: this.#textComplete,
      score: this.#newScore,
      scoringFailures: this.#newScoringFailures,
    };
  }

  #baseProgress(): ItemProgress {
    return this.#restartPending ? NO_PROGRESS : this.#logged.progress;
  }
}

/** Aborts the run and the scoring call of an item, if there are any. */
export function abortRun(task: ItemTask): void {
  const { run, scoring } = task;
  task.run = undefined;
  task.scoring = undefined;
  run?.abort.abort();
  scoring?.abort.abort();
}
