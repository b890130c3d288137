/**
 * The closed list of error kinds, and the table from a kind to the answer a caller gets.
 *
 * @module
 */
import type { Milliseconds } from "./units.ts";

/** Whether an upstream can have executed the request that failed. */
export type ExecutionStatus = "yes" | "no" | "unknown";

/** What a caller is told for one kind of error. */
export interface ErrorResponse {
  /** HTTP status. */
  readonly status: number;
  /** Whether the request ran, unless the failure says otherwise. */
  readonly ran: ExecutionStatus;
  /** Whether sending the same request again can succeed. */
  readonly again: boolean;
  /** One sentence on what to do. */
  readonly hint: string;
}

/** The table from each kind to its answer. A kind that is not here does not exist. */
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
  bad_signature: {
    status: 403,
    ran: "no",
    again: false,
    hint: "Sign the bundle with a key that the bundle in force lists.",
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
    hint: "Name a tenant of the bundle in force.",
  },
  unknown_class: {
    status: 404,
    ran: "no",
    again: false,
    hint: "Name a class of the bundle in force.",
  },
  unknown_model: {
    status: 404,
    ran: "no",
    again: false,
    hint: "Name a model of the bundle in force.",
  },
  unknown_service: {
    status: 404,
    ran: "no",
    again: false,
    hint: "Name a service of the bundle in force.",
  },
  unknown_trainer: {
    status: 404,
    ran: "no",
    again: false,
    hint: "Name a trainer of the bundle in force.",
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
    hint: "Send the whole request within the time limit.",
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
    hint: "Fetch the bundle in force and build the change on it.",
  },
  missing_predecessor: {
    status: 409,
    ran: "no",
    again: false,
    hint: "Name the digest of the bundle in force as predecessor.",
  },
  stale_fence: {
    status: 409,
    ran: "no",
    again: false,
    hint: "A newer order is in force.",
  },
  stale_cursor: {
    status: 410,
    ran: "no",
    again: false,
    hint: "Read on from the newest cursor received.",
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
    hint: "Ask for a staleness bound that the bundle allows.",
  },
  too_many_requests: {
    status: 429,
    ran: "no",
    again: true,
    hint: "Come back after the time given.",
  },
  deadline_unreachable: {
    status: 429,
    ran: "no",
    again: true,
    hint: "Come back after the time given, or allow more time.",
  },
  internal: {
    status: 500,
    ran: "unknown",
    again: false,
    hint: "Look for the request identifier in the log.",
  },
  upstream_failed: {
    status: 502,
    ran: "unknown",
    again: false,
    hint: "The upstream may have run the request; ask it before sending again.",
  },
  short_answer: {
    status: 502,
    ran: "unknown",
    again: false,
    hint: "The upstream's answer broke off; ask it before sending again.",
  },
  answer_too_large: {
    status: 502,
    ran: "yes",
    again: false,
    hint: "Ask for a shorter answer.",
  },
  upstream_refused: {
    status: 503,
    ran: "no",
    again: true,
    hint: "No upstream took the request; come back after the time given.",
  },
  no_upstream: {
    status: 503,
    ran: "no",
    again: true,
    hint: "No upstream serves this now; come back after the time given.",
  },
  no_quorum: {
    status: 503,
    ran: "no",
    again: true,
    hint: "The control VMs can't agree now; come back after the time given.",
  },
  not_leader: {
    status: 503,
    ran: "no",
    again: true,
    hint: "Ask the named leader.",
  },
  not_ready: {
    status: 503,
    ran: "no",
    again: true,
    hint: "This VM is starting or stopping; come back after the time given.",
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
    hint: "The answer did not come in time; ask before sending again.",
  },
  cancelled: {
    status: 499,
    ran: "unknown",
    again: false,
    hint: "The caller went away.",
  },
  frame_refused: {
    status: 400,
    ran: "no",
    again: false,
    hint: "Check cluster name, program version and frame size.",
  },
  storage_failed: {
    status: 500,
    ran: "unknown",
    again: false,
    hint: "Look at the disk of this VM.",
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

/** The name of one kind of error. */
export type ErrorKind = keyof typeof ERROR_TABLE;

/** A failure with its kind, as it travels between modules and VMs. */
export interface Failure {
  readonly kind: ErrorKind;
  /** What went wrong, in one sentence, with the field and the value at fault. */
  readonly message: string;
  readonly ran: ExecutionStatus;
  /** How long the caller is asked to wait before it sends the request again. */
  readonly retryAfterMs?: Milliseconds;
  /** The field at fault, if one is. */
  readonly field?: string;
  /** Identifier or address that helps the caller on, such as the leader's name. */
  readonly detail?: string;
  /** Identifier of the request that failed, if it had one. */
  readonly requestId?: string;
}

/** Optional parts of a failure. */
export type FailureOptions = Partial<Omit<Failure, "kind" | "message">>;

/**
 * Builds a failure whose `ran` comes from the table unless given.
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

/** Tells whether a value received from another VM is a failure. */
export function isFailure(value: unknown): value is Failure {
  if (typeof value !== "object" || value === null) return false;
  const kind = (value as { readonly kind?: unknown }).kind;
  return typeof kind === "string" && Object.hasOwn(ERROR_TABLE, kind);
}
