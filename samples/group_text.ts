/**
 * Compresses the texts of a group into one byte array, so that log entries stay small.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { Bytes } from "#core";

/** Texts concatenated and compressed. */
export interface PackedTexts {
  readonly text: Uint8Array;
  /** Size of each text in UTF-8 before compression. */
  readonly lengths: readonly Bytes[];
}

/**
 * Concatenates texts and compresses them with raw DEFLATE.
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

/** Returns the packed texts; throws if the decompressed size differs from the sum of the lengths. */
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
