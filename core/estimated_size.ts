/**
 * Estimates how many bytes a plain value holds.
 *
 * @module
 */
import type { Bytes } from "./units.ts";

const SCALAR_BYTES: Bytes = 8;

/**
 * Returns roughly the size of a plain value's CBOR encoding without encoding it: the lengths of all strings, keys and
 * byte arrays, and 8 bytes for each other value. A string that occurs twice counts twice. The value must not contain
 * itself.
 *
 * @example
 * ```ts
 * estimatedSize({ text: "four" }); // 8
 * ```
 */
export function estimatedSize(value: unknown): Bytes {
  const pending: unknown[] = [value];
  let bytes = 0;
  while (pending.length > 0) {
    bytes += addValue(pending.pop(), pending);
  }
  return bytes;
}

/** Returns the bytes of one value without its members, which it adds to `pending`. */
function addValue(value: unknown, pending: unknown[]): Bytes {
  if (typeof value === "string") return value.length;
  if (typeof value !== "object" || value === null) return SCALAR_BYTES;
  if (value instanceof Uint8Array) return value.byteLength;
  if (Array.isArray(value)) {
    for (const member of value) pending.push(member);
    return 0;
  }
  let bytes = 0;
  for (const [key, member] of Object.entries(value)) {
    bytes += key.length;
    pending.push(member);
  }
  return bytes;
}
