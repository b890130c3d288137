/**
 * Maps a failure to its HTTP response by the table of error kinds.
 *
 * @module
 */
import {
  ERROR_TABLE,
  type Failure,
  type HttpResponse,
  jsonResponse,
  SECOND_MS,
} from "#core";

/** Header that states whether the request may have run. */
export const RAN_HEADER = "Cicadafield-Ran";
/** Header with the request ID, for `cicadafield explain`. */
export const REQUEST_HEADER = "Cicadafield-Request";

/**
 * Builds the response to a failed request.
 *
 * @example
 * ```ts
 * failureResponse(fail("no_quorum", "no leader is known", { retryAfterMs: 1_200 }));
 * // status 503, Cicadafield-Ran: no, Retry-After: 2
 * ```
 */
export function failureResponse(failure: Failure): HttpResponse {
  const entry = ERROR_TABLE[failure.kind];
  const headers: Record<string, string> = { [RAN_HEADER]: failure.ran };
  if (failure.retryAfterMs !== undefined) {
    headers["Retry-After"] = retryAfterSeconds(failure.retryAfterMs);
  }
  if (failure.requestId !== undefined) {
    headers[REQUEST_HEADER] = failure.requestId;
  }
  const body = {
    kind: failure.kind,
    message: failure.message,
    hint: entry.hint,
    ran: failure.ran,
    ...(failure.field === undefined ? {} : { field: failure.field }),
    ...(failure.detail === undefined ? {} : { detail: failure.detail }),
  };
  return jsonResponse(entry.status, body, headers);
}

function retryAfterSeconds(retryAfterMs: number): string {
  return String(Math.max(1, Math.ceil(retryAfterMs / SECOND_MS)));
}
