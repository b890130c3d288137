/**
 * Batches and items for tests.
 *
 * @module
 */
import type { Batch, BatchHeader, BatchItem } from "./batch_types.ts";

/** Returns an item without a scoring call; `fields` replace its other values. */
export function testItem(
  id: string,
  fields: Partial<BatchItem> = {},
): BatchItem {
  return {
    id,
    target: "/a/b",
    headers: [],
    body: new Uint8Array(0),
    group: "g",
    promptTokens: 1,
    expectedTokens: 10,
    scoring: null,
    ...fields,
  };
}

/** Returns items that are named after their batch and numbered from 0. */
export function numberedItems(
  batch: string,
  count: number,
  fields: Partial<BatchItem> = {},
): readonly BatchItem[] {
  return Array.from(
    { length: count },
    (_, at) => testItem(`${batch}-${at}`, fields),
  );
}

/** Returns a batch that accepts texts of any version; `fields` replace its other values. */
export function testBatch(
  id: string,
  items: readonly BatchItem[],
  fields: Partial<BatchHeader> = {},
): Batch {
  return {
    id,
    route: "r",
    host: "h",
    model: "m",
    minimumVersion: null,
    singleVersion: false,
    maximumFailures: 3,
    maximumQueueMs: null,
    dueMs: 7_000,
    ...fields,
    items,
  };
}
