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
import { type HeldItem, versionsFit } from "./batches_machine.ts";
import type { MadeEvent } from "./item_run.ts";

/** Estimates are often too low: whatever was made, this part of it is expected to follow. */
const LEFT_PART_OF_MADE = 0.5;

/** A run that goes on. */
export interface OngoingRun {
  readonly engine: string;
  /** The life of the engine. */
  readonly key: string;
  readonly abort: AbortController;
  readonly startedMs: Milliseconds;
  lastEventMs: Milliseconds;
  begun: boolean;
}

/** The work on one item. */
export class ItemWork {
  readonly batch: Batch;
  readonly dueMs: Milliseconds;
  run: OngoingRun | undefined;
  moves = 0;
  #held: HeldItem;
  #tail: MadeEvent[] = [];
  #restart = false;
  #failures = 0;
  #outcome: ItemOutcome | null = null;
  #sent: ItemUpdate | undefined;

  constructor(
    batch: Batch,
    options: { readonly held: HeldItem; readonly dueMs: Milliseconds },
  ) {
    this.batch = batch;
    this.#held = options.held;
    this.dueMs = options.dueMs;
  }

  get key(): string {
    return `${this.batch.id}/${this.#held.item.id}`;
  }

  get item(): HeldItem["item"] {
    return this.#held.item;
  }

  get again(): boolean {
    return this.#held.again;
  }

  /** Whether nothing more is to be run. */
  get done(): boolean {
    return this.#outcome !== null;
  }

  /** Failures of engines so far. */
  get failures(): number {
    return this.#held.failures + this.#failures;
  }

  /** Whether there is something that the log doesn't hold yet. */
  get dirty(): boolean {
    return this.#restart || this.#failures > 0 || this.#tail.length > 0 ||
      this.#outcome !== null;
  }

  /** The last event that is known here. */
  get lastEvent(): number | null {
    return this.#tail.at(-1)?.id ?? this.#base().lastEvent;
  }

  /** Versions that have made events. */
  get versions(): readonly number[] {
    const made = this.#tail.map((event) => event.version);
    return [...new Set([...this.#base().versions, ...made])];
  }

  /** Estimate of the tokens that are left, by the number of events so far; a long text tends to go on. */
  tokensLeft(tokensPerEvent: number): number {
    const { expectedTokens } = this.item;
    const made = this.tokensMade(tokensPerEvent);
    return Math.max(expectedTokens - made, made * LEFT_PART_OF_MADE);
  }

  /** Estimate of the tokens that are made. */
  tokensMade(tokensPerEvent: number): number {
    return (this.#base().events + this.#tail.length) * tokensPerEvent;
  }

  /** Whether a version may make the next event. */
  mayMake(version: number): boolean {
    const versions = [...new Set([...this.versions, version])];
    return versionsFit(this.batch, versions);
  }

  /** The only version that may go on with the text, or null. */
  get onlyVersion(): number | null {
    return this.batch.singleVersion ? this.versions[0] ?? null : null;
  }

  /** Takes an event. */
  add(event: MadeEvent): void {
    this.#tail.push(event);
  }

  /** Drops the text: no engine can go on with it. */
  restart(): void {
    this.#tail = [];
    this.#restart = this.#held.progress.events > 0;
  }

  /** Counts a failure of an engine. */
  fail(): void {
    this.#failures += 1;
  }

  /** Ends the work. */
  finish(outcome: ItemOutcome): void {
    this.#outcome = outcome;
  }

  /** What the log is to take now. */
  takeUpdate(id: string): ItemUpdate {
    const update: ItemUpdate = {
      id,
      batch: this.batch.id,
      item: this.item.id,
      fromEvents: this.#held.progress.events,
      events: this.#tail.length,
      lastEvent: this.#tail.at(-1)?.id ?? null,
      text: this.#tail.map((event) => event.data).join("\n"),
      versions: [...new Set(this.#tail.map((event) => event.version))],
      failures: this.#failures,
      restart: this.#restart,
      outcome: this.#outcome,
    };
    this.#sent = update;
    return update;
  }

  /** Follows what the log holds after an update was sent; returns whether the update is in it. */
  settle(held: HeldItem): boolean {
    const sent = this.#sent;
    this.#sent = undefined;
    if (sent === undefined) return false;
    if (held.lastUpdate !== sent.id) return false;
    this.#tail = this.#tail.slice(sent.events);
    this.#failures -= sent.failures;
    if (sent.restart) this.#restart = false;
    this.#held = held;
    return true;
  }

  /** Whether this work still builds on what the log holds: an update of an earlier lead can come late. */
  buildsOn(held: HeldItem): boolean {
    return this.#sent !== undefined || this.#held === held;
  }

  #base(): ItemProgress {
    return this.#restart ? NO_PROGRESS : this.#held.progress;
  }
}

/** Ends the run of an item, if there is one. */
export function endRun(work: ItemWork): void {
  const { run } = work;
  work.run = undefined;
  run?.abort.abort();
}
