/**
 * Encodes and decodes frames: a length of 4 bytes that counts what follows, a format version of 1 byte, and a
 * CBOR body.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Encoder } from "cbor-x";
import {
  type Bytes,
  Err,
  fail,
  type Failure,
  KIBIBYTE,
  MEBIBYTE,
  Ok,
  type Result,
} from "#core";

/** Version of the frame format; frames with another version are rejected. */
export const WIRE_VERSION = 1;
/** Version of a frame whose body is deflated; sent only to a peer whose greeting says that it reads it. */
const DEFLATED_VERSION = 2;
/** Maximum length of a frame, without its length field. */
export const MAXIMUM_FRAME_BYTES: Bytes = 8 * MEBIBYTE;

const LENGTH_BYTES = 4;
const VERSION_BYTES = 1;

/** Smaller bodies are not worth the processor time. */
const MINIMUM_DEFLATED_BYTES: Bytes = 2 * KIBIBYTE;
/** Larger bodies, such as new batches and parts of snapshots, would delay heartbeats while they are deflated. */
const MAXIMUM_DEFLATED_BYTES: Bytes = 64 * KIBIBYTE;
/** Fastest level: on a busy leader, processor time counts more than bytes. */
const DEFLATE_LEVEL = 1;

/** Larger values are encoded in a buffer of their own. */
const SHARED_BUFFER_BYTES: Bytes = MEBIBYTE;

const codec = new Encoder({ useRecords: true, mapsAsObjects: true });
/** Used for every value: the library would allocate several times the size of a large value each time. */
const sharedBuffer = Buffer.allocUnsafeSlow(SHARED_BUFFER_BYTES);

/** Method of the library that its types lack: makes it encode the next value at the start of a buffer. */
interface BufferUser {
  useBuffer(buffer: Buffer): void;
}

/** Encodes a value; the result is valid until the next call. */
function encodeShared(value: unknown): Uint8Array {
  (codec as unknown as BufferUser).useBuffer(sharedBuffer);
  return codec.encode(value);
}

/**
 * Encodes a plain value as CBOR and returns a copy: the bytes that the library returns are a view of a larger
 * buffer, which a stored value would otherwise retain.
 */
export function encodeValue(value: unknown): Uint8Array {
  return new Uint8Array(encodeShared(value));
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
export function encodeFrame(
  body: unknown,
  options: { readonly deflate?: boolean } = {},
): Uint8Array {
  const payload = encodeShared(body);
  const mayDeflate = options.deflate === true &&
    payload.length >= MINIMUM_DEFLATED_BYTES &&
    payload.length <= MAXIMUM_DEFLATED_BYTES;
  if (!mayDeflate) return packFrame(payload, WIRE_VERSION);
  const deflated = deflateRawSync(payload, { level: DEFLATE_LEVEL });
  return packFrame(deflated, DEFLATED_VERSION);
}

function packFrame(payload: Uint8Array, version: number): Uint8Array {
  const frame = Buffer.allocUnsafe(
    LENGTH_BYTES + VERSION_BYTES + payload.length,
  );
  frame.writeUInt32BE(VERSION_BYTES + payload.length, 0);
  frame.writeUInt8(version, LENGTH_BYTES);
  frame.set(payload, LENGTH_BYTES + VERSION_BYTES);
  return frame;
}

/** Whether the receiver of an encoded frame would reject it by its length. */
export function isFrameTooLarge(frame: Uint8Array): boolean {
  return frame.length - LENGTH_BYTES > MAXIMUM_FRAME_BYTES;
}

/** Splits a stream of bytes into frames. After a failure the stream can't be decoded further. */
export class FrameDecoder {
  readonly #maximumBytes: Bytes;
  /** Chunks of an incomplete frame; joined once the frame is complete. */
  #chunks: Uint8Array[] = [];
  #bufferedBytes: Bytes = 0;
  /** Buffered bytes from which on the chunks are joined, so that each byte of a large frame is copied once. */
  #requiredBytes: Bytes = LENGTH_BYTES + VERSION_BYTES;

  constructor(maximumBytes: Bytes = MAXIMUM_FRAME_BYTES) {
    this.#maximumBytes = maximumBytes;
  }

  /** Appends received bytes and returns the decoded bodies of the frames that are now complete. */
  push(bytes: Uint8Array): Result<readonly unknown[], Failure> {
    this.#chunks.push(bytes);
    this.#bufferedBytes += bytes.length;
    if (this.#bufferedBytes < this.#requiredBytes) return Ok([]);
    let buffer = this.#joinChunks();
    const bodies: unknown[] = [];
    this.#requiredBytes = LENGTH_BYTES + VERSION_BYTES;
    while (buffer.length >= LENGTH_BYTES + VERSION_BYTES) {
      const length = buffer.readUInt32BE(0);
      if (length < VERSION_BYTES || length > this.#maximumBytes) {
        return rejectFrame(`frame length ${length} is out of range`);
      }
      const version = buffer.readUInt8(LENGTH_BYTES);
      if (version !== WIRE_VERSION && version !== DEFLATED_VERSION) {
        return rejectFrame(
          `frame format version is ${version}, expected ${WIRE_VERSION}`,
        );
      }
      const end = LENGTH_BYTES + length;
      if (buffer.length < end) {
        this.#requiredBytes = end;
        break;
      }
      const body = buffer.subarray(LENGTH_BYTES + VERSION_BYTES, end);
      try {
        bodies.push(codec.decode(this.#inflate(body, version)));
      } catch {
        return rejectFrame("a frame is malformed or too large when inflated");
      }
      buffer = buffer.subarray(end);
    }
    this.#chunks = buffer.length === 0 ? [] : [buffer];
    this.#bufferedBytes = buffer.length;
    return Ok(bodies);
  }

  #inflate(body: Buffer, version: number): Buffer {
    if (version !== DEFLATED_VERSION) return body;
    return inflateRawSync(body, { maxOutputLength: this.#maximumBytes });
  }

  #joinChunks(): Buffer {
    const [first] = this.#chunks;
    if (first !== undefined && this.#chunks.length === 1) {
      return Buffer.from(first.buffer, first.byteOffset, first.length);
    }
    return Buffer.concat(this.#chunks);
  }
}

function rejectFrame(message: string): Result<never, Failure> {
  return Err(fail("frame_refused", message));
}
