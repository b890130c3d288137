/**
 * Reads the body of a request whole, within a limit.
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

/** Tells whether the announced length is over the limit, before any byte is read. */
export function contentLengthExceeds(
  request: IncomingMessage,
  maximumBytes: Bytes,
): boolean {
  const contentLength = Number(request.headers["content-length"] ?? 0);
  return contentLength > maximumBytes;
}

/** The failure for a body over the limit. */
export function bodyTooLargeFailure(maximumBytes: Bytes): Failure {
  return fail(
    "body_too_large",
    `the body is over the limit of ${maximumBytes} bytes`,
    { field: "body" },
  );
}

/**
 * Reads a body; fails with `body_too_large` as soon as the limit is passed, and with `cancelled` if
 * the caller goes away first.
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
    request.once("error", () => finish(Err(callerDisconnected())));
    request.once("close", () => finish(Err(callerDisconnected())));
  });
}

/** Reads and drops the rest of a refused body for a while, so that its caller sees the refusal. */
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

function callerDisconnected(): Failure {
  return fail("cancelled", "the caller went away before its body was whole", {
    ran: "no",
  });
}
