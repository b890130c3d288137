/**
 * A stand-in for an upstream in trouble: it sends bytes that are no response, without end, until the caller closes.
 *
 * @module
 */
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import type { Address } from "#core";

/** Where the bytes without end stand in the response. */
export const ENDLESS_PLACES = [
  "no_line",
  "status_line",
  "header_name",
  "header_value",
  "header_lines",
  "interim_responses",
  "body_without_length",
  "body_beyond_length",
  "short_body",
  "chunks",
  "chunk_size",
  "chunk_extension",
  "trailer",
] as const;

/** A place of bytes without end. */
export type EndlessPlace = typeof ENDLESS_PLACES[number];

/** How fast the bytes come: as fast as the caller reads, or a single one now and then. */
export type EndlessPace = "fast" | "trickle";

const TRICKLE_INTERVAL_MS = 20;
const BURST_REPEATS = 2_000;

const HEAD = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Stamp: s\r\n";
const CHUNKED = `${HEAD}Transfer-Encoding: chunked\r\n\r\n`;

/** What comes first, and what is then repeated. */
const RESPONSES: Readonly<Record<EndlessPlace, readonly [string, string]>> = {
  no_line: ["", "A"],
  status_line: ["HTTP/1.1 200 ", "A"],
  header_name: [HEAD, "A"],
  header_value: [`${HEAD}X-More: `, "A"],
  header_lines: [HEAD, "X-More: abc\r\n"],
  interim_responses: ["", "HTTP/1.1 100 Continue\r\n\r\n"],
  body_without_length: [`${HEAD}\r\n`, "A"],
  body_beyond_length: [`${HEAD}Content-Length: 99999999\r\n\r\n`, "A"],
  short_body: [`${HEAD}Content-Length: 99999999\r\n\r\n`, ""],
  chunks: [CHUNKED, "4\r\nAAAA\r\n"],
  chunk_size: [CHUNKED, "0"],
  chunk_extension: [`${CHUNKED}4;`, "A"],
  trailer: [`${CHUNKED}4\r\nAAAA\r\n0\r\n`, "X-More: abc\r\n"],
};

/** An upstream that answers every connection with bytes without end. */
export class EndlessUpstream {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #connections = 0;

  private constructor(place: EndlessPlace, pace: EndlessPace) {
    this.#server = createServer((socket) => {
      this.#connections += 1;
      this.#sockets.add(socket);
      // The caller closes while bytes are still being written.
      socket.on("error", () => {});
      socket.on("close", () => this.#sockets.delete(socket));
      socket.once("data", () => sendWithoutEnd(socket, place, pace));
    });
  }

  /** Starts an upstream on a port of its own. */
  static async start(
    place: EndlessPlace,
    pace: EndlessPace,
  ): Promise<EndlessUpstream> {
    const upstream = new EndlessUpstream(place, pace);
    await new Promise<void>((resolve) =>
      upstream.#server.listen({ host: "127.0.0.1", port: 0 }, resolve)
    );
    return upstream;
  }

  get address(): Address {
    const { port } = this.#server.address() as AddressInfo;
    return { host: "127.0.0.1", port };
  }

  /** Number of connections so far. */
  get connections(): number {
    return this.#connections;
  }

  /** Number of connections that no side has closed. */
  get openConnections(): number {
    return this.#sockets.size;
  }

  /** Ends all connections and stops listening. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }
}

function sendWithoutEnd(
  socket: Socket,
  place: EndlessPlace,
  pace: EndlessPace,
): void {
  const [start, repeated] = RESPONSES[place];
  socket.write(start);
  if (repeated === "") return;
  if (pace === "trickle") {
    let sent = 0;
    const timer = setInterval(() => {
      socket.write(repeated.charAt(sent % repeated.length));
      sent += 1;
    }, TRICKLE_INTERVAL_MS);
    socket.on("close", () => clearInterval(timer));
    return;
  }
  const burst = repeated.repeat(BURST_REPEATS);
  const fill = (): void => {
    while (!socket.destroyed && socket.write(burst));
  };
  socket.on("drain", fill);
  fill();
}
