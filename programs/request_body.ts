/**
 * Reads the complete body of a request, up to a size limit.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import {
  type Bytes,
  type Clock,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";
import { bodyBudgetFailure, type BodyReservation } from "./body_budget.ts";

/** Large, so that few bytes are copied and left to the garbage collector while a body grows. */
const GROWTH_FACTOR = 8;

/** Returns whether `Content-Length` exceeds the limit, before any byte of the body is read. */
export function contentLengthExceeds(
  request: IncomingMessage,
  maximumBytes: Bytes,
): boolean {
  return contentLengthOf(request) > maximumBytes;
}

/** Returns the announced size of the body; 0 if the request announces none. */
export function contentLengthOf(request: IncomingMessage): Bytes {
  return Number(request.headers["content-length"] ?? 0);
}

/** Returns the failure for a body that exceeds the limit. */
export function bodyTooLargeFailure(maximumBytes: Bytes): Failure {
  return fail(
    "body_too_large",
    `the body exceeds the limit of ${maximumBytes} bytes`,
    { field: "body" },
  );
}

/** Limits of `readBody`. */
export interface ReadBodyOptions {
  readonly maximumBytes: Bytes;
  /** Extended to the bytes of the body that have arrived, or to its announced size. */
  readonly reservation: BodyReservation;
}

/**
 * Reads a body. Fails with `body_too_large` as soon as the limit is exceeded, with `overloaded` as soon as the
 * reservation can't be extended, and with `cancelled` if the client disconnects first. A body with a
 * `Content-Length` is reserved as a whole before any byte of it is read.
 *
 * @example
 * ```ts
 * const body = await readBody(request, { maximumBytes: 1_048_576, reservation: budget.open() });
 * ```
 */
export function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Result<Uint8Array, Failure>> {
  const buffer = new BodyBuffer(options);
  const announced = buffer.announce(contentLengthOf(request));
  if (announced !== undefined) return Promise.resolve(Err(announced));
  return new Promise((resolve) => {
    const finish = (result: Result<Uint8Array, Failure>): void => {
      request.removeAllListeners("data");
      resolve(result);
    };
    request.on("data", (chunk: Uint8Array) => {
      const failure = buffer.append(chunk);
      if (failure === undefined) return;
      buffer.clear();
      finish(Err(failure));
    });
    request.once("end", () => finish(Ok(buffer.bytes())));
    request.once("error", () => finish(Err(clientDisconnected())));
    request.once("close", () => finish(Err(clientDisconnected())));
  });
}

/** A buffer that grows within the limits. Chunks are copied at once, so that the body is in memory only once. */
class BodyBuffer {
  readonly #options: ReadBodyOptions;
  #buffer = Buffer.alloc(0);
  #length: Bytes = 0;

  constructor(options: ReadBodyOptions) {
    this.#options = options;
  }

  /** Reserves the announced size; returns why that is not possible, or undefined. */
  announce(bytes: Bytes): Failure | undefined {
    const { reservation } = this.#options;
    if (bytes === 0) return undefined;
    if (!reservation.extendTo(bytes)) return bodyBudgetFailure();
    this.#buffer = Buffer.allocUnsafe(bytes);
    return undefined;
  }

  /** Appends a chunk; returns why that is not possible, or undefined. */
  append(chunk: Uint8Array): Failure | undefined {
    const { maximumBytes } = this.#options;
    const length = this.#length + chunk.length;
    if (length > maximumBytes) return bodyTooLargeFailure(maximumBytes);
    const failure = this.#growTo(length);
    if (failure !== undefined) return failure;
    this.#buffer.set(chunk, this.#length);
    this.#length = length;
    return undefined;
  }

  /** Returns the bytes appended so far. */
  bytes(): Uint8Array {
    return this.#buffer.subarray(0, this.#length);
  }

  /** Drops the bytes appended so far, which the listeners of the request would otherwise retain. */
  clear(): void {
    this.#buffer = Buffer.alloc(0);
    this.#length = 0;
  }

  /** Pages of the capacity that no byte is written to use no memory, so only the length is reserved. */
  #growTo(length: Bytes): Failure | undefined {
    const { maximumBytes, reservation } = this.#options;
    if (!reservation.extendTo(length)) return bodyBudgetFailure();
    if (length <= this.#buffer.length) return undefined;
    const enlarged = Math.max(
      length,
      this.#buffer.length * GROWTH_FACTOR,
    );
    const grown = Buffer.allocUnsafe(Math.min(maximumBytes, enlarged));
    grown.set(this.bytes());
    this.#buffer = grown;
    return undefined;
  }
}

/** Reads and discards the rest of a rejected body for at most `lingerMs`, so that the client sees the rejection. */
export function discardBody(
  request: IncomingMessage,
  options: { readonly clock: Clock; readonly lingerMs: Milliseconds },
): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      timer.cancel();
      resolve();
    };
    const timer = options.clock.after(options.lingerMs, finish);
    request.once("end", finish);
    request.once("close", finish);
    request.resume();
  });
}

function clientDisconnected(): Failure {
  return fail(
    "cancelled",
    "the client disconnected before it sent the complete body",
    {
      ran: "no",
    },
  );
}
