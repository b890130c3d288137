/**
 * What makes two calls the same: all that an upstream gets to see of them, apart from the identifier and the deadline of
 * one attempt.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { Bytes } from "#core";

/** Long enough that nobody can construct two calls with one digest. */
const DIGEST_BYTES: Bytes = 24;

/** The content of a call. */
export interface CallContent {
  readonly method: string;
  readonly host: string;
  /** Path and query. */
  readonly target: string;
  /** Who sends it, or empty if calls do not say. */
  readonly caller: string;
  readonly body: Uint8Array;
}

/**
 * Returns a digest that calls have in common only if their content is the same.
 *
 * @example
 * ```ts
 * const digest = digestOf({ method: "POST", host: "h", target: "/a", caller: "", body });
 * ```
 */
export function digestOf(content: CallContent): string {
  const { method, host, target, caller, body } = content;
  const hash = createHash("sha256");
  for (const field of [method, host, target, caller]) {
    // A length before each field, so that no two lists of fields are hashed as the same bytes.
    hash.update(`${Buffer.byteLength(field)}:`).update(field);
  }
  hash.update(body);
  return hash.digest().subarray(0, DIGEST_BYTES).toString("base64url");
}
