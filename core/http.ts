/**
 * Types of the HTTP routes that the domains define; the server is in `programs`.
 *
 * @module
 */
import type { ByteReservation } from "./byte_budget.ts";
import type { Failure } from "./error_kinds.ts";
import type { Milliseconds } from "./units.ts";

/** A request whose headers and body were received completely and within their limits. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  /** Path and query exactly as sent. */
  readonly target: string;
  /** Alternating names and values, exactly as sent. */
  readonly rawHeaders: readonly string[];
  /** Decoded values of the `:name` segments of the pattern. */
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  /** Headers by lower-case name. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Memory of the request, held until the response is written; absent if it is not limited. */
  readonly memory?: ByteReservation;
  /** Aborted when the caller disconnects before the response is complete. */
  readonly signal: AbortSignal;
  /**
   * By when the response must be complete, on the monotonic clock of this VM, since the VM stops then. Absent unless the
   * request came after the load balancer should have noticed that.
   */
  readonly endsByMs?: Milliseconds | undefined;
}

/** A response; the chunks of an iterable body are sent as they become available. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string | Uint8Array | AsyncIterable<string | Uint8Array>;
}

/** An HTTP route and its handler. */
export interface HttpRoute {
  readonly method: "GET" | "PUT" | "POST" | "DELETE" | "ANY";
  /** Path in which `:name` matches one segment and a final `*name` matches the rest. */
  readonly pattern: string;
  /** Name of the route in metrics and logs. */
  readonly name: string;
  /** Returns the response, or a failure, which `ERROR_TABLE` maps to a response. */
  readonly handle: (call: HttpRequest) => Promise<HttpResponse | Failure>;
}

/**
 * Creates a JSON response.
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
