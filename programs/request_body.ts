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

/** Returns whether `Content-Length` exceeds the limit, before any byte of the body is read. */
export function contentLengthExceeds(
  request: IncomingMessage,
  maximumBytes: Bytes,
): boolean {
  const contentLength = Number(request.headers["content-length"] ?? 0);
  return contentLength > maximumBytes;
}

/** Returns the failure for a body that exceeds the limit. */
export function bodyTooLargeFailure(maximumBytes: Bytes): Failure {
  return fail(
    "body_too_large",
    `the body exceeds the limit of ${maximumBytes} bytes`,
    { field: "body" },
  );
}

/**
 * Reads a body. Fails with `body_too_large` as soon as the limit is exceeded, and with `cancelled` if
 * the client disconnects first.
 *
 * @example
 * ```ts
 * const body = await readBody(request, 1_048_576);
 * ```
 */
export function readBody(
  request: IncomingMessage,
  maximumBytes: Bytes,
): Promise<Result<Uint8Array, Failure>> {
  return new Promise((resolve) => {
    const chunks: Uint8Array[] = [];
    let received = 0;
    const finish = (result: Result<Uint8Array, Failure>): void => {
      request.removeAllListeners("data");
      resolve(result);
    };
    request.on("data", (chunk: Uint8Array) => {
      received += chunk.length;
      if (received > maximumBytes) {
        finish(Err(bodyTooLargeFailure(maximumBytes)));
        return;
      }
      chunks.push(chunk);
    });
    request.once("end", () => finish(Ok(Buffer.concat(chunks))));
    request.once("error", () => finish(Err(clientDisconnected())));
    request.once("close", () => finish(Err(clientDisconnected())));
  });
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
