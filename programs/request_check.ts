/**
 * Validates the target and the headers of a request before it is routed.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Err, fail, type Failure, Ok, type Result } from "#core";

const UNIQUE_HEADERS: ReadonlySet<string> = new Set([
  "content-type",
  "host",
  "idempotency-key",
]);
const SERVICE_HEADER_PREFIX = "cicadafield-";

/** Target and headers of a valid request. */
export interface CheckedRequest {
  /** Path as sent, not decoded, without the query. */
  readonly path: string;
  readonly query: URLSearchParams;
  /** Values by lower-case name. */
  readonly headers: Readonly<Record<string, string>>;
}

/** Parses the target and the headers; fails with `malformed_request`, `missing_header` or `conflicting_headers`. */
export function checkRequest(
  request: IncomingMessage,
): Result<CheckedRequest, Failure> {
  const target = request.url ?? "";
  if (!target.startsWith("/")) {
    const message = `the request target ${target} does not start with a slash`;
    return Err(fail("malformed_request", message, { field: "path" }));
  }
  if (request.headers.host === undefined && request.httpVersion === "1.1") {
    const message = "HTTP/1.1 requires a Host header";
    return Err(fail("missing_header", message, { field: "host" }));
  }
  const repeatedName = findRepeatedHeader(request.rawHeaders);
  if (repeatedName !== undefined) {
    const message = `the header ${repeatedName} occurs more than once`;
    return Err(fail("conflicting_headers", message, { field: repeatedName }));
  }
  const queryStart = target.indexOf("?");
  const path = queryStart < 0 ? target : target.slice(0, queryStart);
  const query = new URLSearchParams(
    queryStart < 0 ? "" : target.slice(queryStart + 1),
  );
  return Ok({ path, query, headers: joinHeaderValues(request) });
}

function findRepeatedHeader(rawHeaders: readonly string[]): string | undefined {
  const seen = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? "").toLowerCase();
    if (!UNIQUE_HEADERS.has(name) && !name.startsWith(SERVICE_HEADER_PREFIX)) {
      continue;
    }
    if (seen.has(name)) return name;
    seen.add(name);
  }
  return undefined;
}

function joinHeaderValues(
  request: IncomingMessage,
): Readonly<Record<string, string>> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (value === undefined) continue;
    headers[name] = typeof value === "string" ? value : value.join(", ");
  }
  return headers;
}
