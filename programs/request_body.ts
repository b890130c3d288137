/**
 * Reads the complete body of a request, up to a size limit.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import {
  BodyBuffer,
  type BodyBufferOptions,
  type Bytes,
  type Clock,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";

const MEMORY_RETRY_MS: Milliseconds = 500;
/** Chunks of any body that may be as small as the client likes. */
const FREE_CHUNKS = 4_096;
/**
 * Average of the chunks after these: each costs the parser some microseconds, however small it is. Chunks that arrive in
 * two pieces count twice.
 */
const MINIMUM_AVERAGE_CHUNK_BYTES: Bytes = 8;

/** Bodies of very many small chunks that are read at the same time: more of them would keep others waiting. */
const MAXIMUM_SMALL_CHUNK_BODIES = 2;

/** Counts the bodies of very many small chunks that the process reads now. */
class SmallChunkBodies {
  #count = 0;

  /** Returns whether one more may be read. */
  admit(): boolean {
    if (this.#count >= MAXIMUM_SMALL_CHUNK_BODIES) return false;
    this.#count += 1;
    return true;
  }

  release(): void {
    this.#count -= 1;
  }
}

const SMALL_CHUNK_BODIES = new SmallChunkBodies();

/** Counts the chunks of a body whose size is not announced. */
class ChunkCount {
  readonly #isLimited: boolean;
  #chunks = 0;
  #bytes: Bytes = 0;
  #isAdmitted = false;

  constructor(request: IncomingMessage) {
    this.#isLimited = request.headers["content-length"] === undefined;
  }

  /** Counts a chunk; returns whether the body has very many for its size. */
  isExcessiveWith(chunk: Uint8Array): boolean {
    this.#chunks += 1;
    this.#bytes += chunk.length;
    return this.#isLimited && this.#chunks > FREE_CHUNKS &&
      this.#bytes < this.#chunks * MINIMUM_AVERAGE_CHUNK_BYTES;
  }

  /** Counts a chunk; returns whether the body may be read on, beside others of very many chunks. */
  admits(chunk: Uint8Array): boolean {
    if (!this.isExcessiveWith(chunk) || this.#isAdmitted) return true;
    this.#isAdmitted = SMALL_CHUNK_BODIES.admit();
    return this.#isAdmitted;
  }

  /** Ends the count, so that another body may take the place of this one. */
  end(): void {
    if (this.#isAdmitted) SMALL_CHUNK_BODIES.release();
    this.#isAdmitted = false;
  }
}

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

/** Returns whether a request has a body that has not arrived completely or that nobody has read. */
export function isBodyUnread(request: IncomingMessage): boolean {
  if (!request.complete) return true;
  const hasBody = contentLengthOf(request) > 0 ||
    request.headers["transfer-encoding"] !== undefined;
  return hasBody && !request.readableDidRead;
}

/** Returns the failure for a body that exceeds the limit. */
export function bodyTooLargeFailure(maximumBytes: Bytes): Failure {
  return fail(
    "body_too_large",
    `the body exceeds the limit of ${maximumBytes} bytes`,
    { field: "body" },
  );
}

/** Returns the failure for a body of very many small chunks while others of this kind are read. */
export function smallChunksFailure(): Failure {
  const message =
    `bodies in chunks of less than ${MINIMUM_AVERAGE_CHUNK_BYTES} bytes are read already`;
  return fail("overloaded", message, { retryAfterMs: MEMORY_RETRY_MS });
}

/** Returns the failure for a body that does not fit into the memory reserved for all bodies. */
export function noMemoryFailure(): Failure {
  return fail(
    "overloaded",
    "the request bodies in progress use all memory reserved for them",
    { retryAfterMs: MEMORY_RETRY_MS },
  );
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
  options: BodyBufferOptions,
): Promise<Result<Uint8Array, Failure>> {
  const { maximumBytes } = options;
  const buffer = new BodyBuffer(options);
  if (!buffer.announce(contentLengthOf(request))) {
    return Promise.resolve(Err(noMemoryFailure()));
  }
  const count = new ChunkCount(request);
  return new Promise((resolve) => {
    const finish = (result: Result<Uint8Array, Failure>): void => {
      request.removeAllListeners("data");
      count.end();
      resolve(result);
    };
    request.on("data", (chunk: Uint8Array) => {
      if (!count.admits(chunk)) {
        buffer.clear();
        finish(Err(smallChunksFailure()));
        return;
      }
      const outcome = buffer.append(chunk);
      if (outcome === "appended") return;
      buffer.clear();
      const failure = outcome === "too_large"
        ? bodyTooLargeFailure(maximumBytes)
        : noMemoryFailure();
      finish(Err(failure));
    });
    request.once("end", () => finish(Ok(buffer.bytes())));
    request.once("error", () => finish(Err(clientDisconnected())));
    request.once("close", () => finish(Err(clientDisconnected())));
  });
}

/**
 * Reads and discards the rest of a rejected body for at most `lingerMs`, so that the client sees the rejection. A body
 * of very many chunks is not parsed to its end.
 */
export function discardBody(
  request: IncomingMessage,
  options: {
    readonly clock: Clock;
    readonly lingerMs: Milliseconds;
    /** Called if the rest must not be parsed. */
    readonly onExcessive: () => void;
  },
): Promise<void> {
  const count = new ChunkCount(request);
  return new Promise((resolve) => {
    const finish = (): void => {
      timer.cancel();
      resolve();
    };
    const timer = options.clock.after(options.lingerMs, finish);
    request.once("end", finish);
    request.once("close", finish);
    request.on("data", (chunk: Uint8Array) => {
      if (count.isExcessiveWith(chunk)) options.onExcessive();
    });
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
