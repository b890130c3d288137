/**
 * Replicated state machine of the batches. A batch is accepted completely or not at all. Each item is listed
 * once, at a position that never changes. The progress of an item is retained after its batch has ended, so
 * that a later batch with the same item resumes from it.
 *
 * @module
 */
import {
  type Bytes,
  type Committed,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
  type ServedVersion,
  StateMachine,
} from "#core";
import {
  appendEventText,
  type Batch,
  type BatchItem,
  type BatchResult,
  type ItemProgress,
  type ItemUpdate,
  NO_PROGRESS,
} from "./batch_types.ts";

/** Estimated size of the fields of an item and its result other than body and texts. */
const ITEM_FIELDS_BYTES: Bytes = 400;

/** A command of the batch log. */
export type BatchesCommand =
  | {
    readonly kind: "accept";
    readonly batch: Batch;
    /** Retention time of the batch once it has ended, counted from its acceptance. */
    readonly keepMs: Milliseconds;
  }
  | { readonly kind: "update"; readonly updates: readonly ItemUpdate[] }
  | { readonly kind: "end"; readonly id: string };

/** An item with its replicated state. */
export interface ItemState {
  readonly item: BatchItem;
  readonly progress: ItemProgress;
  readonly failures: number;
  /** Whether the item has its final position in the results. */
  readonly listed: boolean;
  /** Whether an engine has generated the complete text, listed or not. */
  readonly whole: boolean;
  /** Whether an earlier batch already contained this item. */
  readonly again: boolean;
  /** Identifier of the last applied update, or null. */
  readonly lastUpdate: string | null;
}

/** A batch with its replicated state. */
export interface BatchState {
  readonly batch: Batch;
  readonly acceptedMs: Milliseconds;
  readonly keepMs: Milliseconds;
  readonly ended: boolean;
  readonly items: ReadonlyMap<string, ItemState>;
  readonly results: readonly BatchResult[];
}

interface MutableBatchState extends BatchState {
  ended: boolean;
  readonly items: Map<string, ItemState>;
  readonly results: BatchResult[];
}

interface BatchSnapshot {
  readonly batch: Batch;
  readonly acceptedMs: Milliseconds;
  readonly keepMs: Milliseconds;
  readonly ended: boolean;
  readonly items: readonly Omit<ItemState, "item">[];
  readonly results: readonly BatchResult[];
}

/** Stores the batches, their items and results. */
export class BatchesMachine
  extends StateMachine<BatchesCommand, number, null, null> {
  override readonly name = "batches";
  readonly #batches = new Map<string, MutableBatchState>();
  /** Identifier of the latest batch that contains an item, by item identifier. */
  readonly #latestBatchIdByItem = new Map<string, string>();

  override apply(
    entry: Committed<BatchesCommand>,
  ): Result<number, Failure> {
    const { command, atMs } = entry;
    if (command.kind === "accept") return this.#accept(command, atMs);
    if (command.kind === "update") return this.#applyUpdates(command.updates);
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

  /** Returns the batches that have not ended, in the order of their acceptance. */
  openBatches(): readonly BatchState[] {
    return [...this.#batches.values()].filter((each) => !each.ended);
  }

  /** Counts bodies and texts (a listed text as progress and as result), and an estimate for the other fields. */
  override stateBytes(): Bytes {
    let bytes = 0;
    for (const { items, results } of this.#batches.values()) {
      for (const { item, progress } of items.values()) {
        bytes += item.body.length + progress.text.length + ITEM_FIELDS_BYTES;
      }
      for (const { text } of results) bytes += text.length;
    }
    return bytes;
  }

  override snapshot(): unknown {
    const packed: BatchSnapshot[] = [];
    for (const state of this.#batches.values()) {
      const { batch, acceptedMs, keepMs, ended, results } = state;
      const items = [...state.items.values()].map(withoutItem);
      packed.push({ batch, acceptedMs, keepMs, ended, items, results });
    }
    return packed;
  }

  override restore(state: unknown): void {
    this.#batches.clear();
    this.#latestBatchIdByItem.clear();
    for (const packed of state as readonly BatchSnapshot[]) {
      const items = new Map<string, ItemState>();
      for (const [at, item] of packed.batch.items.entries()) {
        const rest = packed.items[at];
        if (rest !== undefined) items.set(item.id, { ...rest, item });
        this.#latestBatchIdByItem.set(item.id, packed.batch.id);
      }
      const results = [...packed.results];
      this.#batches.set(packed.batch.id, { ...packed, items, results });
    }
  }

  #accept(
    command: Extract<BatchesCommand, { kind: "accept" }>,
    atMs: Milliseconds,
  ): Result<number, Failure> {
    const { batch, keepMs } = command;
    const known = this.#batches.get(batch.id);
    if (known !== undefined) {
      if (sameItems(known.batch, batch)) return Ok(batch.items.length);
      const message = `batch ${batch.id} already exists with different items`;
      return Err(fail("conflict", message));
    }
    this.#removeExpired(atMs);
    const state: MutableBatchState = {
      batch,
      acceptedMs: atMs,
      keepMs,
      ended: false,
      items: new Map(),
      results: [],
    };
    for (const item of batch.items) {
      state.items.set(item.id, this.#initialState(batch, item));
    }
    this.#batches.set(batch.id, state);
    for (const item of batch.items) {
      this.#latestBatchIdByItem.set(item.id, batch.id);
      const itemState = state.items.get(item.id);
      if (itemState?.whole === true) listResult(state, itemState, "completed");
    }
    return Ok(batch.items.length);
  }

  /** Returns the initial state of an item, with its progress in an earlier batch if the new one allows it. */
  #initialState(batch: Batch, item: BatchItem): ItemState {
    const fresh: ItemState = {
      item,
      progress: NO_PROGRESS,
      failures: 0,
      listed: false,
      whole: false,
      again: false,
      lastUpdate: null,
    };
    const earlier = this.#batches.get(
      this.#latestBatchIdByItem.get(item.id) ?? "",
    );
    const before = earlier?.items.get(item.id);
    if (earlier === undefined || before === undefined) return fresh;
    const fits = earlier.batch.model === batch.model &&
      versionsAllowed(batch, before.progress.versions);
    if (!fits) return { ...fresh, again: true };
    const { progress, whole } = before;
    return { ...fresh, progress, whole, again: true };
  }

  #applyUpdates(updates: readonly ItemUpdate[]): Result<number, Failure> {
    let applied = 0;
    for (const update of updates) {
      const state = this.#batches.get(update.batch);
      const known = state?.items.get(update.item);
      if (state === undefined || known === undefined) continue;
      if (known.listed || known.whole) continue;
      if (known.progress.events !== update.fromEvents) continue;
      applied += 1;
      const next = applyUpdate(known, update);
      state.items.set(update.item, next);
      if (update.outcome === null || state.ended) continue;
      listResult(state, next, update.outcome);
    }
    return Ok(applied);
  }

  #end(id: string): Result<number, Failure> {
    const state = this.#batches.get(id);
    if (state === undefined) {
      return Err(fail("not_found", `batch ${id} does not exist`));
    }
    state.ended = true;
    return Ok(state.results.length);
  }

  #removeExpired(atMs: Milliseconds): void {
    for (const [id, state] of this.#batches) {
      if (!state.ended || atMs < state.acceptedMs + state.keepMs) continue;
      this.#batches.delete(id);
      for (const item of state.batch.items) {
        if (this.#latestBatchIdByItem.get(item.id) === id) {
          this.#latestBatchIdByItem.delete(item.id);
        }
      }
    }
  }
}

/** Returns whether a result of the batch may contain text generated by these versions. */
export function versionsAllowed(
  batch: Batch,
  versions: readonly number[],
): boolean {
  if (batch.singleVersion && versions.length > 1) return false;
  const minimum = batch.minimumVersion ?? 0;
  return versions.every((version) => version >= minimum);
}

function applyUpdate(known: ItemState, update: ItemUpdate): ItemState {
  const before = update.restart ? NO_PROGRESS : known.progress;
  const progress = update.events === 0 ? before : {
    events: before.events + update.events,
    lastEvent: update.lastEvent,
    text: appendEventText(before, update.text),
    versions: mergeVersions(before.versions, update.versions),
  };
  return {
    ...known,
    progress,
    failures: known.failures + update.failures,
    whole: update.outcome === "completed",
    lastUpdate: update.id,
  };
}

function mergeVersions(
  a: readonly number[],
  b: readonly number[],
): readonly number[] {
  return [...new Set([...a, ...b])].sort((x, y) => x - y);
}

function listResult(
  state: MutableBatchState,
  known: ItemState,
  outcome: BatchResult["outcome"],
): void {
  const { text, versions } = known.progress;
  state.items.set(known.item.id, { ...known, listed: true });
  state.results.push({ id: known.item.id, outcome, text, versions });
}

function sameItems(a: Batch, b: Batch): boolean {
  if (a.items.length !== b.items.length) return false;
  for (const [at, item] of a.items.entries()) {
    if (item.id !== b.items[at]?.id) return false;
  }
  return a.model === b.model && a.route === b.route;
}

function withoutItem(state: ItemState): Omit<ItemState, "item"> {
  const { item: _item, ...rest } = state;
  return rest;
}
