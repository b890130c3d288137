/**
 * Routes as the domains define them; the server itself is in `programs`.
 *
 * @module
 */
import type { Failure } from "./error_kinds.ts";

/** A request whose headers and body were received whole and within their limits. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  /** Path and query exactly as sent. */
  readonly target: string;
  /** Names and values by turns, exactly as sent. */
  readonly rawHeaders: readonly string[];
  /** Values of the `:name` parts of the pattern, decoded. */
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  /** Lower-case names. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Aborted when the caller goes away before the answer is whole. */
  readonly signal: AbortSignal;
}

/** An answer; a body of chunks is sent as they come. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Uint8Array | AsyncIterable<string | Uint8Array>;
}

/** One route. */
export interface HttpRoute {
  readonly method: "GET" | "PUT" | "POST" | "DELETE" | "ANY";
  /** Path with `:name` for one part and a last `*name` for the rest. */
  readonly pattern: string;
  /** Names the route in metrics and logs. */
  readonly name: string;
  /** Answers the call, or gives a failure that the table turns into an answer. */
  readonly handle: (call: HttpRequest) => Promise<HttpResponse | Failure>;
}

/**
 * Builds a JSON answer.
 *
 * @example
 * ```ts
 * jsonResponse(200, { version: 3 });
 * ```
 */
export function jsonResponse(
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): HttpResponse {
  return {
    status,
    headers: { "content-type": "application/json", ...headers },
    body: JSON.stringify(value) + "\n",
  };
}
