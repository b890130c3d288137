/**
 * Writes HTTP responses with back pressure.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import {
  type Bytes,
  type Clock,
  fail,
  type HttpResponse,
  isFinalStatus,
  KIBIBYTE,
  type Milliseconds,
} from "#core";
import { failureResponse } from "./failure_response.ts";

const WRITE_SLICE_BYTES: Bytes = 64 * KIBIBYTE;

/** Outcome of writing a response. */
export type WriteOutcome =
  /** The complete response was handed to the system. */
  | { readonly kind: "whole" }
  /** The client closed the connection. */
  | { readonly kind: "gone" }
  /** The client did not drain what was written within `sendTimeoutMs`. */
  | { readonly kind: "stalled" }
  /** The source of a streamed body threw. */
  | { readonly kind: "broken"; readonly error: unknown }
  /** The head can't be written, such as one with a status that ends no exchange; nothing has been sent. */
  | { readonly kind: "unwritable"; readonly error: unknown };

/** Options of `writeResponse`. */
export interface WriteOptions {
  readonly clock: Clock;
  /** Longest wait for the client to drain what was written. */
  readonly sendTimeoutMs: Milliseconds;
  /** Whether to send `Connection: close`. */
  readonly closeConnection: boolean;
  /** Awaited after the body of a response that is not streamed is written, before the response ends. */
  readonly beforeEnd?: () => Promise<void>;
}

const COMPLETE: WriteOutcome = { kind: "whole" };
const UNWRITABLE = fail(
  "upstream_failed",
  "the response can't be written as HTTP",
  { ran: "unknown" },
);

/**
 * Writes a response. Destroys the connection if that fails, so that a truncated body can't pass for a complete one; after
 * a head that can't be written, another response may be written instead.
 */
export async function writeResponse(
  response: ServerResponse,
  content: HttpResponse,
  options: WriteOptions,
): Promise<WriteOutcome> {
  if (response.destroyed) return { kind: "gone" };
  const { body } = content;
  try {
    setHead(response, content);
  } catch (error) {
    removeHead(response);
    if (isStreamed(body)) await discard(body);
    return { kind: "unwritable", error };
  }
  if (options.closeConnection) response.setHeader("Connection", "close");
  const outcome = isStreamed(body)
    ? await writeStreamedBody(response, body, options)
    : await writeFixedBody(response, body, options);
  if (outcome.kind !== "whole") breakOff(response);
  return outcome;
}

/** Closes the connection: by a reset if its end would look like the end of the response. */
function breakOff(response: ServerResponse): void {
  const hasEnd = response.chunkedEncoding ||
    response.hasHeader("Content-Length");
  if (response.headersSent && !hasEnd) response.socket?.resetAndDestroy();
  response.destroy();
}

/** A response as it was written, and how writing the one that was to be written ended. */
export interface WrittenResponse {
  readonly status: number;
  readonly outcome: WriteOutcome;
}

/** Writes a response, or a failure in its place if its head can't be written. */
export async function writeResponseOrFailure(
  response: ServerResponse,
  content: HttpResponse,
  options: WriteOptions,
): Promise<WrittenResponse> {
  const outcome = await writeResponse(response, content, options);
  if (outcome.kind !== "unwritable") return { status: content.status, outcome };
  const replacement = failureResponse(UNWRITABLE);
  await writeResponse(response, replacement, options);
  return { status: replacement.status, outcome };
}

/** Sets the status and the headers; throws if they can't be written. */
function setHead(
  response: ServerResponse,
  { status, headers }: HttpResponse,
): void {
  if (!isFinalStatus(status)) {
    throw new RangeError(`status ${status} ends no exchange`);
  }
  for (const [name, value] of Object.entries(headers)) {
    response.setHeader(name, value);
  }
  response.statusCode = status;
}

function removeHead(response: ServerResponse): void {
  for (const name of response.getHeaderNames()) response.removeHeader(name);
}

/** Ends the source of a body that is not written. */
async function discard(
  body: AsyncIterable<string | Uint8Array>,
): Promise<void> {
  await body[Symbol.asyncIterator]().return?.();
}

function isStreamed(
  body: HttpResponse["body"],
): body is AsyncIterable<string | Uint8Array> {
  return typeof body !== "string" && !(body instanceof Uint8Array);
}

async function writeFixedBody(
  response: ServerResponse,
  body: string | Uint8Array,
  options: WriteOptions,
): Promise<WriteOutcome> {
  const bytes = typeof body === "string" ? Buffer.from(body) : body;
  if (allowsBody(response.statusCode)) {
    response.setHeader("Content-Length", bytes.length);
    for (let start = 0; start < bytes.length; start += WRITE_SLICE_BYTES) {
      const slice = bytes.subarray(start, start + WRITE_SLICE_BYTES);
      if (response.write(slice)) continue;
      const drained = await waitForFlush(response, "drain", options);
      if (drained.kind !== "whole") return drained;
    }
  }
  await options.beforeEnd?.();
  response.end();
  return waitForFlush(response, "finish", options);
}

function allowsBody(status: number): boolean {
  return status >= 200 && status !== 204 && status !== 304;
}

async function writeStreamedBody(
  response: ServerResponse,
  body: AsyncIterable<string | Uint8Array>,
  options: WriteOptions,
): Promise<WriteOutcome> {
  response.flushHeaders();
  try {
    for await (const chunk of body) {
      if (response.destroyed) return { kind: "gone" };
      if (chunk.length === 0 || response.write(chunk)) continue;
      const drained = await waitForFlush(response, "drain", options);
      if (drained.kind !== "whole") return drained;
    }
  } catch (error) {
    return { kind: "broken", error };
  }
  if (response.destroyed) return { kind: "gone" };
  response.end();
  return waitForFlush(response, "finish", options);
}

function waitForFlush(
  response: ServerResponse,
  event: "drain" | "finish",
  options: WriteOptions,
): Promise<WriteOutcome> {
  if (event === "finish" && response.writableFinished) {
    return Promise.resolve(COMPLETE);
  }
  if (response.destroyed) return Promise.resolve({ kind: "gone" });
  return new Promise((resolve) => {
    const settle = (outcome: WriteOutcome): void => {
      timer.cancel();
      response.off(event, onFlushed);
      response.off("close", onClose);
      resolve(outcome);
    };
    const onFlushed = (): void => settle(COMPLETE);
    const onClose = (): void =>
      settle(response.writableFinished ? COMPLETE : { kind: "gone" });
    const timer = options.clock.after(
      options.sendTimeoutMs,
      () => settle({ kind: "stalled" }),
    );
    response.on(event, onFlushed);
    response.on("close", onClose);
  });
}
