/**
 * Tracks the open connections of the HTTP server and the requests pending on each.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Bytes, Failure } from "#core";
import type { HttpMemory } from "./http_memory.ts";
import { InputGate } from "./input_gate.ts";

/** Limits of a `ConnectionTable`. */
export interface ConnectionLimits {
  /** Pending requests of a connection; it is closed after responding to these if the parser reads more. */
  readonly maximumPipelinedRequests: number;
  /** Pending requests of a connection from which on no further request is read until one is answered. */
  readonly maximumUnansweredRequests: number;
  /** Open connections from which on each new one replaces the oldest that has not sent any request. */
  readonly maximumConnections: number;
}

/** Why a connection is closed before its client ends it. */
export type CloseReason =
  /** It has not sent any request, and a new connection needs its place. */
  | "silent"
  /** It pipelines more requests than allowed, or than there is memory for. */
  | "pipelined";

/** Options of a `ConnectionTable`. */
export interface ConnectionTableOptions {
  /** Memory of input that waits until the client reads responses. */
  readonly memory: HttpMemory;
  /** Called when a connection is closed, or accepts no further request and is closed after its responses. */
  readonly onClose: (reason: CloseReason) => void;
}

interface Connection {
  readonly gate: InputGate;
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
  readonly #limits: ConnectionLimits;
  readonly #options: ConnectionTableOptions;
  #closing = false;

  constructor(limits: ConnectionLimits, options: ConnectionTableOptions) {
    this.#limits = limits;
    this.#options = options;
  }

  /** Tracks a connection until it closes. */
  add(socket: Socket): void {
    if (this.#isFull()) this.#closeOldestSilent();
    const pendingRequests = new Set<IncomingMessage>();
    const gate = new InputGate(socket, {
      mayContinue: () =>
        pendingRequests.size < this.#limits.maximumUnansweredRequests,
      reservation: this.#options.memory.openHead(),
      maximumHeads: this.#limits.maximumPipelinedRequests,
      onExcess: () => this.#closeAfterPending(socket),
    });
    this.#connections.set(socket, {
      gate,
      pendingRequests,
      bytesReadWhenIdle: 0,
      hasServedRequest: false,
      isWritingResponse: false,
      closesAfterPending: false,
      failure: undefined,
      previousResponse: Promise.resolve(),
    });
    // Node hands some sockets over without a listener, such as those of CONNECT; an error then ends the process.
    socket.on("error", () => socket.destroy());
    socket.once("close", () => {
      gate.close();
      this.#connections.delete(socket);
    });
  }

  #closeAfterPending(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection === undefined || connection.closesAfterPending) return;
    this.#options.onClose("pipelined");
    connection.closesAfterPending = true;
    connection.gate.close();
    socket.pause();
    if (connection.pendingRequests.size === 0) socket.destroySoon();
  }

  /** One place stays free for a new connection, since the server refuses those above its limit by itself. */
  #isFull(): boolean {
    return this.#connections.size + 1 >= this.#limits.maximumConnections;
  }

  /** Clients that open connections without sending requests must not keep others out. */
  #closeOldestSilent(): void {
    for (const [socket, connection] of this.#connections) {
      const isSilent = !connection.hasServedRequest &&
        connection.pendingRequests.size === 0;
      if (!isSilent || socket.destroyed) continue;
      socket.destroy();
      this.#options.onClose("silent");
      return;
    }
  }

  /** Announces the body that follows the head of a request; 0 if its size is unknown. */
  expectBody(request: IncomingMessage, bytes: Bytes): void {
    this.#connections.get(request.socket)?.gate.expectBody(request, bytes);
  }

  /** Reads nothing more from a connection, which closes after its response. */
  closeInput(socket: Socket): void {
    this.#connections.get(socket)?.gate.close();
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
    connection.gate.close();
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
    if (
      connection.pendingRequests.size >= this.#limits.maximumPipelinedRequests
    ) {
      this.#closeAfterPending(socket);
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
    connection.gate.continue();
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
  if (connection.gate.heldBytes > 0 || socket.readableLength > 0) return;
  socket.destroySoon();
}
