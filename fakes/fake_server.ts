/**
 * The HTTP server that the fakes extend.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Address } from "#core";

const MAXIMUM_BODY_BYTES = 16 * 1_048_576;

/** A request with its complete body. */
export interface FakeCall {
  readonly method: string;
  /** Path without the query. */
  readonly path: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: string;
}

/** An HTTP server on one address; subclasses handle the calls. */
export abstract class FakeServer {
  readonly #server: Server;
  #address: Address;
  #closing = false;

  constructor(address: Address) {
    this.#address = address;
    this.#server = createServer((request, response) => {
      this.#receiveCall(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 30_000;
  }

  /** The address to listen on; holds the bound port once `listen` has resolved. */
  get address(): Address {
    return this.#address;
  }

  /** Starts listening; rejects if the address is in use. */
  listen(): Promise<void> {
    const { host, port } = this.#address;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ host, port }, () => {
        this.#server.off("error", reject);
        const bound = this.#server.address();
        if (bound !== null && typeof bound === "object") {
          this.#address = { host, port: bound.port };
        }
        resolve();
      });
    });
  }

  /** Stops accepting connections; resolves when all running requests have finished. */
  closeGracefully(): Promise<void> {
    this.#closing = true;
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  /** Closes every connection immediately, as a crash would. */
  crash(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  /** Handles one call; may return before the response ends, to stream it. */
  protected abstract handleCall(call: FakeCall): Promise<void> | void;

  async #receiveCall(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.#closing) response.setHeader("connection", "close");
    const body = await readBody(request);
    const path = (request.url ?? "/").split("?", 1)[0] ?? "/";
    const method = request.method ?? "GET";
    await this.handleCall({ method, path, request, response, body });
  }
}

/**
 * Sends a JSON response.
 *
 * @example
 * ```ts
 * sendJson(call.response, 200, { id: "card-7" });
 * ```
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const text = JSON.stringify(value) + "\n";
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Parses a JSON object; returns undefined if the text is not one. */
export function parseJsonObject(
  text: string,
): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value !== "object" || value === null) return undefined;
    return value as Readonly<Record<string, unknown>>;
  } catch {
    return undefined;
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size > MAXIMUM_BODY_BYTES) throw new Error("request body is too large");
    chunks.push(bytes);
  }
  return Buffer.concat(chunks).toString("utf8");
}
