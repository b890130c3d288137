/**
 * Writes envelopes to connections as frames, within the limits of a frame, of a connection and of the process.
 *
 * @module
 */
import type { Socket } from "node:net";
import { type Bytes, fail, type Failure, MEBIBYTE } from "#core";
import { encodeFrame, isFrameTooLarge } from "./frame.ts";
import type { Envelope } from "./messages.ts";
import { UnsentBudget } from "./unsent_budget.ts";

/** Unsent bytes of one connection, above which it is closed. */
const MAXIMUM_UNSENT_BYTES: Bytes = 16 * MEBIBYTE;
/** Unsent bytes of all connections together. */
const MAXIMUM_TOTAL_UNSENT_BYTES: Bytes = 32 * MEBIBYTE;

/** Whether a frame was written, or why not. */
export type WriteOutcome = "written" | "dropped" | "too_large" | "no_memory";

/** Writes the frames of one process. */
export class FrameWriter {
  readonly #unsent = new UnsentBudget<Socket>({
    maximumBytes: MAXIMUM_TOTAL_UNSENT_BYTES,
    close: (socket) => socket.destroy(),
  });
  #sentBytes: Bytes = 0;

  /** Bytes written since the writer was created. */
  get sentBytes(): Bytes {
    return this.#sentBytes;
  }

  /** Bytes that wait to be sent on all connections. */
  get unsentBytes(): Bytes {
    return this.#unsent.totalBytes;
  }

  /** Writes an envelope; closes a connection whose peer does not read. */
  write(
    socket: Socket,
    envelope: Envelope,
    options: { readonly deflate?: boolean } = {},
  ): WriteOutcome {
    if (socket.destroyed) return "dropped";
    if (socket.writableLength > MAXIMUM_UNSENT_BYTES) {
      socket.destroy();
      return "dropped";
    }
    const frame = encodeFrame(envelope, options);
    // The peer would close the connection, with everything else that is sent on it.
    if (isFrameTooLarge(frame)) return "too_large";
    if (!this.#unsent.admits(socket, frame.length)) return "no_memory";
    this.#sentBytes += frame.length;
    socket.write(frame, () => this.#updateUnsent(socket));
    this.#updateUnsent(socket);
    return "written";
  }

  /** No longer counts the unsent bytes of a connection that is closed. */
  forget(socket: Socket): void {
    this.#unsent.update(socket, 0);
  }

  #updateUnsent(socket: Socket): void {
    this.#unsent.update(socket, socket.destroyed ? 0 : socket.writableLength);
  }
}

/** Returns the failure of a request that was not written although its connection may be open. */
export function requestFailure(outcome: WriteOutcome): Failure | undefined {
  if (outcome === "too_large") {
    return fail("body_too_large", "the request exceeds the size of a frame");
  }
  if (outcome === "no_memory") {
    return fail("not_ready", "too many bytes wait to be sent");
  }
  return undefined;
}

/** Returns the failure that replaces a reply that was not written. */
export function replyFailure(outcome: WriteOutcome): Failure | undefined {
  if (outcome === "too_large") {
    return fail("answer_too_large", "the reply exceeds the size of a frame");
  }
  if (outcome === "no_memory") {
    return fail("outcome_unknown", "too many bytes wait to be sent");
  }
  return undefined;
}
