/**
 * A running server and a raw TCP client for tests of the HTTP server.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import {
  type Address,
  type ByteBudget,
  type Bytes,
  type Clock,
  type HttpRoute,
  jsonResponse,
  MemoryEventLog,
  Metrics,
  SeededRandom,
  SystemClock,
} from "#core";
import { DEFAULT_HTTP_LIMITS, type HttpLimits } from "./http_limits.ts";
import { HttpServer } from "./http_server.ts";

const TEST_ADDRESS: Address = { host: "127.3.0.1", port: 0 };

/** Options of `withServer`; all are optional. */
export interface TestServerOptions {
  readonly routes?: readonly HttpRoute[];
  readonly limits?: Partial<HttpLimits>;
  readonly clock?: Clock;
  readonly bodyLimit?: () => Bytes | undefined;
  readonly httpBudget?: ByteBudget;
}

/** A listening server with its recorded events and metrics. */
export interface TestServer {
  readonly server: HttpServer;
  readonly address: Address;
  readonly events: MemoryEventLog;
  readonly metrics: Metrics;
}

/** Responds with the request that it received, as JSON. */
export const ECHO_ROUTE: HttpRoute = {
  method: "ANY",
  pattern: "/echo/:name",
  name: "echo",
  handle: (call) =>
    Promise.resolve(jsonResponse(200, {
      method: call.method,
      name: call.parameters.name,
      query: call.query.toString(),
      body: Buffer.from(call.body).toString(),
    })),
};

/** Starts a server, passes it to `use`, and stops it afterwards. */
export async function withServer(
  options: TestServerOptions,
  use: (running: TestServer) => Promise<void>,
): Promise<void> {
  const events = new MemoryEventLog();
  const metrics = new Metrics();
  const routes = options.routes ?? [ECHO_ROUTE];
  const server = new HttpServer({
    listen: TEST_ADDRESS,
    routes: () => routes,
    limits: { ...DEFAULT_HTTP_LIMITS, ...options.limits },
    clock: options.clock ?? new SystemClock(),
    random: new SeededRandom(1),
    events,
    metrics,
    httpBudget: options.httpBudget,
    ...(options.bodyLimit === undefined
      ? {}
      : { bodyLimit: options.bodyLimit }),
  });
  await server.listen();
  try {
    await use({ server, address: server.address(), events, metrics });
  } finally {
    await server.close();
  }
}

/** A TCP connection that sends arbitrary bytes and records what it receives. */
export class RawClient {
  readonly socket: Socket;
  #received = "";
  #closed = false;
  #error: Error | undefined;
  readonly #changed = new Set<() => void>();

  constructor(address: Address) {
    this.socket = connect({
      host: address.host,
      port: address.port,
      localAddress: "127.3.0.2",
    });
    this.socket.on("data", (bytes) => {
      this.#received += bytes.toString("latin1");
      this.#notify();
    });
    this.socket.on("error", (error) => {
      this.#error = error;
      this.socket.destroy();
    });
    this.socket.on("close", () => {
      this.#closed = true;
      this.#notify();
    });
  }

  /** Sends bytes. */
  send(text: string): void {
    this.socket.write(text, "latin1");
  }

  /** Everything received so far. */
  get received(): string {
    return this.#received;
  }

  /** Whether the connection is closed. */
  get closed(): boolean {
    return this.#closed;
  }

  /** The error that broke the connection, if one did. */
  get error(): Error | undefined {
    return this.#error;
  }

  /** Waits until the received text matches `pattern` or the connection is closed, and returns that text. */
  async until(pattern: RegExp): Promise<string> {
    while (!pattern.test(this.#received) && !this.#closed) await this.#change();
    return this.#received;
  }

  /** Waits until the connection is closed and returns everything received. */
  async untilClosed(): Promise<string> {
    while (!this.#closed) await this.#change();
    return this.#received;
  }

  #change(): Promise<void> {
    return new Promise((resolve) => this.#changed.add(resolve));
  }

  #notify(): void {
    const waiting = [...this.#changed];
    this.#changed.clear();
    for (const resolve of waiting) resolve();
  }
}

/** Sends raw bytes and returns everything received until the connection closes. */
export function exchange(address: Address, text: string): Promise<string> {
  const client = new RawClient(address);
  client.send(text);
  return client.untilClosed();
}

/** Parses the status and the JSON body of a raw response. */
export function parseResponse(
  raw: string,
): { readonly status: number; readonly body: Record<string, unknown> } {
  const [head, body] = raw.split("\r\n\r\n", 2);
  const status = Number(head?.split(" ")[1]);
  return { status, body: JSON.parse(body ?? "null") };
}
