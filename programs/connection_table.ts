/**
 * The open connections of the HTTP server, and which of them carry a request.
 *
 * @module
 */
import type { Socket } from "node:net";

interface Connection {
  /** Requests whose answers aren't whole. */
  unanswered: number;
  /** Bytes received when the last answer became whole; more than that is the start of a request. */
  bytesAtRest: number;
  served: boolean;
  answering: boolean;
  /** Whether requests were dropped because too many were sent ahead. */
  overrun: boolean;
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
      unanswered: 0,
      bytesAtRest: 0,
      served: false,
      answering: false,
      overrun: false,
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
      sum += connection.unanswered;
    }
    return sum;
  }

  /** Whether the connection has just one request to answer. */
  isLast(socket: Socket): boolean {
    return (this.#connections.get(socket)?.unanswered ?? 1) <= 1;
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

  /** Whether an answer is being written. */
  isAnswering(socket: Socket): boolean {
    return this.#connections.get(socket)?.answering ?? false;
  }

  /** Runs `work` for a request after the answers to earlier ones on its connection are whole. */
  async inTurn(socket: Socket, work: () => Promise<void>): Promise<void> {
    const connection = this.#connections.get(socket);
    if (connection === undefined || connection.overrun) return;
    if (connection.unanswered >= this.#maximumAhead) {
      connection.overrun = true;
      socket.pause();
      return;
    }
    connection.unanswered += 1;
    const before = connection.turn;
    const mine = before.then(() => socket.destroyed ? undefined : work())
      .finally(() => {
        connection.unanswered -= 1;
        connection.served = true;
        connection.answering = false;
        connection.bytesAtRest = socket.bytesRead;
        if (this.#closing) closeIfResting(socket, connection);
      });
    connection.turn = mine.catch(() => undefined);
    await mine;
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
  if (connection.unanswered > 0 || !connection.served) return;
  if (socket.bytesRead !== connection.bytesAtRest) return;
  socket.destroySoon();
}
