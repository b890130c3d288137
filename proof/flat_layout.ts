/**
 * Flat erasure-coded layouts with two parities for each data object, and how many failures they survive.
 *
 * Source: T. Schwarz and J. Rose, "Combinatorial and Rectangular Layouts as Building Blocks for Local Reconstruction
 * Codes", CSCITA 2020: the combinatorial layout of s horizontal stripes whose vertical stripes join each r of them.
 *
 * @module
 */
import type { RandomSource } from "#core";

/** A data object and the two stripes whose parities protect it. */
interface DataObject {
  readonly horizontal: number;
  readonly vertical: number;
}

/** A layout: objects 0 to `stripes - 1` are parities, those after are data. */
export interface FlatLayout {
  readonly stripes: number;
  readonly data: readonly DataObject[];
}

/** Objects of a layout, each on its own device. */
export function deviceCount(layout: FlatLayout): number {
  return layout.stripes + layout.data.length;
}

/**
 * The combinatorial layout of `horizontal` stripes, of which each vertical stripe joins `rank`.
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

/** Whether all data can be computed again after the given objects failed. */
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

/** Part of the sets of `failures` failed objects that the layout survives, from `samples` drawn sets. */
export function survivingPart(
  layout: FlatLayout,
  failures: number,
  draw: { readonly random: RandomSource; readonly samples: number },
): number {
  let good = 0;
  for (let sample = 0; sample < draw.samples; sample += 1) {
    const failed = new Set<number>();
    while (failed.size < failures) {
      failed.add(draw.random.below(deviceCount(layout)));
    }
    if (survives(layout, failed)) good += 1;
  }
  return good / draw.samples;
}

/** Part of all sets of `failures` failed objects that the layout survives, by counting each. */
export function survivingPartExactly(
  layout: FlatLayout,
  failures: number,
): number {
  let good = 0;
  let all = 0;
  for (const failed of subsets(deviceCount(layout), failures)) {
    all += 1;
    if (survives(layout, new Set(failed))) good += 1;
  }
  return good / all;
}

/** All subsets of the numbers below `bound` with `size` members. */
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
