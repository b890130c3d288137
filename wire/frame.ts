/**
 * Frames: 4 bytes length of the rest, 1 byte format version, then a CBOR body.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Encoder } from "cbor-x";
import {
  type Bytes,
  Err,
  fail,
  type Failure,
  MEBIBYTE,
  Ok,
  type Result,
} from "#core";

/** Version of the frame format; peers with another one are refused. */
export const WIRE_VERSION = 1;
/** Most bytes of one frame. */
export const MAXIMUM_FRAME_BYTES: Bytes = 8 * MEBIBYTE;

const LENGTH_BYTES = 4;
const VERSION_BYTES = 1;

const codec = new Encoder({ useRecords: true, mapsAsObjects: true });

/** Encodes a plain value as CBOR, in memory of its own: the library's bytes lie in a larger buffer that they would keep. */
export function encodeValue(value: unknown): Uint8Array {
  return new Uint8Array(codec.encode(value));
}

/** Decodes CBOR; throws on malformed input. */
export function decodeValue(bytes: Uint8Array): unknown {
  return codec.decode(bytes);
}

/**
 * Encodes one frame.
 *
 * @example
 * ```ts
 * socket.write(encodeFrame({ kind: "notice", channel: "members", body: {} }));
 * ```
 */
export function encodeFrame(body: unknown): Uint8Array {
  const payload = codec.encode(body);
  const frame = Buffer.allocUnsafe(
    LENGTH_BYTES + VERSION_BYTES + payload.length,
  );
  frame.writeUInt32BE(VERSION_BYTES + payload.length, 0);
  frame.writeUInt8(WIRE_VERSION, LENGTH_BYTES);
  frame.set(payload, LENGTH_BYTES + VERSION_BYTES);
  return frame;
}

/** Cuts a stream of bytes into frames. After a failure the stream can't be read on. */
export class FrameDecoder {
  readonly #maximumBytes: Bytes;
  /** Bytes of a frame that is not whole yet; joined once it is. */
  #pieces: Uint8Array[] = [];
  #held: Bytes = 0;
  /** Bytes needed before it is worth to join the pieces. */
  #wanted: Bytes = LENGTH_BYTES + VERSION_BYTES;

  constructor(maximumBytes: Bytes = MAXIMUM_FRAME_BYTES) {
    this.#maximumBytes = maximumBytes;
  }

  /** Takes the next bytes and gives the bodies that are now whole. */
  push(bytes: Uint8Array): Result<readonly unknown[], Failure> {
    this.#pieces.push(bytes);
    this.#held += bytes.length;
    if (this.#held < this.#wanted) return Ok([]);
    let pending = this.#join();
    const bodies: unknown[] = [];
    this.#wanted = LENGTH_BYTES + VERSION_BYTES;
    while (pending.length >= LENGTH_BYTES + VERSION_BYTES) {
      const length = pending.readUInt32BE(0);
      if (length < VERSION_BYTES || length > this.#maximumBytes) {
        return refuse(`a frame of ${length} bytes is over the limit`);
      }
      const version = pending.readUInt8(LENGTH_BYTES);
      if (version !== WIRE_VERSION) {
        return refuse(`frame format ${version} is not ${WIRE_VERSION}`);
      }
      const end = LENGTH_BYTES + length;
      if (pending.length < end) {
        this.#wanted = end;
        break;
      }
      const body = pending.subarray(LENGTH_BYTES + VERSION_BYTES, end);
      try {
        bodies.push(codec.decode(body));
      } catch {
        return refuse("a frame holds malformed CBOR");
      }
      pending = pending.subarray(end);
    }
    this.#pieces = pending.length === 0 ? [] : [pending];
    this.#held = pending.length;
    return Ok(bodies);
  }

  #join(): Buffer {
    const [first] = this.#pieces;
    if (first !== undefined && this.#pieces.length === 1) {
      return Buffer.from(first.buffer, first.byteOffset, first.length);
    }
    return Buffer.concat(this.#pieces);
  }
}

function refuse(message: string): Result<never, Failure> {
  return Err(fail("frame_refused", message));
}
