/**
 * Tracks the open connections of the HTTP server and the requests pending on each.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Failure } from "#core";

interface Connection {
  /** Requests without a complete response, oldest first. */
  readonly pendingRequests: Set<IncomingMessage>;
  /** Bytes received when the last response was complete; any further byte belongs to a new request. */
  bytesReadWhenIdle: number;
  /** Whether a request was served; a drain closes only connections on which one was. */
  hasServedRequest: boolean;
  isWritingResponse: boolean;
  /** Whether to close after the pending responses: too many requests were pipelined, or input can't be parsed. */
  closesAfterPending: boolean;
  /** Why further input can't be parsed, or undefined while it can. */
  failure: Failure | undefined;
  /** Settles when the response to the newest pending request is complete or abandoned. */
  previousResponse: Promise<void>;
}

/** Runs the requests of each connection in order, and closes connections that are idle between requests. */
export class ConnectionTable {
  readonly #connections = new Map<Socket, Connection>();
  readonly #maximumPipelined: number;
  #closing = false;

  /** Creates a table that accepts at most `maximumPipelined` pending requests on a connection. */
  constructor(maximumPipelined: number) {
    this.#maximumPipelined = maximumPipelined;
  }

  /** Tracks a connection until it closes. */
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

  /** Number of open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** Returns the number of requests without a complete response on all connections. */
  pendingCount(): number {
    let sum = 0;
    for (const connection of this.#connections.values()) {
      sum += connection.pendingRequests.size;
    }
    return sum;
  }

  /** Returns whether at most one request is pending on the connection. */
  isLastPending(socket: Socket): boolean {
    return (this.#connections.get(socket)?.pendingRequests.size ?? 1) <= 1;
  }

  /** Returns whether the connection must close after its pending responses, because further input was dropped. */
  closesAfterPending(socket: Socket): boolean {
    return this.#connections.get(socket)?.closesAfterPending ?? false;
  }

  /** Records that a response is being written, so that nothing else may be written to the connection. */
  markResponseStarted(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) connection.isWritingResponse = true;
  }

  /**
   * Records that the input of a connection can't be parsed any further. Returns true if no earlier request
   * awaits its response, so that the caller may write the rejection and close the connection at once;
   * otherwise the connection closes after the pending responses.
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
   * Runs `work` for a request after the responses to earlier requests on its connection are complete.
   * `work` receives the failure if the rest of the request can't be read.
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

  /** Closes each connection that is idle after a complete response, and from now on each that becomes so. */
  closeIdle(): void {
    this.#closing = true;
    for (const [socket, connection] of this.#connections) {
      closeIfIdle(socket, connection);
    }
  }

  /** Destroys every connection. */
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
