/**
 * Who sends a call: the tenant of its API key.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** The tenant that sends a call, known by its API key. */
export interface CallerIdentity {
  readonly tenant: string;
  /** Priority of the tenant, which takes precedence over that of the route; null if it has none. */
  readonly priority: number | null;
}

/**
 * Returns the digest by which the rules know an API key, so that keys are stored in the operator's text only. Looking
 * up a digest reveals nothing about a key by its timing.
 *
 * @example
 * ```ts
 * const digest = digestApiKey("rjvz48wuakn2ftimaj3n");
 * ```
 */
export function digestApiKey(key: string): string {
  return createHash("sha256").update(key).digest("base64url");
}
