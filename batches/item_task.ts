/**
 * One item that the leading store VM works on: what the log holds of it, and what an engine has made since.
 *
 * @module
 */
import type { Milliseconds } from "#core";
import {
  type Batch,
  type ItemOutcome,
  type ItemProgress,
  type ItemUpdate,
  NO_PROGRESS,
} from "./batch_types.ts";
import { type ItemState, versionsAllowed } from "./batches_machine.ts";
import type { GeneratedEvent } from "./item_run.ts";

/** Estimates are often too low: whatever was made, this part of it is expected to follow. */
const EXPECTED_GROWTH_RATIO = 0.5;

/** A run that goes on. */
export interface ActiveRun {
  readonly engine: string;
  /** The life of the engine. */
  readonly incarnation: string;
  readonly abort: AbortController;
  readonly startedMs: Milliseconds;
  lastEventMs: Milliseconds;
  hasEvents: boolean;
}

/** The work on one item. */
export class ItemTask {
  readonly batch: Batch;
  readonly dueMs: Milliseconds;
  run: ActiveRun | undefined;
  moves = 0;
  #logged: ItemState;
  #newEvents: GeneratedEvent[] = [];
  #restartPending = false;
  #newFailures = 0;
  #outcome: ItemOutcome | null = null;
  #proposedUpdate: ItemUpdate | undefined;

  constructor(
    batch: Batch,
    options: { readonly held: ItemState; readonly dueMs: Milliseconds },
  ) {
    this.batch = batch;
    this.#logged = options.held;
    this.dueMs = options.dueMs;
  }

  get key(): string {
    return `${this.batch.id}/${this.#logged.item.id}`;
  }

  get item(): ItemState["item"] {
    return this.#logged.item;
  }

  get resubmitted(): boolean {
    return this.#logged.again;
  }

  /** Whether nothing more is to be run. */
  get done(): boolean {
    return this.#outcome !== null;
  }

  /** Failures of engines so far. */
  get failures(): number {
    return this.#logged.failures + this.#newFailures;
  }

  /** Whether there is something that the log doesn't hold yet. */
  get hasUnloggedChanges(): boolean {
    return this.#restartPending || this.#newFailures > 0 ||
      this.#newEvents.length > 0 ||
      this.#outcome !== null;
  }

  /** The last event that is known here. */
  get lastEvent(): number | null {
    return this.#newEvents.at(-1)?.id ?? this.#baseProgress().lastEvent;
  }

  /** Versions that have made events. */
  get versions(): readonly number[] {
    const made = this.#newEvents.map((event) => event.version);
    return [...new Set([...this.#baseProgress().versions, ...made])];
  }

  /** Estimate of the tokens that are left, by the number of events so far; a long text tends to go on. */
  tokensLeft(tokensPerEvent: number): number {
    const { expectedTokens } = this.item;
    const made = this.tokensGenerated(tokensPerEvent);
    return Math.max(expectedTokens - made, made * EXPECTED_GROWTH_RATIO);
  }

  /** Estimate of the tokens that are made. */
  tokensGenerated(tokensPerEvent: number): number {
    return (this.#baseProgress().events + this.#newEvents.length) *
      tokensPerEvent;
  }

  /** Whether a version may make the next event. */
  allowsVersion(version: number): boolean {
    const versions = [...new Set([...this.versions, version])];
    return versionsAllowed(this.batch, versions);
  }

  /** The only version that may go on with the text, or null. */
  get boundVersion(): number | null {
    return this.batch.singleVersion ? this.versions[0] ?? null : null;
  }

  /** Takes an event. */
  addEvent(event: GeneratedEvent): void {
    this.#newEvents.push(event);
  }

  /** Drops the text: no engine can go on with it. */
  restart(): void {
    this.#newEvents = [];
    this.#restartPending = this.#logged.progress.events > 0;
  }

  /** Counts a failure of an engine. */
  countFailure(): void {
    this.#newFailures += 1;
  }

  /** Ends the work. */
  finish(outcome: ItemOutcome): void {
    this.#outcome = outcome;
  }

  /** What the log is to take now. */
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
    };
    this.#proposedUpdate = update;
    return update;
  }

  /** Follows what the log holds after an update was sent; returns whether the update is in it. */
  confirmUpdate(state: ItemState): boolean {
    const proposed = this.#proposedUpdate;
    this.#proposedUpdate = undefined;
    if (proposed === undefined) return false;
    if (state.lastUpdate !== proposed.id) return false;
    this.#newEvents = this.#newEvents.slice(proposed.events);
    this.#newFailures -= proposed.failures;
    if (proposed.restart) this.#restartPending = false;
    this.#logged = state;
    return true;
  }

  /** Whether this work still builds on what the log holds: an update of an earlier lead can come late. */
  isBasedOn(state: ItemState): boolean {
    return this.#proposedUpdate !== undefined || this.#logged === state;
  }

  #baseProgress(): ItemProgress {
    return this.#restartPending ? NO_PROGRESS : this.#logged.progress;
  }
}

/** Ends the run of an item, if there is one. */
export function abortRun(task: ItemTask): void {
  const { run } = task;
  task.run = undefined;
  run?.abort.abort();
}
