/**
 * Texts of a group as one deflated run of bytes, so that the log carries few bytes.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { Bytes } from "#core";

/** Texts packed together. */
export interface PackedTexts {
  readonly text: Uint8Array;
  /** Bytes of each text before packing. */
  readonly lengths: readonly Bytes[];
}

/**
 * Packs texts.
 *
 * @example
 * ```ts
 * const { text, lengths } = packTexts(["a route", "another"]);
 * unpackTexts(text, lengths); // ["a route", "another"]
 * ```
 */
export function packTexts(texts: readonly string[]): PackedTexts {
  const encoded = texts.map((text) => Buffer.from(text, "utf8"));
  const lengths = encoded.map((bytes) => bytes.length);
  return { text: deflateRawSync(Buffer.concat(encoded)), lengths };
}

/** Gives the texts back; throws if the bytes don't fit the lengths. */
export function unpackTexts(
  text: Uint8Array,
  lengths: readonly Bytes[],
): readonly string[] {
  let total = 0;
  for (const length of lengths) total += length;
  const inflated = inflateRawSync(text, {
    maxOutputLength: Math.max(1, total),
  });
  if (inflated.length !== total) throw new Error("packed texts: wrong length");
  const texts: string[] = [];
  let offset = 0;
  for (const length of lengths) {
    texts.push(inflated.toString("utf8", offset, offset + length));
    offset += length;
  }
  return texts;
}
