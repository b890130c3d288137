/**
 * Answers on connections whose bytes Node's parser refused, where no response object exists.
 *
 * @module
 */
import { STATUS_CODES } from "node:http";
import type { Duplex } from "node:stream";
import { fail, type Failure } from "#core";
import { failureResponse } from "./failure_response.ts";

/** An error of Node's HTTP parser or of the connection. */
export interface ClientError extends Error {
  readonly code?: string;
}

/** The failure for a parser error, or undefined if the connection is gone. */
export function clientFailure(error: ClientError): Failure | undefined {
  switch (error.code) {
    case "ECONNRESET":
    case "EPIPE":
      return undefined;
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return fail("slow_sender", "the request did not arrive whole in time");
    case "HPE_HEADER_OVERFLOW":
      return fail("headers_too_large", "the headers are over the limit");
    case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
      return fail("body_too_large", "the chunk extensions are over the limit");
    default:
      return fail(
        "malformed_request",
        `the request is not valid HTTP: ${error.code ?? error.message}`,
      );
  }
}

/** Writes the answer to a failure as raw bytes and ends the connection. */
export function rejectRaw(socket: Duplex, failure: Failure): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const answer = failureResponse(failure);
  const body = String(answer.body);
  const lines = [
    `HTTP/1.1 ${answer.status} ${STATUS_CODES[answer.status] ?? "Error"}`,
    ...Object.entries(answer.headers).map(([name, value]) =>
      `${name}: ${value}`
    ),
    `Content-Length: ${Buffer.byteLength(body)}`,
    "Connection: close",
  ];
  socket.end(`${lines.join("\r\n")}\r\n\r\n${body}`, () => socket.destroy());
}
