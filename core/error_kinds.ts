/**
 * The closed list of error kinds, with the HTTP response that a caller receives for each.
 *
 * @module
 */
import type { Milliseconds } from "./units.ts";

/** Whether an upstream executed the failed request. */
export type ExecutionStatus = "yes" | "no" | "unknown";

/** HTTP response to a caller for one kind of error. */
export interface ErrorResponse {
  /** HTTP status. */
  readonly status: number;
  /** Default of `Failure.ran`: whether the request was executed. */
  readonly ran: ExecutionStatus;
  /** Whether a retry of the same request can succeed. */
  readonly again: boolean;
  /** What the caller can do, in one sentence. */
  readonly hint: string;
}

/** All error kinds, each with its response. */
export const ERROR_TABLE = {
  malformed_request: {
    status: 400,
    ran: "no",
    again: false,
    hint: "Correct the named field and send the request again.",
  },
  missing_header: {
    status: 400,
    ran: "no",
    again: false,
    hint: "Send the named header.",
  },
  conflicting_headers: {
    status: 400,
    ran: "no",
    again: false,
    hint: "Send the header once, with one value.",
  },
  invalid_api_key: {
    status: 401,
    ran: "no",
    again: false,
    hint: "Send `Authorization: Bearer KEY` with a key of a tenant.",
  },
  bad_signature: {
    status: 403,
    ran: "no",
    again: false,
    hint: "Sign the bundle with a key that the active bundle lists.",
  },
  forbidden: {
    status: 403,
    ran: "no",
    again: false,
    hint: "Ask an operator to allow this in the bundle.",
  },
  unknown_route: {
    status: 404,
    ran: "no",
    again: false,
    hint: "See the list of routes in the README.",
  },
  unknown_tenant: {
    status: 404,
    ran: "no",
    again: false,
    hint: "Use a tenant that the active bundle lists.",
  },
  unknown_class: {
    status: 404,
    ran: "no",
    again: false,
    hint: "Use a class that the active bundle lists.",
  },
  unknown_model: {
    status: 404,
    ran: "no",
    again: false,
    hint: "Use a model that the active bundle lists.",
  },
  unknown_service: {
    status: 404,
    ran: "no",
    again: false,
    hint: "Use a service that the active bundle lists.",
  },
  unknown_trainer: {
    status: 404,
    ran: "no",
    again: false,
    hint: "Use a trainer that the active bundle lists.",
  },
  not_found: {
    status: 404,
    ran: "no",
    again: false,
    hint: "Check the identifier.",
  },
  method_not_allowed: {
    status: 405,
    ran: "no",
    again: false,
    hint: "Use a method listed for this route.",
  },
  slow_sender: {
    status: 408,
    ran: "no",
    again: true,
    hint: "Send the complete request within the time limit.",
  },
  conflict: {
    status: 409,
    ran: "no",
    again: false,
    hint: "Read what is stored under this identifier before sending again.",
  },
  version_conflict: {
    status: 409,
    ran: "no",
    again: false,
    hint: "Fetch the active bundle and apply the change to it.",
  },
  missing_predecessor: {
    status: 409,
    ran: "no",
    again: false,
    hint: "Set the predecessor to the digest of the active bundle.",
  },
  stale_fence: {
    status: 409,
    ran: "no",
    again: false,
    hint: "Discard this order; a newer one is active.",
  },
  stale_cursor: {
    status: 410,
    ran: "no",
    again: false,
    hint: "Continue from the newest cursor received.",
  },
  body_too_large: {
    status: 413,
    ran: "no",
    again: false,
    hint: "Send a smaller body.",
  },
  headers_too_large: {
    status: 431,
    ran: "no",
    again: false,
    hint: "Send fewer or shorter headers.",
  },
  invalid_bundle: {
    status: 422,
    ran: "no",
    again: false,
    hint: "Run `cicadafield bundle check` and correct each field it lists.",
  },
  invalid_step: {
    status: 422,
    ran: "no",
    again: false,
    hint: "Correct the named field of the step.",
  },
  bound_cannot_be_met: {
    status: 422,
    ran: "no",
    again: false,
    hint: "Request a staleness bound that the bundle allows.",
  },
  too_many_requests: {
    status: 429,
    ran: "no",
    again: true,
    hint: "Retry after the given time.",
  },
  deadline_unreachable: {
    status: 429,
    ran: "no",
    again: true,
    hint: "Retry after the given time, or set a later deadline.",
  },
  internal: {
    status: 500,
    ran: "unknown",
    again: false,
    hint: "Search the log for the request identifier.",
  },
  upstream_failed: {
    status: 502,
    ran: "unknown",
    again: false,
    hint:
      "The upstream may have run the request; check its state before sending again.",
  },
  short_answer: {
    status: 502,
    ran: "unknown",
    again: false,
    hint:
      "The upstream's response was incomplete; check its state before sending again.",
  },
  answer_too_large: {
    status: 502,
    ran: "yes",
    again: false,
    hint: "Request a shorter response.",
  },
  upstream_refused: {
    status: 503,
    ran: "no",
    again: true,
    hint: "No upstream accepted the request; retry after the given time.",
  },
  no_upstream: {
    status: 503,
    ran: "no",
    again: true,
    hint: "No upstream serves this now; retry after the given time.",
  },
  call_blocked: {
    status: 503,
    ran: "no",
    again: false,
    hint:
      "Upstreams crashed under requests with this content, so it is not sent to any more; change the request.",
  },
  stream_origin_unknown: {
    status: 503,
    ran: "no",
    again: false,
    hint:
      "It is not known which software version wrote the first events; request the stream from its start.",
  },
  no_quorum: {
    status: 503,
    ran: "no",
    again: true,
    hint: "The control VMs have no quorum now; retry after the given time.",
  },
  not_leader: {
    status: 503,
    ran: "no",
    again: true,
    hint: "Send the request to the named leader.",
  },
  configuration_unconfirmed: {
    status: 503,
    ran: "no",
    again: true,
    hint:
      "This VM does not know which API keys are valid now; retry after the given time, also at another VM.",
  },
  tenant_share_exceeded: {
    status: 503,
    ran: "no",
    again: true,
    hint:
      "The service can't run all calls, and the tenant sends more than its share; retry after the given time.",
  },
  not_ready: {
    status: 503,
    ran: "no",
    again: true,
    hint: "This VM is starting or stopping; retry after the given time.",
  },
  overloaded: {
    status: 503,
    ran: "no",
    again: true,
    hint:
      "This VM has no memory for the request now; retry after the given time.",
  },
  outcome_unknown: {
    status: 504,
    ran: "unknown",
    again: false,
    hint: "The request may have run; read the state before sending again.",
  },
  deadline_passed: {
    status: 504,
    ran: "unknown",
    again: false,
    hint:
      "No response arrived in time; check whether the request ran before sending again.",
  },
  cancelled: {
    status: 499,
    ran: "unknown",
    again: false,
    hint: "The caller disconnected or cancelled the request.",
  },
  frame_refused: {
    status: 400,
    ran: "no",
    again: false,
    hint: "Check the cluster name, the release and the frame size.",
  },
  storage_failed: {
    status: 500,
    ran: "unknown",
    again: false,
    hint: "Check the disk of this VM.",
  },
  storage_corrupt: {
    status: 500,
    ran: "no",
    again: false,
    hint: "Replace this replica: start it with an empty data folder.",
  },
  invalid_settings: {
    status: 400,
    ran: "no",
    again: false,
    hint: "Correct the listed settings.",
  },
} as const satisfies Readonly<Record<string, ErrorResponse>>;

/** Name of an error kind. */
export type ErrorKind = keyof typeof ERROR_TABLE;

/** A failure with its kind, as returned by functions and sent between VMs. */
export interface Failure {
  readonly kind: ErrorKind;
  /** What went wrong, in one sentence, with the invalid field and value if there are any. */
  readonly message: string;
  readonly ran: ExecutionStatus;
  /** Time that the caller should wait before a retry. */
  readonly retryAfterMs?: Milliseconds;
  /** Name of the invalid field, if there is one. */
  readonly field?: string;
  /** Identifier or address that helps the caller to proceed, such as the leader's name. */
  readonly detail?: string;
  /** Identifier of the failed request, if it had one. */
  readonly requestId?: string;
}

/** Optional fields of a failure. */
export type FailureOptions = Partial<Omit<Failure, "kind" | "message">>;

/**
 * Creates a failure; `ran` defaults to the value in `ERROR_TABLE`.
 *
 * @example
 * ```ts
 * const failure = fail("too_many_requests", "queue of class lookup is full", { retryAfterMs: 800 });
 * // failure.ran === "no"
 * ```
 */
export function fail(
  kind: ErrorKind,
  message: string,
  options: FailureOptions = {},
): Failure {
  return { kind, message, ran: ERROR_TABLE[kind].ran, ...options };
}

/** Returns whether a value received from another VM is a failure. */
export function isFailure(value: unknown): value is Failure {
  if (typeof value !== "object" || value === null) return false;
  const kind = (value as { readonly kind?: unknown }).kind;
  return typeof kind === "string" && Object.hasOwn(ERROR_TABLE, kind);
}
