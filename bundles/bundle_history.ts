/**
 * Retains the newest bundles, from which deltas are computed.
 *
 * @module
 */
import { type AcceptedBundle, type Bytes, MEBIBYTE } from "#core";

const MAXIMUM_RETAINED_BUNDLES = 32;
/** JSON text of all retained bundles together. */
const MAXIMUM_RETAINED_BYTES: Bytes = 4 * MEBIBYTE;

const sizes = new WeakMap<AcceptedBundle, Bytes>();

/**
 * Returns the retained bundles, oldest first, with the newest appended. Drops the oldest ones that exceed the limits;
 * a VM that has one of these receives the complete newest bundle instead of a delta.
 *
 * @example
 * ```ts
 * const kept = retainNewest(state.kept, accepted);
 * ```
 */
export function retainNewest(
  retained: readonly AcceptedBundle[],
  newest: AcceptedBundle,
): readonly AcceptedBundle[] {
  const kept: AcceptedBundle[] = [newest];
  let bytes = sizeOf(newest);
  for (const each of retained.toReversed()) {
    bytes += sizeOf(each);
    if (bytes > MAXIMUM_RETAINED_BYTES) break;
    if (kept.length === MAXIMUM_RETAINED_BUNDLES) break;
    kept.unshift(each);
  }
  return kept;
}

function sizeOf(accepted: AcceptedBundle): Bytes {
  const known = sizes.get(accepted);
  if (known !== undefined) return known;
  const bytes = Buffer.byteLength(JSON.stringify(accepted));
  sizes.set(accepted, bytes);
  return bytes;
}
