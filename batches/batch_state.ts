/**
 * The replicated state of one batch and its items, with the size that it occupies in memory.
 *
 * @module
 */
import type { Bytes, Milliseconds } from "#core";
import {
  type BatchHeader,
  type BatchItem,
  type ItemOutcome,
  type ItemProgress,
  type ListedResult,
  NO_PROGRESS,
  type ScoringCall,
} from "./batch_types.ts";
import { copyBytes, packText } from "./held_text.ts";

/** Memory of an item besides its texts, bodies and identifiers. */
const ITEM_OVERHEAD_BYTES: Bytes = 700;
/** Memory of an item's progress besides its text. */
const PROGRESS_OVERHEAD_BYTES: Bytes = 250;
/** Memory of a batch besides its items. */
const BATCH_OVERHEAD_BYTES: Bytes = 1_500;
/** Memory of a string besides its characters. */
const STRING_OVERHEAD_BYTES: Bytes = 20;
/** Texts have 4 to 6 bytes a token. */
const TOKEN_BYTES: Bytes = 6;
/** Fraction of a text that is expected to follow at least, since estimates are often too low. */
const EXPECTED_GROWTH_RATIO = 0.5;
/** Greatest expected growth of an item; limits on tokens are often far above the real length. */
const MAXIMUM_GROWTH_BYTES: Bytes = 32_768;
const NO_BYTES = new Uint8Array(0);
const NO_HEADERS: readonly string[] = [];

/** An item with its replicated state. */
export interface ItemState {
  /** The item; its request (target, headers, body and group) is empty once it is listed or its batch has ended. */
  readonly item: BatchItem;
  readonly progress: ItemProgress;
  readonly failures: number;
  /** Score of the complete text, or null. */
  readonly score: string | null;
  /** Number of failed scoring calls. */
  readonly scoringFailures: number;
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
  readonly batch: BatchHeader;
  readonly acceptedMs: Milliseconds;
  readonly keepMs: Milliseconds;
  readonly ended: boolean;
  /** The items by identifier, in the order of the batch. */
  readonly items: ReadonlyMap<string, ItemState>;
  readonly results: readonly ListedResult[];
  /** Memory of the batch, with the expected growth of its items. */
  readonly bytes: Bytes;
}

/** Figures with which a batch starts. */
export interface BatchStart {
  readonly batch: BatchHeader;
  readonly acceptedMs: Milliseconds;
  readonly keepMs: Milliseconds;
  readonly ended: boolean;
}

/** A batch whose items change. An `ItemState` itself never changes, and results are only appended. */
export class MutableBatchState implements BatchState {
  readonly batch: BatchHeader;
  readonly acceptedMs: Milliseconds;
  readonly keepMs: Milliseconds;
  readonly #items = new Map<string, ItemState>();
  readonly #results: ListedResult[] = [];
  #ended: boolean;
  #bytes: Bytes = BATCH_OVERHEAD_BYTES;

  constructor(start: BatchStart) {
    this.batch = start.batch;
    this.acceptedMs = start.acceptedMs;
    this.keepMs = start.keepMs;
    this.#ended = start.ended;
  }

  get ended(): boolean {
    return this.#ended;
  }

  get items(): ReadonlyMap<string, ItemState> {
    return this.#items;
  }

  get results(): readonly ListedResult[] {
    return this.#results;
  }

  get bytes(): Bytes {
    return this.#bytes;
  }

  /** Time from which on the batch is no longer needed, or `Infinity` while it is open. */
  get expiryMs(): Milliseconds {
    return this.#ended ? this.acceptedMs + this.keepMs : Infinity;
  }

  /** Adds an item or replaces its state. */
  setItem(state: ItemState): void {
    const { id } = state.item;
    const before = this.#items.get(id);
    const after = this.#ended ? withoutRequest(state) : state;
    if (before !== undefined) this.#bytes -= this.#bytesOf(before);
    this.#bytes += this.#bytesOf(after);
    this.#items.set(id, after);
  }

  /** Gives an item its final position in the results. */
  list(state: ItemState, outcome: ItemOutcome): void {
    const listed = withoutRequest({ ...state, listed: true });
    this.setItem(listed);
    this.addResult(listed, outcome);
  }

  /** Appends the result of an item that is marked as listed. */
  addResult(state: ItemState, outcome: ItemOutcome): void {
    const { item, progress, score } = state;
    const { versions } = progress;
    const text = packText(progress.text);
    this.#results.push({ id: item.id, outcome, text, versions, score });
  }

  /** Ends the batch; its unlisted items retain their progress only. */
  end(): void {
    if (this.#ended) return;
    const states = [...this.#items.values()];
    this.#bytes = BATCH_OVERHEAD_BYTES;
    this.#items.clear();
    this.#ended = true;
    for (const state of states) this.setItem(state);
  }

  #bytesOf(state: ItemState): Bytes {
    const grows = !state.listed && !this.#ended;
    return itemBytes(state) + (grows ? growthBytes(state) : 0);
  }
}

/** Returns the state of an item that no batch contained before. */
export function freshItemState(item: BatchItem): ItemState {
  return {
    item,
    progress: NO_PROGRESS,
    failures: 0,
    score: null,
    scoringFailures: 0,
    listed: false,
    whole: false,
    again: false,
    lastUpdate: null,
  };
}

/** Whether an item may be listed as completed: its text is complete, and scored if the item demands a score. */
export function isCompleted(state: ItemState): boolean {
  return state.whole && (state.item.scoring === null || state.score !== null);
}

/** Returns the item with bodies that retain no larger buffer; one of an earlier build names no scoring call. */
export function ownItem(item: BatchItem): BatchItem {
  const { scoring = null } = item as Partial<BatchItem>;
  return {
    ...item,
    body: ownBody(item.body),
    scoring: scoring === null
      ? null
      : { ...scoring, body: ownBody(scoring.body) },
  };
}

function ownBody(body: Uint8Array): Uint8Array {
  return body.length === 0 ? NO_BYTES : copyBytes(body);
}

/** Returns the state of an item that will not run again: without its request, its text as bytes. */
export function withoutRequest(state: ItemState): ItemState {
  const { item, progress } = state;
  const isDone = item.target === "" && typeof progress.text !== "string";
  if (isDone) return state;
  return {
    ...state,
    item: {
      ...item,
      target: "",
      headers: NO_HEADERS,
      body: NO_BYTES,
      group: "",
      scoring: withoutBody(item.scoring),
    },
    progress: { ...progress, text: packText(progress.text) },
  };
}

/** Returns a scoring call of which only its identity is known, by which a later batch recognises its score. */
function withoutBody(scoring: ScoringCall | null): ScoringCall | null {
  if (scoring === null) return null;
  return { id: scoring.id, host: "", target: "", body: NO_BYTES };
}

/** Returns the memory that an item occupies. */
function itemBytes(state: ItemState): Bytes {
  const { item, progress } = state;
  let bytes = ITEM_OVERHEAD_BYTES + progress.textBytes + item.body.length;
  if (progress.events > 0) bytes += PROGRESS_OVERHEAD_BYTES;
  // The identifier stands in the map of items and in that of the latest batches.
  bytes += 2 * stringBytes(item.id);
  bytes += stringBytes(item.target) + stringBytes(item.group);
  for (const header of item.headers) bytes += stringBytes(header);
  if (item.scoring !== null) bytes += scoringBytes(item.scoring);
  if (state.score !== null) bytes += stringBytes(state.score);
  return bytes;
}

function scoringBytes(scoring: ScoringCall): Bytes {
  return stringBytes(scoring.id) + stringBytes(scoring.host) +
    stringBytes(scoring.target) + scoring.body.length;
}

/** Returns the expected growth of an item's text. */
function growthBytes(state: ItemState): Bytes {
  const { textBytes } = state.progress;
  const expected = state.item.expectedTokens * TOKEN_BYTES - textBytes;
  const growth = Math.max(expected, textBytes * EXPECTED_GROWTH_RATIO);
  return Math.ceil(Math.min(growth, MAXIMUM_GROWTH_BYTES));
}

function stringBytes(text: string): Bytes {
  return STRING_OVERHEAD_BYTES + text.length;
}

/** Returns the memory that a new batch is expected to need. */
export function expectedBatchBytes(items: readonly BatchItem[]): Bytes {
  let bytes = BATCH_OVERHEAD_BYTES;
  for (const item of items) {
    const state = freshItemState(item);
    bytes += itemBytes(state) + growthBytes(state);
  }
  return bytes;
}
