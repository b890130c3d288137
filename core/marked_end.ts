/**
 * How a response tells where it ends.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";

const NO_BODY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Returns whether a response to a request with this method marks its own end, by a length or in chunks, or has no body.
 * Any other one ends with its connection, and a part of it may look like the whole.
 *
 * @example
 * ```ts
 * hasMarkedEnd({ statusCode: 200, headers: { "content-length": "5" } }, "GET"); // true
 * hasMarkedEnd({ statusCode: 200, headers: {} }, "GET"); // false
 * ```
 */
export function hasMarkedEnd(
  { statusCode = 0, headers }: Pick<IncomingMessage, "statusCode" | "headers">,
  method: string,
): boolean {
  if (method === "HEAD" || NO_BODY_STATUSES.has(statusCode)) return true;
  const codings = headers["transfer-encoding"];
  if (codings === undefined) return headers["content-length"] !== undefined;
  return /(^|,)\s*chunked\s*$/i.test(codings);
}
