/**
 * Reads the envelopes of one connection.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Bytes } from "#core";
import { FrameDecoder } from "./frame.ts";
import { type Envelope, parseEnvelope } from "./messages.ts";

/** What becomes of what is read. */
export interface EnvelopeReaderOptions {
  readonly onBytes: (count: Bytes) => void;
  readonly onEnvelope: (envelope: Envelope) => void;
  /** The stream can't be read on; the connection is to be closed. */
  readonly onRefused: (reason: string) => void;
}

/** Reads a socket until it ends or sends what is no envelope. */
export function readEnvelopes(
  socket: Socket,
  options: EnvelopeReaderOptions,
): void {
  const decoder = new FrameDecoder();
  socket.on("data", (bytes: Uint8Array) => {
    options.onBytes(bytes.length);
    const bodies = decoder.push(bytes);
    if (!bodies.ok) {
      options.onRefused(bodies.val.message);
      return;
    }
    for (const body of bodies.val) {
      const envelope = parseEnvelope(body);
      if (envelope === undefined) {
        options.onRefused("a frame holds no known message");
        return;
      }
      options.onEnvelope(envelope);
    }
  });
}
