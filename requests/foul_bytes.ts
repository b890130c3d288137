/**
 * Tells an upstream that sends bytes which are no response from one that merely fails.
 *
 * @module
 */

/** Codes of Node's HTTP parser begin so. */
const PARSER_ERROR_PREFIX = "HPE_";

/** An upstream sent more than any response of the protocol has, or what is none. */
export class FoulBytesError extends Error {
  override readonly name = "FoulBytesError";
}

/** Whether an error of a call means that its upstream sent bytes that are no response. */
export function isFoul(error: unknown): boolean {
  if (error instanceof FoulBytesError) return true;
  const { code } = error as { readonly code?: unknown };
  return typeof code === "string" && code.startsWith(PARSER_ERROR_PREFIX);
}
