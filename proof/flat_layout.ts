/**
 * Flat erasure-coded layouts with two parities for each data object, and the fraction of failures that they survive.
 *
 * Source: T. Schwarz and J. Rose, "Combinatorial and Rectangular Layouts as Building Blocks for Local Reconstruction
 * Codes", CSCITA 2020: the combinatorial layout of s horizontal stripes has a vertical stripe across each r of them.
 *
 * @module
 */
import type { RandomSource } from "#core";

/** A data object, as the two stripes whose parities protect it. */
interface DataObject {
  readonly horizontal: number;
  readonly vertical: number;
}

/** A layout, in which objects 0 to `stripes - 1` are parities and the later ones are data. */
export interface FlatLayout {
  readonly stripes: number;
  readonly data: readonly DataObject[];
}

/** Returns the number of objects of a layout, each of which is stored on a separate device. */
export function deviceCount(layout: FlatLayout): number {
  return layout.stripes + layout.data.length;
}

/**
 * Returns the combinatorial layout of `horizontal` stripes in which each vertical stripe crosses `rank` of them.
 *
 * @example
 * ```ts
 * deviceCount(combinatorialLayout(6, 3)); // 86
 * ```
 */
export function combinatorialLayout(
  horizontal: number,
  rank: number,
): FlatLayout {
  const data: DataObject[] = [];
  let stripes = horizontal;
  for (const members of subsets(horizontal, rank)) {
    for (const member of members) {
      data.push({ horizontal: member, vertical: stripes });
    }
    stripes += 1;
  }
  return { stripes, data };
}

/** Returns whether all data can be reconstructed after the given objects failed. */
export function survives(
  layout: FlatLayout,
  failed: ReadonlySet<number>,
): boolean {
  const lost = new Set(failed);
  let repaired = true;
  while (repaired) repaired = repairOne(layout, lost);
  for (const object of lost) {
    if (object >= layout.stripes) return false;
  }
  return true;
}

/** Estimates the fraction of the sets of `failures` failed objects that the layout survives, from random samples. */
export function estimateSurvivingFraction(
  layout: FlatLayout,
  failures: number,
  sampling: { readonly random: RandomSource; readonly samples: number },
): number {
  let survived = 0;
  for (let sample = 0; sample < sampling.samples; sample += 1) {
    const failed = new Set<number>();
    while (failed.size < failures) {
      failed.add(sampling.random.below(deviceCount(layout)));
    }
    if (survives(layout, failed)) survived += 1;
  }
  return survived / sampling.samples;
}

/** Returns the exact fraction of the sets of `failures` failed objects that the layout survives, by enumeration. */
export function countSurvivingFraction(
  layout: FlatLayout,
  failures: number,
): number {
  let survived = 0;
  let total = 0;
  for (const failed of subsets(deviceCount(layout), failures)) {
    total += 1;
    if (survives(layout, new Set(failed))) survived += 1;
  }
  return survived / total;
}

/** Yields each subset of `size` members of the numbers from `from` to below `bound`. */
function* subsets(
  bound: number,
  size: number,
  from = 0,
): Generator<readonly number[]> {
  if (size === 0) {
    yield [];
    return;
  }
  for (let first = from; first <= bound - size; first += 1) {
    for (const rest of subsets(bound, size - 1, first + 1)) {
      yield [first, ...rest];
    }
  }
}

function repairOne(layout: FlatLayout, lost: Set<number>): boolean {
  const missing = new Map<number, number>();
  for (const object of lost) {
    for (const stripe of stripesOf(layout, object)) {
      missing.set(stripe, (missing.get(stripe) ?? 0) + 1);
    }
  }
  for (const object of lost) {
    for (const stripe of stripesOf(layout, object)) {
      if (missing.get(stripe) !== 1) continue;
      lost.delete(object);
      return true;
    }
  }
  return false;
}

function stripesOf(layout: FlatLayout, object: number): readonly number[] {
  if (object < layout.stripes) return [object];
  const data = layout.data[object - layout.stripes];
  return data === undefined ? [] : [data.horizontal, data.vertical];
}
