/**
 * Checks what a trainer of the soak read of its batches. Performs no I/O.
 *
 * @module
 */

/** Results of a batch from its first position on, as they were read once. */
export interface SoakPage {
  readonly total: number;
  readonly results: readonly {
    readonly id: string;
    readonly state: string;
    readonly text: string;
    /** Versions of the weights that generated the text. */
    readonly versions: readonly number[];
  }[];
}

/** One accepted batch and what was read of it. */
export interface SoakBatch {
  readonly id: string;
  readonly items: readonly { readonly id: string; readonly events: number }[];
  readonly pages: SoakPage[];
  /** How often a VM said that there is no such batch, after it was accepted. */
  lost: number;
}

/** Returns a line for each broken promise; the routes allow one version for each text. */
export function checkBatches(batches: readonly SoakBatch[]): readonly string[] {
  return batches.flatMap((batch) => [
    ...checkKept(batch),
    ...checkTexts(batch),
    ...checkPositions(batch),
  ]);
}

function checkKept({ id, items, pages, lost }: SoakBatch): readonly string[] {
  const broken: string[] = [];
  if (lost > 0) broken.push(`${id} was not found ${lost} times`);
  const read = Math.max(0, ...pages.map(({ results }) => results.length));
  if (read < items.length) {
    broken.push(`${id} has ${read} of ${items.length} results`);
  }
  return broken;
}

function checkTexts({ id, items, pages }: SoakBatch): readonly string[] {
  const texts = new Map(
    items.map(({ id, events }) => [id, textOf(id, events)]),
  );
  const broken = new Set<string>();
  for (const { total, results } of pages) {
    if (total !== items.length) broken.add(`${id} says that it has ${total}`);
    for (const { id: item, state, text, versions } of results) {
      if (versions.length > 1) {
        broken.add(`${id} lists ${item} with versions ${versions}`);
      }
      if (state === "completed" && text === texts.get(item)) continue;
      broken.add(`${id} lists ${item} as ${state} with "${text}"`);
    }
  }
  return [...broken];
}

/** A position keeps its result for ever, and an item has one. */
function checkPositions({ id, pages }: SoakBatch): readonly string[] {
  const known: string[] = [];
  const broken = new Set<string>();
  for (const { results } of pages) {
    for (const [at, { id: item }] of results.entries()) {
      known[at] ??= item;
      if (known[at] !== item) broken.add(`${id} changed position ${at}`);
    }
  }
  if (new Set(known).size !== known.length) {
    broken.add(`${id} lists an item twice`);
  }
  return [...broken];
}

function textOf(item: string, events: number): string {
  return Array.from({ length: events }, (_, at) => `${item}-${at}`).join("\n");
}
