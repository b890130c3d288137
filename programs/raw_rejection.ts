/**
 * Writes rejections to connections whose input Node's parser rejected, where no response object exists.
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

/** Returns the failure for a parser error, or undefined if the connection is closed. */
export function clientFailure(error: ClientError): Failure | undefined {
  switch (error.code) {
    case "ECONNRESET":
    case "EPIPE":
      return undefined;
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return fail("slow_sender", "the complete request did not arrive in time");
    case "HPE_HEADER_OVERFLOW":
      return fail("headers_too_large", "the headers exceed the size limit");
    case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
      return fail(
        "body_too_large",
        "the chunk extensions exceed the size limit",
      );
    default:
      return fail(
        "malformed_request",
        `the request is not valid HTTP: ${error.code ?? error.message}`,
      );
  }
}

/** Writes the response to a failure as raw bytes and closes the connection. */
export function rejectRaw(socket: Duplex, failure: Failure): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const response = failureResponse(failure);
  const body = String(response.body);
  const lines = [
    `HTTP/1.1 ${response.status} ${STATUS_CODES[response.status] ?? "Error"}`,
    ...Object.entries(response.headers).map(([name, value]) =>
      `${name}: ${value}`
    ),
    `Content-Length: ${Buffer.byteLength(body)}`,
    "Connection: close",
  ];
  socket.end(`${lines.join("\r\n")}\r\n\r\n${body}`, () => socket.destroy());
}
