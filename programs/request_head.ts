/**
 * Limits of the heads of requests that Node's parser has read: the number of fields and the memory.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { type Bytes, fail, type Failure } from "#core";

/** Objects that Node and this server create for each field, in addition to its text. */
const FIELD_BYTES: Bytes = 300;

/** Returns the failure for a request with too many header fields, after freeing them, or undefined for any other. */
export function dropExcessiveFields(
  request: IncomingMessage,
  maximumFields: number,
): Failure | undefined {
  if (request.rawHeaders.length <= 2 * maximumFields) return undefined;
  dropFields(request);
  return fail(
    "headers_too_large",
    `the request has more than ${maximumFields} header fields`,
  );
}

/** Frees the header fields of a request that is rejected, but for the length of its body. */
export function dropFields(request: IncomingMessage): void {
  const length = request.headers["content-length"];
  request.rawHeaders = [];
  request.headers = length === undefined ? {} : { "content-length": length };
}

/** Returns the memory of a head, its text and the objects of its fields. */
export function headBytes(request: IncomingMessage): Bytes {
  const { rawHeaders, url = "" } = request;
  let bytes = url.length + rawHeaders.length / 2 * FIELD_BYTES;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}
