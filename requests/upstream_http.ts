/**
 * HTTP calls to upstreams over keep-alive connections. A response is accepted only if it names the call that it
 * belongs to; a connection that carries any other response is closed.
 *
 * @module
 */
import {
  type ClientRequest,
  type IncomingMessage,
  request as send,
} from "node:http";
import {
  type Address,
  BodyBuffer,
  ByteBudget,
  type ByteReservation,
  type Bytes,
  Err,
  hasMarkedEnd,
  isFinalStatus,
  KIBIBYTE,
  MEBIBYTE,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";
import { FoulBytesError, isFoul } from "./foul_bytes.ts";
import { confirmEnd, readChunks } from "./response_chunks.ts";
import type { SingleConnection } from "./single_connection.ts";
import { UpstreamAgent } from "./upstream_socket.ts";

const MAXIMUM_RESPONSE_BYTES: Bytes = 32 * MEBIBYTE;
/** Responses that are being read, together, if the caller passes no budget. */
const MAXIMUM_HELD_RESPONSE_BYTES: Bytes = 40 * MEBIBYTE;
/** A response that has grown beyond this without a length, and for which there is no more memory, may never end. */
const UNANNOUNCED_BYTES: Bytes = MEBIBYTE;
/** Headers of a response, and the sizes and trailers of its chunks. */
const MAXIMUM_HEAD_BYTES: Bytes = 16 * KIBIBYTE;
/** Interim responses (1xx) before a response; an upstream in trouble may send them without end. */
const MAXIMUM_INTERIM_RESPONSES = 8;
const KEEP_ALIVE_PROBE_DELAY_MS: Milliseconds = 1_000;
const MAXIMUM_IDLE_CONNECTIONS = 64;

/** One call to one upstream. */
export interface OutgoingCall {
  readonly address: Address;
  readonly method: string;
  /** Path and query, sent unchanged. */
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  readonly signal: AbortSignal;
  /** Whether to use an idle keep-alive connection: the call is lost if that connection has died unnoticed. */
  readonly reuseConnection: boolean;
  /** The one connection over which the call may be sent; any if absent. */
  readonly connection?: SingleConnection;
  /** Size limit of the response body; 32 MiB if absent. */
  readonly maximumResponseBytes?: Bytes;
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  /** Lower-case names. */
  readonly headers: Readonly<Record<string, string>>;
  readonly rawHeaders: readonly string[];
}

/** A response with its complete body. */
export interface CompleteResponse extends ResponseHead {
  readonly body: Uint8Array;
}

/** Why a call has no response. */
export interface CallError {
  /** False only if no byte of the call can have reached the upstream. */
  readonly mayHaveRun: boolean;
  readonly reason: string;
  /** Whether a reused connection turned out to be dead: the upstream itself may be healthy. */
  readonly stale: boolean;
  /** Whether the upstream sent bytes that are no response; false if absent. */
  readonly isFoul?: boolean;
}

/** A response whose body is read while it arrives. */
export interface StreamingResponse {
  readonly head: ResponseHead;
  /** The chunks of the body; throws if the response ends prematurely. */
  readonly bodyChunks: AsyncIterable<Uint8Array>;
  /** Closes the connection. */
  readonly closeConnection: () => void;
}

/** Options of `UpstreamHttp`. */
export interface UpstreamHttpOptions {
  /** Memory of the responses that the process reads and writes; absent if only this client reads any. */
  readonly responseBudget?: ByteBudget;
}

/** Sends calls over a pool of keep-alive connections. */
export class UpstreamHttp {
  readonly #agent = new UpstreamAgent({
    keepAlive: true,
    keepAliveMsecs: KEEP_ALIVE_PROBE_DELAY_MS,
    maxFreeSockets: MAXIMUM_IDLE_CONNECTIONS,
    scheduling: "lifo",
  });
  readonly #singleUseAgent = new UpstreamAgent();

  readonly #bodyBudget: ByteBudget;

  constructor(options: UpstreamHttpOptions = {}) {
    this.#bodyBudget = options.responseBudget ?? new ByteBudget({
      maximumBytes: MAXIMUM_HELD_RESPONSE_BYTES,
      maximumBodyBytes: MAXIMUM_RESPONSE_BYTES,
    });
  }

  /**
   * Sends a call and returns its response once the head has been received. The status of a response is from 200 to 599;
   * a head with any other is an error, and its connection is closed.
   */
  open(call: OutgoingCall): Promise<Result<StreamingResponse, CallError>> {
    const { promise, resolve } = deferred<
      Result<StreamingResponse, CallError>
    >();
    if (call.signal.aborted) {
      return Promise.resolve(
        Err({ mayHaveRun: false, reason: "cancelled", stale: false }),
      );
    }
    let connected = false;
    const created = this.#create(call);
    if (created.err) return Promise.resolve(created);
    const outgoing = created.val;
    const cancel = (): void => {
      outgoing.destroy(new Error("cancelled"));
    };
    call.signal.addEventListener("abort", cancel, { once: true });
    outgoing.on("socket", (socket) => {
      if (call.connection?.admits(socket) === false) {
        const reason = "the connection was closed before the call";
        resolve(Err({ mayHaveRun: false, reason, stale: true }));
        // Nothing has been written to the new socket yet.
        outgoing.destroy();
        return;
      }
      connected = !socket.connecting;
      if (connected) return;
      socket.setNoDelay(true);
      socket.once("connect", () => {
        connected = true;
      });
    });
    let connectionError: Error | undefined;
    let interimResponses = 0;
    outgoing.on("information", () => {
      interimResponses += 1;
      if (interimResponses <= MAXIMUM_INTERIM_RESPONSES) return;
      outgoing.destroy(new FoulBytesError("too many interim responses"));
    });
    outgoing.on("error", (error) => {
      connectionError = error;
      const stale = outgoing.reusedSocket;
      resolve(Err({
        mayHaveRun: connected,
        reason: error.message,
        stale,
        isFoul: isFoul(error),
      }));
    });
    outgoing.on("response", (incoming) => {
      incoming.on("error", () => {});
      const hasEnd = hasMarkedEnd(incoming, call.method);
      if (!hasEnd) confirmEnd(incoming);
      // Without a marked end, the call is under way until its connection has ended.
      const exchange = hasEnd ? incoming : outgoing;
      exchange.once("close", () => {
        call.signal.removeEventListener("abort", cancel);
      });
      if (!isFinalStatus(incoming.statusCode)) {
        const reason = `status ${incoming.statusCode} ends no exchange`;
        outgoing.destroy();
        resolve(Err({ mayHaveRun: true, reason, stale: false, isFoul: true }));
        return;
      }
      resolve(Ok({
        head: responseHead(incoming),
        bodyChunks: readChunks(incoming, () => connectionError),
        closeConnection: () => outgoing.destroy(),
      }));
    });
    outgoing.on("close", () => {
      const reason = "the connection closed without a response";
      resolve(Err({ mayHaveRun: connected, reason, stale: false }));
    });
    outgoing.end(call.body);
    return promise;
  }

  /** Creates the request; fails if the call can't be written as one, as with an address that names nobody. */
  #create(call: OutgoingCall): Result<ClientRequest, CallError> {
    const agent = call.connection?.agent ??
      (call.reuseConnection ? this.#agent : this.#singleUseAgent);
    try {
      return Ok(send({
        host: call.address.host,
        port: call.address.port,
        method: call.method,
        path: call.target,
        headers: withContentLength(call) as string[],
        setHost: false,
        maxHeaderSize: MAXIMUM_HEAD_BYTES,
        agent,
      }));
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return Err({ mayHaveRun: false, reason, stale: false });
    }
  }

  /**
   * Sends a call and reads its complete response. `rejectionOf` returns the reason to reject a response by its
   * head, or undefined to accept it.
   */
  async call(
    call: OutgoingCall,
    rejectionOf: (head: ResponseHead) => string | undefined = () => undefined,
  ): Promise<Result<CompleteResponse, CallError>> {
    const opened = await this.open(call);
    if (opened.err) return opened;
    const { head, bodyChunks, closeConnection } = opened.val;
    const rejectionReason = rejectionOf(head);
    if (rejectionReason !== undefined) {
      closeConnection();
      return Err({ mayHaveRun: true, reason: rejectionReason, stale: false });
    }
    const reservation = this.#bodyBudget.open();
    let buffer: BodyBuffer | undefined;
    try {
      const announcedBytes = call.method === "HEAD" ? 0 : contentLength(head);
      buffer = openBuffer(reservation, {
        announcedBytes,
        maximumBytes: call.maximumResponseBytes ?? MAXIMUM_RESPONSE_BYTES,
      });
      for await (const chunk of bodyChunks) appendChunk(buffer, chunk);
      return Ok({ ...head, body: buffer.bytes() });
    } catch (error) {
      closeConnection();
      buffer?.clear();
      const reason = error instanceof Error ? error.message : String(error);
      return Err({
        mayHaveRun: true,
        reason,
        stale: false,
        isFoul: isFoul(error),
      });
    } finally {
      reservation.release();
    }
  }

  /** Closes all pooled connections. */
  close(): void {
    this.#agent.destroy();
  }
}

function contentLength(head: ResponseHead): Bytes {
  const bytes = Number(head.headers["content-length"] ?? 0);
  return Number.isSafeInteger(bytes) ? bytes : 0;
}

/** Returns a buffer for a response; throws if its announced size exceeds a limit. */
function openBuffer(
  reservation: ByteReservation,
  size: { readonly announcedBytes: Bytes; readonly maximumBytes: Bytes },
): BodyBuffer {
  const { announcedBytes, maximumBytes } = size;
  if (announcedBytes > maximumBytes) throw tooLargeError();
  const buffer = new BodyBuffer({ maximumBytes, reservation });
  if (!buffer.announce(announcedBytes)) throw noMemoryError();
  return buffer;
}

/** Appends a chunk; throws if the response exceeds a limit. */
function appendChunk(buffer: BodyBuffer, chunk: Uint8Array): void {
  const outcome = buffer.append(chunk);
  if (outcome === "too_large") throw tooLargeError();
  if (outcome === "appended") return;
  // One that announces its length is rejected before its first byte.
  if (buffer.length >= UNANNOUNCED_BYTES) {
    throw new FoulBytesError("no memory for a response without a length");
  }
  throw noMemoryError();
}

function tooLargeError(): Error {
  return new FoulBytesError("response too large");
}

function noMemoryError(): Error {
  return new Error("no memory for the response");
}

function deferred<Value>(): {
  readonly promise: Promise<Value>;
  readonly resolve: (value: Value) => void;
} {
  let resolve: (value: Value) => void = () => {};
  const promise = new Promise<Value>((settle) => {
    resolve = settle;
  });
  return { promise, resolve };
}

function withContentLength(call: OutgoingCall): readonly string[] {
  if (call.body.length === 0 && call.method !== "POST") return call.headers;
  return [...call.headers, "Content-Length", String(call.body.length)];
}

function responseHead(incoming: IncomingMessage): ResponseHead {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value === undefined) continue;
    headers[name] = typeof value === "string" ? value : value.join(", ");
  }
  return {
    status: incoming.statusCode ?? 0,
    headers,
    rawHeaders: incoming.rawHeaders,
  };
}
