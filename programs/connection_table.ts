/**
 * The open connections of the HTTP server, and which of them carry a request.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Failure } from "#core";

interface Connection {
  /** Requests whose answers aren't whole, oldest first. */
  readonly pendingRequests: Set<IncomingMessage>;
  /** Bytes received when the last answer became whole; more than that is the start of a request. */
  bytesReadWhenIdle: number;
  hasServedRequest: boolean;
  isWritingResponse: boolean;
  /** Whether requests were dropped because too many were sent ahead. */
  closesAfterPending: boolean;
  /** Why no more of what arrives can be read, or undefined. */
  failure: Failure | undefined;
  /** Settles when the answer before the next request is whole. */
  previousResponse: Promise<void>;
}

/** Knows of each connection whether it rests between two requests. */
export class ConnectionTable {
  readonly #connections = new Map<Socket, Connection>();
  readonly #maximumPipelined: number;
  #closing = false;

  /** A table whose connections take at most `maximumAhead` requests before the first is answered. */
  constructor(maximumPipelined: number) {
    this.#maximumPipelined = maximumPipelined;
  }

  /** Follows a connection until it closes. */
  add(socket: Socket): void {
    this.#connections.set(socket, {
      pendingRequests: new Set(),
      bytesReadWhenIdle: 0,
      hasServedRequest: false,
      isWritingResponse: false,
      closesAfterPending: false,
      failure: undefined,
      previousResponse: Promise.resolve(),
    });
    socket.once("close", () => this.#connections.delete(socket));
  }

  /** Open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** Requests whose answers aren't whole. */
  pendingCount(): number {
    let sum = 0;
    for (const connection of this.#connections.values()) {
      sum += connection.pendingRequests.size;
    }
    return sum;
  }

  /** Whether the connection has just one request to answer. */
  isLastPending(socket: Socket): boolean {
    return (this.#connections.get(socket)?.pendingRequests.size ?? 1) <= 1;
  }

  /** Whether requests of the connection were dropped, so that it must end after its last answer. */
  closesAfterPending(socket: Socket): boolean {
    return this.#connections.get(socket)?.closesAfterPending ?? false;
  }

  /** Notes that an answer is being written, so that no other bytes may go to the connection. */
  markResponseStarted(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) connection.isWritingResponse = true;
  }

  /**
   * Notes that nothing more can be read from a connection. True if no earlier request waits for its
   * answer, so that the refusal may be written at once; otherwise it follows the answers before it.
   */
  failInput(socket: Socket, failure: Failure): boolean {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return true;
    const [first, ...later] = connection.pendingRequests;
    if (first === undefined) return true;
    if (
      later.length === 0 && !first.complete && !connection.isWritingResponse
    ) {
      return true;
    }
    connection.closesAfterPending = true;
    connection.failure = failure;
    return false;
  }

  /**
   * Runs `work` for a request after the answers to earlier ones on its connection are whole. `work` is
   * given the failure if the rest of the request can't be read.
   */
  async runInOrder(
    request: IncomingMessage,
    work: (failure: Failure | undefined) => Promise<void>,
  ): Promise<void> {
    const socket = request.socket;
    const connection = this.#connections.get(socket);
    if (connection === undefined || connection.closesAfterPending) return;
    if (connection.pendingRequests.size >= this.#maximumPipelined) {
      connection.closesAfterPending = true;
      socket.pause();
      return;
    }
    connection.pendingRequests.add(request);
    const previous = connection.previousResponse;
    const current = previous
      .then(() => {
        if (socket.destroyed) return;
        return work(request.complete ? undefined : connection.failure);
      })
      .finally(() => this.#settle(connection, request));
    connection.previousResponse = current.catch(() => undefined);
    await current;
  }

  #settle(connection: Connection, request: IncomingMessage): void {
    const socket = request.socket;
    connection.pendingRequests.delete(request);
    connection.hasServedRequest = true;
    connection.isWritingResponse = false;
    connection.bytesReadWhenIdle = socket.bytesRead;
    if (
      connection.closesAfterPending && connection.pendingRequests.size === 0
    ) {
      socket.destroySoon();
    }
    if (this.#closing) closeIfIdle(socket, connection);
  }

  /** Closes each connection that rests after a whole answer, now and from now on. */
  closeIdle(): void {
    this.#closing = true;
    for (const [socket, connection] of this.#connections) {
      closeIfIdle(socket, connection);
    }
  }

  /** Breaks every connection. */
  destroyAll(): void {
    for (const socket of this.#connections.keys()) socket.destroy();
  }
}

function closeIfIdle(socket: Socket, connection: Connection): void {
  if (connection.pendingRequests.size > 0 || !connection.hasServedRequest) {
    return;
  }
  if (socket.bytesRead !== connection.bytesReadWhenIdle) return;
  socket.destroySoon();
}
