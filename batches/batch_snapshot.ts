/**
 * Snapshots of the batches: as parts of limited size that hold each text once, and as the single value that
 * earlier builds read and wrote.
 *
 * @module
 */
import { type Bytes, MEBIBYTE, type Milliseconds } from "#core";
import {
  type BatchStart,
  type BatchState,
  type ItemState,
  MutableBatchState,
  ownItem,
  withoutRequest,
} from "./batch_state.ts";
import type {
  Batch,
  BatchItem,
  BatchResult,
  ItemOutcome,
  ListedResult,
} from "./batch_types.ts";
import { copyBytes, type HeldText, textLength, textOf } from "./held_text.ts";

/** Size from which on a part is complete; a single item may be larger. */
const PART_BYTES: Bytes = MEBIBYTE / 2;
/** Estimated size of a record besides its text and body. */
const RECORD_OVERHEAD_BYTES: Bytes = 400;
const RESULT_RECORD_BYTES: Bytes = 100;

/** One record of a part: a batch, followed by its items and by its results in their order. */
type SnapshotRecord =
  | ({ readonly kind: "batch" } & BatchStart)
  | { readonly kind: "item"; readonly state: ItemState }
  | {
    readonly kind: "result";
    readonly id: string;
    readonly outcome: ItemOutcome;
  };

interface SnapshotPart {
  readonly records: readonly SnapshotRecord[];
}

/** A batch in the single value of earlier builds. */
interface WholeBatch {
  readonly batch: Batch;
  readonly acceptedMs: Milliseconds;
  readonly keepMs: Milliseconds;
  readonly ended: boolean;
  readonly items: readonly Omit<ItemState, "item">[];
  readonly results: readonly BatchResult[];
}

/** Batches by identifier, in the order of their acceptance. */
export type BatchMap = Map<string, MutableBatchState>;

/** A batch at the time of a snapshot. */
interface BatchView {
  readonly start: BatchStart;
  readonly items: readonly ItemState[];
  readonly results: readonly ListedResult[];
  /** Number of results at that time; results are only appended. */
  readonly resultCount: number;
}

/** Returns the batches at the time of the call in parts; later changes do not affect them. */
export function toParts(batches: Iterable<BatchState>): Iterable<unknown> {
  const views: BatchView[] = [];
  for (const state of batches) views.push(toView(state));
  return packRecords(views);
}

function toView(state: BatchState): BatchView {
  const { batch, acceptedMs, keepMs, ended, results } = state;
  return {
    start: { batch, acceptedMs, keepMs, ended },
    items: [...state.items.values()],
    results,
    resultCount: results.length,
  };
}

function* packRecords(views: readonly BatchView[]): Iterable<SnapshotPart> {
  let records: SnapshotRecord[] = [];
  let bytes = 0;
  for (const record of toRecords(views)) {
    records.push(record);
    bytes += recordBytes(record);
    if (bytes < PART_BYTES) continue;
    yield { records };
    records = [];
    bytes = 0;
  }
  yield { records };
}

function* toRecords(views: readonly BatchView[]): Iterable<SnapshotRecord> {
  for (const { start, items, results, resultCount } of views) {
    yield { kind: "batch", ...start };
    for (const state of items) yield { kind: "item", state };
    for (let at = 0; at < resultCount; at += 1) {
      const { id, outcome } = results[at] as ListedResult;
      yield { kind: "result", id, outcome };
    }
  }
}

function recordBytes(record: SnapshotRecord): Bytes {
  if (record.kind === "result") return RESULT_RECORD_BYTES;
  if (record.kind === "batch") return RECORD_OVERHEAD_BYTES;
  const { item, progress } = record.state;
  let bytes = RECORD_OVERHEAD_BYTES + item.body.length + progress.textBytes;
  bytes += item.target.length + (item.scoring?.body.length ?? 0);
  for (const header of item.headers) bytes += header.length;
  return bytes;
}

/** Collects the parts of a snapshot. */
export class PartReader {
  readonly batches: BatchMap = new Map();
  #current: MutableBatchState | undefined;

  /** Adds a part, or the single value of an earlier build. */
  add(part: unknown): void {
    if (Array.isArray(part)) this.#addWhole(part);
    else for (const each of (part as SnapshotPart).records) this.#add(each);
  }

  #add(record: SnapshotRecord): void {
    if (record.kind === "batch") {
      this.#startBatch(record);
      return;
    }
    const batch = this.#current;
    if (batch === undefined) return;
    if (record.kind === "item") {
      batch.setItem(ownState(record.state));
      return;
    }
    const state = batch.items.get(record.id);
    if (state !== undefined) batch.addResult(state, record.outcome);
  }

  #startBatch(start: BatchStart): MutableBatchState {
    const { batch, acceptedMs, keepMs, ended } = start;
    const state = new MutableBatchState({ batch, acceptedMs, keepMs, ended });
    this.batches.set(batch.id, state);
    this.#current = state;
    return state;
  }

  #addWhole(packed: readonly WholeBatch[]): void {
    for (const { batch: { items, ...batch }, ...rest } of packed) {
      const state = this.#startBatch({ batch, ...rest });
      for (const [at, item] of items.entries()) {
        const known = rest.items[at];
        if (known === undefined) continue;
        const { progress } = known;
        const textBytes = textLength(progress.text);
        const measured = { ...progress, textBytes };
        state.setItem(ownState({ ...known, item, progress: measured }));
      }
      for (const { id, outcome } of rest.results) {
        this.#add({ kind: "result", id, outcome });
      }
    }
  }
}

/** Returns the state with bytes that do not retain the part; of a listed item without its request. */
function ownState(state: ItemState): ItemState {
  const { progress } = state;
  const item = ownItem(state.item);
  const text = ownText(progress.text);
  // Snapshots of earlier builds know no scores.
  const { score = null, scoringFailures = 0 } = state as Partial<ItemState>;
  const owned = {
    ...state,
    item,
    progress: { ...progress, text },
    score,
    scoringFailures,
  };
  return owned.listed ? withoutRequest(owned) : owned;
}

/** Returns the text without retaining the part. */
function ownText(text: HeldText): HeldText {
  return typeof text === "string" ? text : copyBytes(text);
}

/**
 * Returns the batches as the single value that earlier builds read. It holds each listed text twice, and an
 * empty request for each item whose request is no longer stored.
 */
export function toWholeValue(batches: Iterable<BatchState>): unknown {
  const packed: WholeBatch[] = [];
  for (const state of batches) packed.push(toWholeBatch(state));
  return packed;
}

function toWholeBatch(state: BatchState): WholeBatch {
  const { batch, acceptedMs, keepMs, ended } = state;
  const items: BatchItem[] = [];
  const states: Omit<ItemState, "item">[] = [];
  const texts = new Map<string, string>();
  for (const { item, progress, ...rest } of state.items.values()) {
    const text = textOf(progress.text);
    texts.set(item.id, text);
    items.push(item);
    states.push({ ...rest, progress: { ...progress, text } });
  }
  const results = state.results.map((result) => ({
    ...result,
    text: texts.get(result.id) ?? "",
  }));
  return {
    batch: { ...batch, items },
    acceptedMs,
    keepMs,
    ended,
    items: states,
    results,
  };
}
