/**
 * Parses and validates the request headers of callers.
 *
 * @module
 */
import {
  Err,
  fail,
  type Failure,
  type HttpRequest,
  type Milliseconds,
  MINUTE_MS,
  Ok,
  type Result,
} from "#core";
import type { BundlePolicy } from "./policy.ts";

/** Header that names the tenant. */
export const TENANT_HEADER = "cicadafield-tenant";
/** Header that names the class. */
export const CLASS_HEADER = "cicadafield-class";
/** Header with the time limit of the call, in milliseconds. */
export const DEADLINE_HEADER = "cicadafield-deadline-ms";
/** Header with the idempotency key of a request that must run at most once, however often it is sent. */
export const IDEMPOTENCY_KEY_HEADER = "idempotency-key";
/** Longest time limit that a caller may request. */
export const MAXIMUM_DEADLINE_MS: Milliseconds = 60 * MINUTE_MS;

const MAXIMUM_KEY_CHARACTERS = 256;
const SINGLE_VALUE_HEADERS = [
  TENANT_HEADER,
  CLASS_HEADER,
  DEADLINE_HEADER,
  IDEMPOTENCY_KEY_HEADER,
] as const;

/** Values of a call's headers. */
export interface CallHeaders {
  readonly tenant: string;
  readonly class: string;
  readonly deadlineMs: Milliseconds;
  readonly idempotencyKey: string | null;
}

/** Parses the headers of a call; the returned deadline is on the same clock as `nowMs`. */
export function readCallHeaders(
  call: HttpRequest,
  options: { readonly policy: BundlePolicy; readonly nowMs: Milliseconds },
): Result<CallHeaders, Failure> {
  const { policy, nowMs } = options;
  for (const name of SINGLE_VALUE_HEADERS) {
    if (call.headers[name]?.includes(",") === true) {
      return reject("conflicting_headers", `${name} was sent twice`, name);
    }
  }
  const tenant = call.headers[TENANT_HEADER] ?? "";
  if (tenant === "") {
    return reject(
      "missing_header",
      `${TENANT_HEADER} is missing`,
      TENANT_HEADER,
    );
  }
  if (policy.tenant(tenant) === undefined) {
    return reject(
      "unknown_tenant",
      `there is no tenant ${tenant}`,
      TENANT_HEADER,
    );
  }
  const name = call.headers[CLASS_HEADER] ?? policy.lowestClass() ?? "";
  const entry = policy.class(name);
  if (entry === undefined) {
    return reject("unknown_class", `there is no class ${name}`, CLASS_HEADER);
  }
  const allowedMs = readAllowedMs(call, entry.defaultDeadlineMs);
  if (!allowedMs.ok) return allowedMs;
  const key = call.headers[IDEMPOTENCY_KEY_HEADER] ?? null;
  if (key !== null && (key === "" || key.length > MAXIMUM_KEY_CHARACTERS)) {
    const message =
      `${IDEMPOTENCY_KEY_HEADER} must have 1 to ${MAXIMUM_KEY_CHARACTERS} characters`;
    return reject("malformed_request", message, IDEMPOTENCY_KEY_HEADER);
  }
  return Ok({
    tenant,
    class: name,
    deadlineMs: nowMs + allowedMs.val,
    idempotencyKey: key,
  });
}

function readAllowedMs(
  call: HttpRequest,
  defaultMs: Milliseconds,
): Result<Milliseconds, Failure> {
  const text = call.headers[DEADLINE_HEADER];
  if (text === undefined) return Ok(defaultMs);
  const allowedMs = /^\d{1,9}$/.test(text) ? Number(text) : 0;
  if (allowedMs > 0 && allowedMs <= MAXIMUM_DEADLINE_MS) return Ok(allowedMs);
  return reject(
    "malformed_request",
    `${DEADLINE_HEADER} must be a whole number from 1 to ${MAXIMUM_DEADLINE_MS}`,
    DEADLINE_HEADER,
  );
}

function reject(
  kind:
    | "conflicting_headers"
    | "missing_header"
    | "unknown_tenant"
    | "unknown_class"
    | "malformed_request",
  message: string,
  field: string,
): Result<never, Failure> {
  return Err(fail(kind, message, { field }));
}
