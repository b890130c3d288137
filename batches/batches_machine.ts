/**
 * Replicated state machine of the batches. A batch is accepted completely or not at all. Each item is listed
 * once, at a position that never changes. The progress of an item is retained after its batch has ended, so
 * that a later batch with the same item resumes from it.
 *
 * @module
 */
import {
  type Bytes,
  collectGarbage,
  type Committed,
  Err,
  fail,
  type Failure,
  MEBIBYTE,
  type Milliseconds,
  Ok,
  type Result,
  type ServedVersion,
  StateMachine,
  type StateRestoration,
} from "#core";
import {
  addProgress,
  type Batch,
  type BatchHeader,
  type BatchItem,
  isVisibleTo,
  type ItemOutcome,
  type ItemUpdate,
  NO_PROGRESS,
} from "./batch_types.ts";
import { PartReader, toParts, toWholeValue } from "./batch_snapshot.ts";
import {
  type BatchState,
  freshItemState,
  isCompleted,
  type ItemState,
  MutableBatchState,
  ownItem,
} from "./batch_state.ts";
import type { EngineSpeed } from "./engine_observations.ts";
import { textOf } from "./held_text.ts";
import { LoggedSpeeds } from "./logged_speeds.ts";

/** State from which on its memory is reclaimed at once when it is dropped. */
const LARGE_STATE_BYTES: Bytes = 8 * MEBIBYTE;

/** A command of the batch log. */
export type BatchesCommand =
  | {
    readonly kind: "accept";
    readonly batch: Batch;
    /** Retention time of the batch once it has ended, counted from its acceptance. */
    readonly keepMs: Milliseconds;
  }
  | {
    readonly kind: "update";
    readonly updates: readonly ItemUpdate[];
    /** Speeds of the engines that the leader has observed. Absent in logs of earlier builds. */
    readonly speeds?: readonly EngineSpeed[];
  }
  | { readonly kind: "end"; readonly id: string };

/** Stores the batches, their items and results. */
export class BatchesMachine
  extends StateMachine<BatchesCommand, number, null, null> {
  override readonly name = "batches";
  readonly #batches = new Map<string, MutableBatchState>();
  /** Identifier of the latest batch that contains an item, by item identifier. */
  readonly #latestBatchIdByItem = new Map<string, string>();
  readonly #speeds = new LoggedSpeeds();
  /** Time before which no batch is to be removed. */
  #nextExpiryMs: Milliseconds = Infinity;

  override apply(
    entry: Committed<BatchesCommand>,
  ): Result<number, Failure> {
    const { command, atMs } = entry;
    this.#removeExpired(atMs);
    if (command.kind === "accept") return this.#accept(command, atMs);
    if (command.kind === "update") {
      if (command.speeds !== undefined) this.#speeds.set(command.speeds, atMs);
      return this.#applyUpdates(command.updates);
    }
    if (command.kind === "end") return this.#end(command.id);
    return Err(fail("malformed_request", "unknown batch command"));
  }

  override query(): Result<null, Failure> {
    return Ok(null);
  }

  /** Returns a batch by its identifier. */
  find(id: string): BatchState | undefined {
    return this.#batches.get(id);
  }

  /** Returns the minimum version of each model, taken from its most recently accepted batch that sets one. */
  requestedVersions(): readonly ServedVersion[] {
    const minimumVersions = new Map<string, number>();
    for (const { batch } of this.#batches.values()) {
      const { model, minimumVersion } = batch;
      if (minimumVersion !== null) minimumVersions.set(model, minimumVersion);
    }
    return [...minimumVersions].map(([model, version]) => ({ model, version }));
  }

  /** Returns the speeds of the engines that a leader logged last. */
  engineSpeeds(wallMs: Milliseconds): readonly EngineSpeed[] {
    return this.#speeds.at(wallMs);
  }

  /** Returns the batches that have not ended, in the order of their acceptance. */
  openBatches(): readonly BatchState[] {
    return [...this.#batches.values()].filter((each) => !each.ended);
  }

  /** Returns the memory of all batches in bytes, with the expected growth of the open ones. */
  override stateBytes(): Bytes {
    let bytes = 0;
    for (const state of this.#batches.values()) bytes += state.bytes;
    return bytes;
  }

  /**
   * Returns the memory that the batches need at a time, in bytes, with the expected growth of the open ones.
   * Batches whose retention has ended by then do not count.
   */
  bytesAt(wallMs: Milliseconds): Bytes {
    let bytes = 0;
    for (const state of this.#batches.values()) {
      if (wallMs < state.expiryMs) bytes += state.bytes;
    }
    return bytes;
  }

  override snapshot(): unknown {
    return toWholeValue(this.#batches.values());
  }

  override restore(state: unknown): void {
    const restoration = this.startRestoration();
    restoration.add(state);
    restoration.finish();
  }

  override snapshotParts(): Iterable<unknown> {
    return toParts(this.#batches.values());
  }

  override startRestoration(): StateRestoration {
    this.#dropState();
    const reader = new PartReader();
    return {
      add: (part) => reader.add(part),
      finish: () => {
        this.#adopt(reader.batches);
        // The caller may keep the restoration longer than the machine keeps the state.
        reader.batches.clear();
      },
    };
  }

  /** Releases all texts at once, since those of two states could exceed the memory of the VM. */
  #dropState(): void {
    const isLarge = this.stateBytes() > LARGE_STATE_BYTES;
    this.#batches.clear();
    this.#latestBatchIdByItem.clear();
    this.#nextExpiryMs = Infinity;
    if (isLarge) collectGarbage();
  }

  #adopt(batches: ReadonlyMap<string, MutableBatchState>): void {
    for (const [id, state] of batches) {
      this.#batches.set(id, state);
      this.#expectExpiry(state);
      for (const item of state.items.keys()) {
        this.#latestBatchIdByItem.set(item, id);
      }
    }
  }

  #accept(
    command: Extract<BatchesCommand, { kind: "accept" }>,
    atMs: Milliseconds,
  ): Result<number, Failure> {
    const { batch, keepMs } = command;
    const known = this.#batches.get(batch.id);
    if (known !== undefined) {
      if (!isVisibleTo(known.batch, batch)) {
        return Err(fail("not_found", `batch ${batch.id} does not exist`));
      }
      if (sameItems(known, batch)) return Ok(batch.items.length);
      const message = `batch ${batch.id} already exists with different items`;
      return Err(fail("conflict", message));
    }
    const { items, ...header } = batch;
    const state = new MutableBatchState({
      batch: header,
      acceptedMs: atMs,
      keepMs,
      ended: false,
    });
    for (const item of items) {
      state.setItem(this.#initialState(batch, ownItem(item)));
    }
    this.#batches.set(batch.id, state);
    for (const [id, itemState] of state.items) {
      this.#latestBatchIdByItem.set(id, batch.id);
      if (isCompleted(itemState)) state.list(itemState, "completed");
    }
    return Ok(items.length);
  }

  /** Returns the initial state of an item, with its progress in an earlier batch if the new one allows it. */
  #initialState(batch: BatchHeader, item: BatchItem): ItemState {
    const fresh = freshItemState(item);
    const earlier = this.#batches.get(
      this.#latestBatchIdByItem.get(item.id) ?? "",
    );
    const before = earlier?.items.get(item.id);
    if (earlier === undefined || before === undefined) return fresh;
    const fits = isVisibleTo(earlier.batch, batch) &&
      earlier.batch.model === batch.model &&
      versionsAllowed(batch, before.progress.versions);
    if (!fits) return { ...fresh, again: true };
    const { whole } = before;
    const { text } = before.progress;
    // A complete text is listed at once; any other grows.
    const held = whole ? text : textOf(text);
    const progress = { ...before.progress, text: held };
    const sameScoring = before.item.scoring?.id === item.scoring?.id;
    const score = sameScoring ? before.score : null;
    return { ...fresh, progress, whole, score, again: true };
  }

  #applyUpdates(updates: readonly ItemUpdate[]): Result<number, Failure> {
    let applied = 0;
    for (const update of updates) {
      const state = this.#batches.get(update.batch);
      const known = state?.items.get(update.item);
      if (state === undefined || known === undefined) continue;
      if (known.listed) continue;
      if (known.whole && !keepsText(update)) continue;
      if (known.progress.events !== update.fromEvents) continue;
      applied += 1;
      const next = applyUpdate(known, update);
      const outcome = listableOutcome(next, update.outcome);
      if (outcome === null || state.ended) state.setItem(next);
      else state.list(next, outcome);
    }
    return Ok(applied);
  }

  #end(id: string): Result<number, Failure> {
    const state = this.#batches.get(id);
    if (state === undefined) {
      return Err(fail("not_found", `batch ${id} does not exist`));
    }
    state.end();
    this.#expectExpiry(state);
    return Ok(state.results.length);
  }

  #expectExpiry(state: MutableBatchState): void {
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, state.expiryMs);
  }

  #removeExpired(atMs: Milliseconds): void {
    if (atMs < this.#nextExpiryMs) return;
    this.#nextExpiryMs = Infinity;
    for (const [id, state] of this.#batches) {
      if (atMs >= state.expiryMs) this.#remove(id, state);
      else this.#expectExpiry(state);
    }
  }

  #remove(id: string, state: BatchState): void {
    this.#batches.delete(id);
    for (const item of state.items.keys()) {
      if (this.#latestBatchIdByItem.get(item) !== id) continue;
      this.#setLatestBatch(item);
    }
  }

  /** Finds the latest batch with an item as a restored replica does, so that replicas stay equal. */
  #setLatestBatch(item: string): void {
    this.#latestBatchIdByItem.delete(item);
    for (const [id, { items }] of this.#batches) {
      if (items.has(item)) this.#latestBatchIdByItem.set(item, id);
    }
  }
}

/** Returns whether a result of the batch may contain text generated by these versions. */
export function versionsAllowed(
  batch: BatchHeader,
  versions: readonly number[],
): boolean {
  if (batch.singleVersion && versions.length > 1) return false;
  const minimum = batch.minimumVersion ?? 0;
  return versions.every((version) => version >= minimum);
}

/** Whether an update changes neither the text nor that it is complete, but only what follows it. */
function keepsText(update: ItemUpdate): boolean {
  return update.events === 0 && !update.restart;
}

/** Returns the outcome with which an item is to be listed now, or null; one without its score is not completed yet. */
function listableOutcome(
  state: ItemState,
  outcome: ItemOutcome | null,
): ItemOutcome | null {
  if (outcome === "given_up") return outcome;
  return outcome === "completed" && isCompleted(state) ? outcome : null;
}

function applyUpdate(known: ItemState, update: ItemUpdate): ItemState {
  const before = update.restart ? NO_PROGRESS : known.progress;
  const progress = addProgress(before, update);
  const whole = known.whole || update.textComplete === true ||
    update.outcome === "completed";
  return {
    ...known,
    progress,
    failures: known.failures + update.failures,
    score: whole ? update.score ?? known.score : null,
    scoringFailures: known.scoringFailures + (update.scoringFailures ?? 0),
    whole,
    lastUpdate: update.id,
  };
}

function sameItems(known: BatchState, batch: Batch): boolean {
  const { model, host } = known.batch;
  if (model !== batch.model || host !== batch.host) return false;
  if (known.items.size !== batch.items.length) return false;
  let at = 0;
  for (const id of known.items.keys()) {
    if (id !== batch.items[at]?.id) return false;
    at += 1;
  }
  return true;
}
