/**
 * Memory of the bodies that an HTTP server holds: of requests in progress, and of responses that are being written.
 *
 * @module
 */
import {
  ByteBudget,
  type ByteReservation,
  type Bytes,
  fail,
  type Failure,
  type HttpResponse,
} from "#core";
import { failureResponse } from "./failure_response.ts";
import type { HttpLimits } from "./http_limits.ts";

/** A response whose memory is held until `release`. */
export interface HeldResponse {
  readonly response: HttpResponse;
  /** Why the response replaces another one for which there was no memory; undefined if it does not. */
  readonly failure: Failure | undefined;
  readonly release: () => void;
}

/** The memory of one server. */
export class HttpMemory {
  readonly #bodies: ByteBudget;
  readonly #responses: ByteBudget;

  /** `responses` is shared with other components; without it the server has its own. */
  constructor(limits: HttpLimits, responses?: ByteBudget) {
    this.#bodies = new ByteBudget({
      maximumBytes: limits.maximumHeldBodyBytes,
      maximumBodyBytes: limits.maximumBodyBytes,
    });
    this.#responses = responses ?? new ByteBudget({
      maximumBytes: limits.maximumHeldResponseBytes,
      maximumBodyBytes: 0,
    });
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
