/**
 * Texts as the state of the batches holds them: a string while a text grows, UTF-8 bytes once it is final.
 * Bytes are stored outside the JavaScript heap, whose limit is well below the memory of a VM.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import type { Bytes } from "#core";

/** A text as a string, or as the UTF-8 bytes of one. */
export type HeldText = string | Uint8Array;

const encoder = new TextEncoder();

/** Returns the UTF-8 bytes of a text; bytes are returned as they are. */
export function packText(text: HeldText): Uint8Array {
  return typeof text === "string" ? encoder.encode(text) : text;
}

/**
 * Returns a text as a string.
 *
 * @example
 * ```ts
 * textOf(packText("a\nb")); // "a\nb"
 * ```
 */
export function textOf(text: HeldText): string {
  if (typeof text === "string") return text;
  return Buffer.from(text.buffer, text.byteOffset, text.length).toString();
}

/** Returns the length of a text in UTF-8. */
export function textLength(text: HeldText): Bytes {
  return typeof text === "string" ? Buffer.byteLength(text) : text.length;
}

/** Returns a copy that retains no larger buffer, as decoded bytes do. */
export function copyBytes(bytes: Uint8Array): Uint8Array {
  return new Uint8Array(bytes);
}
