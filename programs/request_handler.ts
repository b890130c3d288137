/**
 * Reads requests of the HTTP server and calls the handlers of their routes, within the limits of bodies and of a
 * shutdown.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  type ByteReservation,
  type Bytes,
  type EventLog,
  fail,
  type Failure,
  type HttpResponse,
  type Milliseconds,
  type RandomSource,
} from "#core";
import { HTTP_EVENTS } from "./events.ts";
import { failureResponse } from "./failure_response.ts";
import {
  bodyTooLargeFailure,
  contentLengthExceeds,
  contentLengthOf,
  noMemoryFailure,
  readBody,
} from "./request_body.ts";
import { buildCall, type FoundRoute } from "./route_finder.ts";
import type { WriteOutcome } from "./response_writer.ts";
import type { ShutdownLimit } from "./shutdown_limit.ts";

/** Failure of a request that is in progress when the VM has no more time. */
const STOPPED = fail(
  "outcome_unknown",
  "this VM had to stop before the response was complete",
);

/** A request and its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether the client waits for `100 Continue` before it sends the body. */
  readonly expectsContinue: boolean;
  readonly startedAtMs: Milliseconds;
  /** The memory of the request body, held until the response is written. */
  readonly bodyReservation: ByteReservation;
}

/** Options of `RequestHandler`. */
export interface RequestHandlerOptions {
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly shutdown: ShutdownLimit;
  /** Returns the size limit of a body. */
  readonly maximumBodyBytes: () => Bytes;
}

/** Turns a request into the response to it. */
export class RequestHandler {
  readonly #options: RequestHandlerOptions;

  constructor(options: RequestHandlerOptions) {
    this.#options = options;
  }

  /** Reads the body, calls the handler of the route, and returns the response or one for the failure. */
  async respond(
    exchange: Exchange,
    found: FoundRoute,
  ): Promise<HttpResponse> {
    const { request, response } = exchange;
    const maximumBytes = this.#options.maximumBodyBytes();
    if (contentLengthExceeds(request, maximumBytes)) {
      return failureResponse(bodyTooLargeFailure(maximumBytes));
    }
    const reservation = exchange.bodyReservation;
    if (!reservation.extendTo(contentLengthOf(request))) {
      return this.#rejectBody(exchange, noMemoryFailure());
    }
    if (exchange.expectsContinue) response.writeContinue();
    const read = await this.#options.shutdown.wait(
      readBody(request, { maximumBytes, reservation }),
    );
    if (read.kind === "stopped") {
      return failureResponse(fail("not_ready", "this VM stops now"));
    }
    const body = read.value;
    if (body.err) return this.#rejectBody(exchange, body.val);
    return this.#handle(exchange, found, body.val);
  }

  #rejectBody(exchange: Exchange, failure: Failure): HttpResponse {
    // Other bodies may use the memory while the rest of this one is discarded.
    exchange.bodyReservation.release();
    if (failure.kind === "overloaded") this.reportRejection(failure);
    return failureResponse(failure);
  }

  /** Logs that a request was rejected. */
  reportRejection(failure: Failure): void {
    const { kind } = failure;
    this.#options.events.emit(HTTP_EVENTS.requestRejected, { kind });
  }

  /** Logs that a response could not be written as a whole. */
  reportOutcome(outcome: WriteOutcome): void {
    if (outcome.kind === "stalled") {
      this.#options.events.emit(HTTP_EVENTS.callerStalled);
    }
    if (outcome.kind === "broken") {
      const reason = messageOf(outcome.error);
      this.#options.events.emit(HTTP_EVENTS.responseAborted, { reason });
    }
    if (outcome.kind === "unwritable") {
      const reason = messageOf(outcome.error);
      this.#options.events.emit(HTTP_EVENTS.responseUnwritable, { reason });
    }
  }

  async #handle(
    exchange: Exchange,
    found: FoundRoute,
    body: Uint8Array,
  ): Promise<HttpResponse> {
    const disconnect = new AbortController();
    const { request, response } = exchange;
    response.once("close", () => {
      if (!response.writableFinished) disconnect.abort();
    });
    const call = buildCall(request, {
      found,
      body,
      memory: exchange.bodyReservation,
      signal: disconnect.signal,
      endsByMs: this.#options.shutdown.endOfRequestMs(),
    });
    try {
      const handled = await this.#options.shutdown.wait(
        found.route.handle(call),
      );
      if (handled.kind === "stopped") {
        disconnect.abort();
        return failureResponse(STOPPED);
      }
      const result = handled.value;
      return "kind" in result ? failureResponse(result) : result;
    } catch (error) {
      return failureResponse(this.reportError(found.route.name, error));
    }
  }

  /** Logs an error that a handler threw, and returns the failure for the client. */
  reportError(route: string, error: unknown): Failure {
    const request = this.#options.random.identifier();
    const stack = error instanceof Error ? error.stack : String(error);
    this.#options.events.emit(HTTP_EVENTS.handlerFailed, {
      route,
      request,
      stack,
    });
    return fail("internal", `the handler failed; request ${request}`, {
      detail: request,
    });
  }
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
