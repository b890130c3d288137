/**
 * Memory of the bodies that an HTTP server holds: of requests in progress, and of responses that are being written.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import {
  ByteBudget,
  type ByteReservation,
  type Bytes,
  fail,
  type Failure,
  GARBAGE_METER,
  type HttpResponse,
  MEBIBYTE,
} from "#core";
import { failureResponse } from "./failure_response.ts";
import type { HttpLimits } from "./http_limits.ts";
import { noMemoryFailure } from "./request_body.ts";
import { dropExcessiveFields, dropFields, headBytes } from "./request_head.ts";

/** Heads of all requests in progress; some ten thousand of ordinary size. */
const MAXIMUM_HELD_HEAD_BYTES: Bytes = 16 * MEBIBYTE;

/** A response whose memory is held until `release`. */
export interface HeldResponse {
  readonly response: HttpResponse;
  /** Why the response replaces another one for which there was no memory; undefined if it does not. */
  readonly failure: Failure | undefined;
  readonly release: () => void;
}

/** Memory that a server shares with other components of the process. */
export interface SharedMemory {
  /** Memory of all requests and responses of the process. */
  readonly httpBudget?: ByteBudget | undefined;
  /** Memory of all responses; the server has its own if it is absent. */
  readonly responseBudget?: ByteBudget;
}

/** The head of a request whose memory is held until `release`. */
export interface HeldHead {
  /** Why the request is rejected; undefined if it is not. */
  readonly failure: Failure | undefined;
  readonly release: () => void;
}

/** The memory of one server. */
export class HttpMemory {
  readonly #maximumHeaderFields: number;
  readonly #heads: ByteBudget;
  readonly #bodies: ByteBudget;
  readonly #responses: ByteBudget;

  constructor(limits: HttpLimits, shared: SharedMemory = {}) {
    const { httpBudget, responseBudget } = shared;
    this.#maximumHeaderFields = limits.maximumHeaderFields;
    const parent = httpBudget === undefined ? {} : { parent: httpBudget };
    this.#heads = new ByteBudget({
      maximumBytes: MAXIMUM_HELD_HEAD_BYTES,
      maximumBodyBytes: 0,
      ...parent,
    });
    this.#bodies = new ByteBudget({
      maximumBytes: limits.maximumHeldBodyBytes,
      maximumBodyBytes: limits.maximumBodyBytes,
      ...parent,
    });
    this.#responses = responseBudget ?? new ByteBudget({
      maximumBytes: limits.maximumHeldResponseBytes,
      maximumBodyBytes: 0,
    });
  }

  /** Reserves the memory of a head that was read. */
  holdHead(request: IncomingMessage): HeldHead {
    const reservation = this.openHead();
    const release = (): void => reservation.release();
    const excess = dropExcessiveFields(request, this.#maximumHeaderFields);
    if (excess !== undefined) return { failure: excess, release };
    const bytes = headBytes(request);
    if (reservation.extendTo(bytes)) return { failure: undefined, release };
    dropFields(request);
    GARBAGE_METER.drop(bytes);
    return { failure: noMemoryFailure(), release };
  }

  /** Returns an empty reservation for heads that were read, or not yet. */
  openHead(): ByteReservation {
    return this.#heads.open();
  }

  /** Returns an empty reservation for the body of a request. */
  openBody(): ByteReservation {
    return this.#bodies.open();
  }

  /** Returns the response, or a failure if callers that read slowly hold all memory for responses. */
  holdResponse(response: HttpResponse): HeldResponse {
    const reservation = this.#responses.open();
    const release = (): void => reservation.release();
    if (reservation.extendTo(fixedBodyBytes(response))) {
      return { response, failure: undefined, release };
    }
    const failure = fail("outcome_unknown", "no memory for the response");
    return { response: failureResponse(failure), failure, release };
  }
}

/** Returns the size of a body that is held as a whole; 0 for a streamed one. */
function fixedBodyBytes(response: HttpResponse): Bytes {
  const { body } = response;
  if (typeof body === "string") return Buffer.byteLength(body);
  return body instanceof Uint8Array ? body.length : 0;
}
