/**
 * Batches, their items and results.
 *
 * @module
 */
import type { Milliseconds } from "#core";

/** One item of a batch: a request for tokens. */
export interface BatchItem {
  readonly id: string;
  /** Path and query of the request. */
  readonly target: string;
  /** Names and values by turns. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Items of one group share their prompt. */
  readonly group: string;
  readonly promptTokens: number;
  /** Estimate of the tokens that will be made. */
  readonly expectedTokens: number;
}

/** A batch as a trainer submits it. */
export interface Batch {
  readonly id: string;
  readonly route: string;
  readonly host: string;
  readonly model: string;
  /** Oldest version that may make its tokens, or null. */
  readonly minimumVersion: number | null;
  readonly singleVersion: boolean;
  /** Failures of an item after which it is given up. */
  readonly maximumFailures: number;
  /** Age at which an item is given up, or null. */
  readonly maximumQueueMs: Milliseconds | null;
  /** Time from submission until results are wanted. */
  readonly dueMs: Milliseconds;
  readonly items: readonly BatchItem[];
}

/** How an item ended. */
export type ItemOutcome = "completed" | "given_up";

/** A listed result. */
export interface BatchResult {
  readonly id: string;
  readonly outcome: ItemOutcome;
  readonly text: string;
  readonly versions: readonly number[];
}

/** What an engine has made of an item so far. */
export interface ItemProgress {
  /** Events so far; the text holds their data, separated by line feeds. */
  readonly events: number;
  /** Identifier of the last event, or null before the first. */
  readonly lastEvent: number | null;
  readonly text: string;
  /** Versions that made events, ascending. */
  readonly versions: readonly number[];
}

/** An item before its first event. */
export const NO_PROGRESS: ItemProgress = {
  events: 0,
  lastEvent: null,
  text: "",
  versions: [],
};

/** What is added to an item. */
export interface ItemUpdate {
  /** Names this update alone, so that its sender can tell whether it was applied. */
  readonly id: string;
  readonly batch: string;
  readonly item: string;
  /** Events that the item must have for this to apply; else it is passed over. */
  readonly fromEvents: number;
  readonly events: number;
  readonly lastEvent: number | null;
  readonly text: string;
  readonly versions: readonly number[];
  /** Failures to be counted. */
  readonly failures: number;
  /** Whether the text is to be dropped first: it can't be gone on with. */
  readonly restart: boolean;
  readonly outcome: ItemOutcome | null;
}

/** Part of a batch's results. */
export interface ResultPage {
  readonly total: number;
  readonly next: number;
  readonly results: readonly BatchResult[];
}

/** Joins texts of events. */
export function appendEventText(before: ItemProgress, more: string): string {
  return before.events === 0 ? more : `${before.text}\n${more}`;
}
