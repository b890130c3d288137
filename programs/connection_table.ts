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
  readonly unanswered: Set<IncomingMessage>;
  /** Bytes received when the last answer became whole; more than that is the start of a request. */
  bytesAtRest: number;
  served: boolean;
  answering: boolean;
  /** Whether requests were dropped because too many were sent ahead. */
  overrun: boolean;
  /** Why no more of what arrives can be read, or undefined. */
  failure: Failure | undefined;
  /** Settles when the answer before the next request is whole. */
  turn: Promise<void>;
}

/** Knows of each connection whether it rests between two requests. */
export class ConnectionTable {
  readonly #connections = new Map<Socket, Connection>();
  readonly #maximumAhead: number;
  #closing = false;

  /** A table whose connections take at most `maximumAhead` requests before the first is answered. */
  constructor(maximumAhead: number) {
    this.#maximumAhead = maximumAhead;
  }

  /** Follows a connection until it closes. */
  add(socket: Socket): void {
    this.#connections.set(socket, {
      unanswered: new Set(),
      bytesAtRest: 0,
      served: false,
      answering: false,
      overrun: false,
      failure: undefined,
      turn: Promise.resolve(),
    });
    socket.once("close", () => this.#connections.delete(socket));
  }

  /** Open connections. */
  get size(): number {
    return this.#connections.size;
  }

  /** Requests whose answers aren't whole. */
  unanswered(): number {
    let sum = 0;
    for (const connection of this.#connections.values()) {
      sum += connection.unanswered.size;
    }
    return sum;
  }

  /** Whether the connection has just one request to answer. */
  isLast(socket: Socket): boolean {
    return (this.#connections.get(socket)?.unanswered.size ?? 1) <= 1;
  }

  /** Whether requests of the connection were dropped, so that it must end after its last answer. */
  isOverrun(socket: Socket): boolean {
    return this.#connections.get(socket)?.overrun ?? false;
  }

  /** Notes that an answer is being written, so that no other bytes may go to the connection. */
  startAnswer(socket: Socket): void {
    const connection = this.#connections.get(socket);
    if (connection !== undefined) connection.answering = true;
  }

  /**
   * Notes that nothing more can be read from a connection. True if no earlier request waits for its
   * answer, so that the refusal may be written at once; otherwise it follows the answers before it.
   */
  breakOff(socket: Socket, failure: Failure): boolean {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return true;
    const [first, ...others] = connection.unanswered;
    if (first === undefined) return true;
    if (others.length === 0 && !first.complete && !connection.answering) {
      return true;
    }
    connection.overrun = true;
    connection.failure = failure;
    return false;
  }

  /**
   * Runs `work` for a request after the answers to earlier ones on its connection are whole. `work` is
   * given the failure if the rest of the request can't be read.
   */
  async inTurn(
    request: IncomingMessage,
    work: (failure: Failure | undefined) => Promise<void>,
  ): Promise<void> {
    const socket = request.socket;
    const connection = this.#connections.get(socket);
    if (connection === undefined || connection.overrun) return;
    if (connection.unanswered.size >= this.#maximumAhead) {
      connection.overrun = true;
      socket.pause();
      return;
    }
    connection.unanswered.add(request);
    const before = connection.turn;
    const mine = before
      .then(() => {
        if (socket.destroyed) return;
        return work(request.complete ? undefined : connection.failure);
      })
      .finally(() => this.#settle(connection, request));
    connection.turn = mine.catch(() => undefined);
    await mine;
  }

  #settle(connection: Connection, request: IncomingMessage): void {
    const socket = request.socket;
    connection.unanswered.delete(request);
    connection.served = true;
    connection.answering = false;
    connection.bytesAtRest = socket.bytesRead;
    if (connection.overrun && connection.unanswered.size === 0) {
      socket.destroySoon();
    }
    if (this.#closing) closeIfResting(socket, connection);
  }

  /** Closes each connection that rests after a whole answer, now and from now on. */
  closeResting(): void {
    this.#closing = true;
    for (const [socket, connection] of this.#connections) {
      closeIfResting(socket, connection);
    }
  }

  /** Breaks every connection. */
  destroyAll(): void {
    for (const socket of this.#connections.keys()) socket.destroy();
  }
}

function closeIfResting(socket: Socket, connection: Connection): void {
  if (connection.unanswered.size > 0 || !connection.served) return;
  if (socket.bytesRead !== connection.bytesAtRest) return;
  socket.destroySoon();
}
