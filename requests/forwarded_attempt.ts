/**
 * Outcomes of the attempts of a forwarded call.
 *
 * @module
 */
import { type Milliseconds, promisesNotRun, type RouteRule } from "#core";
import type { UpstreamDialect } from "./upstream_dialect.ts";
import type { CompleteResponse } from "./upstream_http.ts";

/** Lowest status that means that the upstream ran the call and failed. */
export const MINIMUM_SERVER_ERROR_STATUS = 500;

/** Outcome of one attempt. */
export type Attempt =
  | { readonly kind: "answer"; readonly response: CompleteResponse }
  | {
    readonly kind: "not_run";
    readonly reason: string;
    /** Whether the upstream responded so; it was not reached if absent. */
    readonly isRejection?: boolean;
  }
  | { readonly kind: "unknown"; readonly reason: string };

/** Classifies a complete response of an upstream. */
export function classifyResponse(
  response: CompleteResponse,
  dialect: UpstreamDialect,
): Attempt {
  const metadata = dialect.readResponse(response);
  if (metadata.notRun) {
    return {
      kind: "not_run",
      reason: `rejected with status ${response.status}`,
      isRejection: true,
    };
  }
  if (
    metadata.stamp === null && response.status < MINIMUM_SERVER_ERROR_STATUS
  ) {
    return { kind: "unknown", reason: "response without its stamp header" };
  }
  return { kind: "answer", response };
}

/** Classifies an attempt without a complete response. */
export function classifyError(
  error: { readonly mayHaveRun: boolean; readonly reason: string },
): Attempt {
  const { reason } = error;
  return error.mayHaveRun
    ? { kind: "unknown", reason }
    : { kind: "not_run", reason };
}

/**
 * Whether the caller of a call that has run, or may have, would send it again because of its status, and so run it twice.
 */
export function isFalsePromise(
  status: number,
  kind: RouteRule["kind"],
): boolean {
  return kind === "once" && promisesNotRun(status);
}

/** Returns the reason not to pass on a status that promises that a request has not run. */
export function ranReason(status: number): string {
  return `status ${status} of an upstream that may have run it`;
}

/** Whether an attempt shows that its service can't run all calls; undefined if it shows nothing of its load. */
export function isOverload(
  attempt: Attempt,
  { elapsedMs, objectiveMs }: {
    readonly elapsedMs: Milliseconds;
    /** 0 if the route names none. */
    readonly objectiveMs: Milliseconds;
  },
): boolean | undefined {
  if (attempt.kind === "not_run") return attempt.isRejection;
  if (objectiveMs > 0 && elapsedMs > objectiveMs) return true;
  return attempt.kind === "answer" ? false : undefined;
}

/** Whether the upstream ran the call and failed. */
export function isServerError(attempt: Attempt): boolean {
  return attempt.kind === "answer" &&
    attempt.response.status >= MINIMUM_SERVER_ERROR_STATUS;
}
