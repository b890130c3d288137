/**
 * A worker of a plain service in trouble: it begins a sound response, and then sends bytes without end for as long as
 * the caller reads.
 *
 * @module
 */
import { createServer, type Server, type Socket } from "node:net";
import { type Address, type Bytes, KIBIBYTE } from "#core";

/** Where the bytes without end stand in the response. */
export const ENDLESS_BODIES = [
  "body_without_length",
  "body_beyond_length",
  "chunks",
  "event",
] as const;

/** A place of bytes without end. */
export type EndlessBody = typeof ENDLESS_BODIES[number];

const BURST_BYTES: Bytes = 64 * KIBIBYTE;
const CHUNK = `${BURST_BYTES.toString(16)}\r\n${"A".repeat(BURST_BYTES)}\r\n`;
const BURSTS: Readonly<Record<EndlessBody, Buffer>> = {
  body_without_length: Buffer.alloc(BURST_BYTES, "A"),
  body_beyond_length: Buffer.alloc(BURST_BYTES, "A"),
  chunks: Buffer.from(CHUNK),
  event: Buffer.alloc(BURST_BYTES, "A"),
};
const HEADERS: Readonly<Record<EndlessBody, string>> = {
  body_without_length: "Connection: close",
  body_beyond_length: "Content-Length: 99999999",
  chunks: "Transfer-Encoding: chunked",
  event: "Content-Type: text/event-stream\r\nConnection: close",
};

/** A worker that answers each request with bytes without end. */
export class EndlessWorker {
  body: EndlessBody = "chunks";
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #requests = 0;

  constructor() {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      // The caller closes while bytes are still being written.
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
      socket.once("data", (request) => this.#answer(socket, String(request)));
    });
  }

  /** Number of requests that have reached it. */
  get requests(): number {
    return this.#requests;
  }

  /** Starts to listen. */
  listen({ host, port }: Address): Promise<void> {
    return new Promise((resolve) => {
      this.#server.listen({ host, port }, () => resolve());
    });
  }

  /** Ends all connections and stops listening. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #answer(socket: Socket, request: string): void {
    this.#requests += 1;
    const id = /^request-id: (.*)$/im.exec(request)?.[1]?.trim() ?? "";
    const { body } = this;
    socket.write(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: s\r\n${
        HEADERS[body]
      }\r\n\r\n`,
    );
    if (body === "event") socket.write("id: 0\ndata: ");
    const fill = (): void => {
      while (!socket.destroyed && socket.write(BURSTS[body]));
    };
    socket.on("drain", fill);
    fill();
  }
}
