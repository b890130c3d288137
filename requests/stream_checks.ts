/**
 * Why a stream is not sent to an upstream, or its response not passed on. Performs no I/O.
 *
 * @module
 */
import { promisesNotRun } from "#core";
import { ranReason } from "./forwarded_attempt.ts";
import type { StreamProgress } from "./stream_call.ts";
import type { ResponseMetadata } from "./upstream_dialect.ts";
import type { IdentityCheck } from "./upstream_identity.ts";

const OK_STATUS = 200;

/** Returns why a stream is not sent to an upstream, or undefined if it is. */
export function reasonNotToSend(
  identity: IdentityCheck,
  { softwareVersion }: StreamProgress,
): string | undefined {
  if (identity.kind === "failed") return identity.reason;
  if (identity.kind === "identified" || softwareVersion === undefined) {
    return undefined;
  }
  return identity.isDoubtful
    ? "it may have started again with other software"
    : undefined;
}

/** Returns why a response is not passed on to the caller, or undefined if it is. */
export function rejectionOf(
  response: {
    readonly status: number;
    readonly metadata: ResponseMetadata;
  },
  expected: {
    readonly requestId: string;
    /** Whether the response has to be the rest of a stream. */
    readonly isRest: boolean;
  },
): string | undefined {
  const { status, metadata } = response;
  if (metadata.notRun) return `rejected with status ${status}`;
  if (metadata.requestId !== expected.requestId) {
    return "response belongs to another request";
  }
  // The caller may send the request again after such a status, but it may have run.
  if (promisesNotRun(status)) return ranReason(status);
  if (status !== OK_STATUS) {
    return expected.isRest
      ? `status ${status} instead of the rest of the stream`
      : undefined;
  }
  return metadata.stamp === null
    ? "response without its stamp header"
    : undefined;
}
