/**
 * Decodes the envelopes received on one connection.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { Bytes } from "#core";
import { FrameDecoder } from "./frame.ts";
import { type Envelope, parseEnvelope } from "./messages.ts";

/** Callbacks of `readEnvelopes`. */
export interface EnvelopeReaderOptions {
  readonly onBytes: (count: Bytes) => void;
  readonly onEnvelope: (envelope: Envelope) => void;
  /** Called for an invalid frame or envelope; the stream can't be decoded further and must be closed. */
  readonly onInvalid: (reason: string) => void;
}

/** Decodes the envelopes of a socket and passes each to `onEnvelope`. */
export function readEnvelopes(
  socket: Socket,
  options: EnvelopeReaderOptions,
): void {
  const decoder = new FrameDecoder();
  socket.on("data", (bytes: Uint8Array) => {
    options.onBytes(bytes.length);
    const bodies = decoder.push(bytes);
    if (!bodies.ok) {
      options.onInvalid(bodies.val.message);
      return;
    }
    for (const body of bodies.val) {
      const envelope = parseEnvelope(body);
      if (envelope === undefined) {
        options.onInvalid("a frame contains an unknown message");
        return;
      }
      options.onEnvelope(envelope);
    }
  });
}
