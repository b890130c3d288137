/**
 * The HTTP server of the programs: reads complete requests within limits, dispatches them to routes, and
 * writes responses with back pressure. The table of error kinds maps each failure to its response.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as TcpServer, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import {
  type Address,
  type ByteBudget,
  type Bytes,
  type Clock,
  type EventLog,
  fail,
  type Failure,
  GARBAGE_METER,
  type HttpResponse,
  type HttpRoute,
  KIBIBYTE,
  listenOn,
  type Metrics,
  type Milliseconds,
  type RandomSource,
  SECOND_MS,
} from "#core";
import { writeResponseOrFailure } from "./response_writer.ts";
import { type CloseReason, ConnectionTable } from "./connection_table.ts";
import { HTTP_EVENTS } from "./events.ts";
import { failureResponse } from "./failure_response.ts";
import { type HttpLimits, nodeServerOptions } from "./http_limits.ts";
import { HttpMemory } from "./http_memory.ts";
import { type ClientError, clientFailure, rejectRaw } from "./raw_rejection.ts";
import { contentLengthOf, discardBody, isBodyUnread } from "./request_body.ts";
import { type Exchange, RequestHandler } from "./request_handler.ts";
import { RouteFinder } from "./route_finder.ts";
import { ShutdownLimit } from "./shutdown_limit.ts";

const UNMATCHED_ROUTE = "unmatched";
/** What a request without body leaves to the garbage collector. */
const REQUEST_GARBAGE_BYTES: Bytes = 8 * KIBIBYTE;

/** Options of `HttpServer`. */
export interface HttpServerOptions {
  readonly listen: Address;
  /** Returns the current routes; the first match handles the request. */
  readonly routes: () => readonly HttpRoute[];
  readonly limits: HttpLimits;
  /** Returns an additional body size limit, such as that of the active bundle, or undefined if there is none. */
  readonly bodyLimit?: () => Bytes | undefined;
  /** Memory of the responses that the process reads and writes; absent if only this server writes any. */
  readonly responseBudget?: ByteBudget;
  /** Memory of all requests and responses of the process; absent if only this server has any. */
  readonly httpBudget?: ByteBudget | undefined;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly metrics: Metrics;
}

/**
 * Serves HTTP on one address.
 *
 * @example
 * ```ts
 * const server = new HttpServer({ listen, routes: () => routes, limits: DEFAULT_HTTP_LIMITS, clock, random, events, metrics });
 * await server.listen();
 * await server.drain(3_000);
 * ```
 */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #server: Server;
  readonly #connections: ConnectionTable;
  readonly #memory: HttpMemory;
  readonly #latency;
  readonly #responses;
  readonly #closed;
  readonly #routes: RouteFinder;
  readonly #shutdown: ShutdownLimit;
  readonly #handler: RequestHandler;
  #draining = false;

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#shutdown = new ShutdownLimit(options.clock);
    this.#handler = new RequestHandler({
      ...options,
      shutdown: this.#shutdown,
      maximumBodyBytes: () => this.#maximumBodyBytes(),
    });
    this.#memory = new HttpMemory(options.limits, options);
    this.#connections = new ConnectionTable(options.limits, {
      memory: this.#memory,
      onClose: (reason) => this.#reportClose(reason),
    });
    this.#closed = options.metrics.counter({
      name: "cicadafield_http_closed_total",
      help: "Connections closed for what their clients did, by reason.",
      labels: ["reason"],
    });
    this.#latency = options.metrics.latency({
      name: "cicadafield_http_seconds",
      help: "Time from the headers of a request to the end of its response.",
      labels: ["route"],
    });
    this.#responses = options.metrics.counter({
      name: "cicadafield_http_answers_total",
      help: "Responses by route and status.",
      labels: ["route", "status"],
    });
    this.#routes = new RouteFinder(options.routes);
    this.#server = createServer(nodeServerOptions(options.limits));
    this.#attachListeners();
  }

  /** True once `drain` or `close` has started; readiness probes must fail from then on. */
  get draining(): boolean {
    return this.#draining;
  }

  /** Number of open connections. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  /** Returns the listening address, with the port that the system assigned if port 0 was requested. */
  address(): Address {
    const bound = this.#server.address();
    if (bound === null || typeof bound === "string") {
      return this.#options.listen;
    }
    return { host: bound.address, port: bound.port };
  }

  /** Starts accepting connections; rejects if the address can't be bound. */
  async listen(): Promise<void> {
    const { events, listen } = this.#options;
    await listenOn(this.#server, listen, (error) => {
      events.emit(HTTP_EVENTS.acceptFailed, { reason: error.message });
    });
    events.emit(HTTP_EVENTS.listening, { ...this.address() });
  }

  /**
   * Stops without interrupting a request. `draining` is true at once; connections are still accepted for
   * `noticeMs`, so that the load balancer can notice, and none after that. Resolves when every request that
   * arrived has its complete response and every connection is closed. After `limitMs`, requests without a response are
   * answered with a failure.
   */
  async drain(noticeMs: Milliseconds, limitMs?: Milliseconds): Promise<void> {
    this.#draining = true;
    const limit = limitMs === undefined ? {} : { limitMs };
    this.#shutdown.begin({ noticeMs, ...limit });
    const requests = this.#connections.pendingCount();
    this.#options.events.emit(HTTP_EVENTS.draining, { requests, noticeMs });
    await this.#options.clock.sleep(noticeMs);
    const closed = this.#stopAccepting();
    this.#connections.closeIdle();
    await closed;
    this.#server.close();
    this.#options.events.emit(HTTP_EVENTS.drained);
  }

  /** Stops immediately and destroys every connection. */
  async close(): Promise<void> {
    this.#draining = true;
    const closed = this.#stopAccepting();
    this.#connections.destroyAll();
    await closed;
    this.#server.close();
  }

  #stopAccepting(): Promise<void> {
    return new Promise((resolve) => {
      // `close` of Node's HTTP server stops its timeouts for slow senders and can truncate a response that isn't flushed.
      TcpServer.prototype.close.call(this.#server, () => resolve());
    });
  }

  #attachListeners(): void {
    const server = this.#server;
    // Node drops what exceeds this; one more than the limit shows that there were too many.
    server.maxHeadersCount = this.#options.limits.maximumHeaderFields + 1;
    server.maxConnections = this.#options.limits.maximumConnections;
    server.on("connection", (socket) => this.#connections.add(socket));
    server.on("drop", () => {
      this.#options.events.emit(HTTP_EVENTS.connectionDropped);
    });
    server.on("request", (request, response) => {
      this.#receive(request, response, false);
    });
    server.on("checkContinue", (request, response) => {
      this.#receive(request, response, true);
    });
    server.on("checkExpectation", (request, response) => {
      this.#receive(request, response, false);
    });
    server.on("connect", (_request: IncomingMessage, socket: Duplex) => {
      this.#rejectConnection(
        socket as Socket,
        fail("method_not_allowed", "the CONNECT method is not supported"),
      );
    });
    server.on("clientError", (error: ClientError, socket: Duplex) => {
      this.#handleClientError(error, socket);
    });
  }

  #handleClientError(error: ClientError, socket: Duplex): void {
    const failure = clientFailure(error);
    if (failure === undefined) {
      socket.destroy();
      return;
    }
    this.#rejectConnection(socket as Socket, failure);
  }

  #rejectConnection(socket: Socket, failure: Failure): void {
    this.#handler.reportRejection(failure);
    // A client would take a rejection written before earlier responses for the response to its first request.
    if (!this.#connections.failInput(socket, failure)) return;
    this.#countResponse(UNMATCHED_ROUTE, failureResponse(failure).status);
    rejectRaw(socket, failure);
  }

  async #receive(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    GARBAGE_METER.drop(REQUEST_GARBAGE_BYTES);
    const startedAtMs = this.#options.clock.nowMs();
    const head = this.#memory.holdHead(request);
    this.#connections.expectBody(request, contentLengthOf(request));
    const exchange = {
      request,
      response,
      expectsContinue,
      startedAtMs,
      bodyReservation: this.#memory.openBody(),
    };
    response.on("error", () => response.destroy());
    request.on("error", () => request.destroy());
    try {
      await this.#connections.runInOrder(
        request,
        (failure) => this.#serve(exchange, head.failure ?? failure),
      );
    } catch (error) {
      this.#handler.reportError(UNMATCHED_ROUTE, error);
      response.destroy();
    } finally {
      exchange.bodyReservation.release();
      head.release();
    }
  }

  async #serve(
    exchange: Exchange,
    failure: Failure | undefined,
  ): Promise<void> {
    if (failure !== undefined) {
      const rejection = failureResponse(failure);
      await this.#write(exchange, rejection);
      this.#countResponse(UNMATCHED_ROUTE, rejection.status);
      return;
    }
    const found = this.#routes.find(exchange.request);
    const route = found.ok ? found.val.route.name : UNMATCHED_ROUTE;
    const complete = found.ok
      ? await this.#handler.respond(exchange, found.val)
      : found.val;
    const held = this.#memory.holdResponse(complete);
    if (held.failure !== undefined) this.#handler.reportRejection(held.failure);
    const { response } = held;
    let status: number;
    try {
      status = await this.#write(exchange, response);
    } finally {
      held.release();
    }
    this.#countResponse(route, status);
    this.#latency.observe(
      { route },
      (this.#options.clock.nowMs() - exchange.startedAtMs) / SECOND_MS,
    );
  }

  #maximumBodyBytes(): Bytes {
    const configured = this.#options.limits.maximumBodyBytes;
    return Math.min(configured, this.#options.bodyLimit?.() ?? configured);
  }

  /** Returns the status that was written. */
  async #write(exchange: Exchange, content: HttpResponse): Promise<number> {
    const { request, response } = exchange;
    this.#connections.markResponseStarted(request.socket);
    const bodyUnread = isBodyUnread(request);
    const closeConnection = bodyUnread ||
      this.#closesAfterResponse(request.socket);
    const { outcome, status } = await writeResponseOrFailure(
      response,
      content,
      {
        clock: this.#options.clock,
        sendTimeoutMs: this.#options.limits.sendTimeoutMs,
        closeConnection,
        ...(bodyUnread ? { beforeEnd: () => this.#discardBody(request) } : {}),
      },
    );
    this.#handler.reportOutcome(outcome);
    return status;
  }

  #closesAfterResponse(socket: Socket): boolean {
    if (!this.#connections.isLastPending(socket)) return false;
    return this.#draining || this.#connections.closesAfterPending(socket);
  }

  #discardBody(request: IncomingMessage): Promise<void> {
    const { clock, limits } = this.#options;
    return discardBody(request, {
      clock,
      lingerMs: limits.lingerMs,
      onExcessive: () => this.#connections.closeInput(request.socket),
    });
  }

  #reportClose(reason: CloseReason): void {
    this.#closed.inc({ reason });
    const event = reason === "silent"
      ? HTTP_EVENTS.silentConnectionClosed
      : HTTP_EVENTS.pipeliningConnectionClosed;
    this.#options.events.emit(event);
  }

  #countResponse(route: string, status: number): void {
    this.#responses.inc({ route, status: String(status) });
  }
}
