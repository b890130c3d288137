/**
 * HTTP client for upstreams over `node:http`; its failures state how far the request got.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request as startRequest,
} from "node:http";
import {
  type Address,
  type Bytes,
  type Clock,
  Err,
  hasMarkedEnd,
  isFinalStatus,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";

/** How far a request got. Before `sent`, no byte of it can have reached the upstream. */
export type RequestStage = "not_connected" | "sent" | "first_byte" | "whole";

/** Why a call has no complete response. */
export type UpstreamFailureCause =
  | "not_connected"
  | "connection_lost"
  | "short_answer"
  | "answer_too_large"
  | "deadline"
  | "cancelled";

/** A call without a complete response. */
export interface UpstreamFailure {
  readonly reachedStage: RequestStage;
  readonly cause: UpstreamFailureCause;
  readonly message: string;
}

/** A complete response. */
export interface UpstreamResponse {
  readonly status: number;
  /** Lower-case names. */
  readonly headers: Readonly<Record<string, string>>;
  /** Empty if the body was passed to `onData`. */
  readonly body: Uint8Array;
}

/** One call. */
export interface UpstreamRequest {
  readonly address: Address;
  readonly method: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  /** On the client's monotonic clock. */
  readonly deadlineMs: Milliseconds;
  readonly maximumBytes: Bytes;
  /** Longest time without a byte of the response; unlimited if absent. */
  readonly stallMs?: Milliseconds;
  /**
   * Whether to use a connection that served another call. Only for calls that are safe to repeat and whose
   * responses name their request: a reused connection can be dead or contain another call's response.
   */
  readonly reuseConnection?: boolean;
  readonly signal?: AbortSignal;
  /** Called when the request reaches the next stage. */
  readonly onStage?: (stage: RequestStage) => void;
  /** Receives the body chunks of a response with status 200 as they arrive, instead of buffering them. */
  readonly onData?: (chunk: Uint8Array) => void;
}

/** Options of `UpstreamClient`. */
export interface UpstreamClientOptions {
  /** Local address of outgoing connections. */
  readonly sourceHost: string;
  readonly clock: Clock;
}

/** Port for calls to upstreams. */
export abstract class UpstreamCaller {
  /** Sends one call; never throws. */
  abstract call(
    request: UpstreamRequest,
  ): Promise<Result<UpstreamResponse, UpstreamFailure>>;
  /** Closes idle connections. */
  abstract close(): void;
}

/**
 * Calls upstreams over HTTP.
 *
 * @example
 * ```ts
 * const client = new UpstreamClient({ sourceHost: "127.0.0.1", clock });
 * const response = await client.call({
 *   address: { host: "127.0.1.20", port: 9000 },
 *   method: "GET",
 *   path: "/v1/state",
 *   deadlineMs: clock.nowMs() + 1_000,
 *   maximumBytes: 65_536,
 * });
 * ```
 */
export class UpstreamClient extends UpstreamCaller {
  readonly #options: UpstreamClientOptions;
  readonly #keepAliveAgent = new Agent({ keepAlive: true, maxFreeSockets: 32 });

  constructor(options: UpstreamClientOptions) {
    super();
    this.#options = options;
  }

  override call(
    request: UpstreamRequest,
  ): Promise<Result<UpstreamResponse, UpstreamFailure>> {
    return new Promise((resolve) => {
      new RunningCall({
        request,
        client: this.#options,
        agent: request.reuseConnection === true ? this.#keepAliveAgent : false,
        resolve,
      }).start();
    });
  }

  override close(): void {
    this.#keepAliveAgent.destroy();
  }
}

interface RunningCallOptions {
  readonly request: UpstreamRequest;
  readonly client: UpstreamClientOptions;
  readonly agent: Agent | false;
  readonly resolve: (result: Result<UpstreamResponse, UpstreamFailure>) => void;
}

class RunningCall {
  readonly #options: RunningCallOptions;
  readonly #request: UpstreamRequest;
  #reachedStage: RequestStage = "not_connected";
  #outgoing: ClientRequest | undefined;
  #settled = false;
  #receivedBytes: Bytes = 0;
  readonly #chunks: Uint8Array[] = [];
  readonly #cleanupCallbacks: (() => void)[] = [];

  constructor(options: RunningCallOptions) {
    this.#options = options;
    this.#request = options.request;
  }

  start(): void {
    const { signal, deadlineMs } = this.#request;
    const clock = this.#options.client.clock;
    const remainingMs = deadlineMs - clock.nowMs();
    if (signal?.aborted === true) return this.#fail("cancelled", "cancelled");
    if (remainingMs <= 0) {
      return this.#fail("deadline", "the deadline has passed");
    }
    const timer = clock.after(
      remainingMs,
      () => this.#fail("deadline", "the deadline passed"),
    );
    const onAbort = (): void => this.#fail("cancelled", "cancelled");
    signal?.addEventListener("abort", onAbort);
    this.#cleanupCallbacks.push(() => timer.cancel());
    this.#cleanupCallbacks.push(() =>
      signal?.removeEventListener("abort", onAbort)
    );
    this.#open();
  }

  #open(): void {
    const { address, method, path, headers, body } = this.#request;
    const bytes = typeof body === "string" ? Buffer.from(body) : body;
    const length = bytes === undefined
      ? {}
      : { "content-length": String(bytes.length) };
    try {
      const outgoing = startRequest({
        host: address.host,
        port: address.port,
        method,
        path,
        headers: { ...headers, ...length },
        agent: this.#options.agent,
        localAddress: this.#options.client.sourceHost,
      });
      this.#outgoing = outgoing;
      this.#listen(outgoing);
      outgoing.end(bytes);
    } catch (error) {
      this.#fail("not_connected", messageOf(error));
    }
  }

  #listen(outgoing: ClientRequest): void {
    outgoing.on("socket", (socket) => {
      if (!socket.connecting) return this.#advance("sent");
      socket.once("connect", () => this.#advance("sent"));
    });
    outgoing.on("response", (incoming) => this.#receive(incoming));
    outgoing.on("error", (error) => {
      const cause = this.#reachedStage === "not_connected"
        ? "not_connected"
        : "connection_lost";
      this.#fail(cause, messageOf(error));
    });
    outgoing.on("close", () => {
      const cause = this.#reachedStage === "first_byte"
        ? "short_answer"
        : "connection_lost";
      this.#fail(cause, "the connection closed");
    });
  }

  #receive(incoming: IncomingMessage): void {
    this.#advance("first_byte");
    incoming.on("error", (error) => {
      this.#fail("short_answer", messageOf(error));
    });
    if (!isFinalStatus(incoming.statusCode)) {
      const { statusCode } = incoming;
      this.#fail("short_answer", `status ${statusCode} ends no exchange`);
      return;
    }
    this.#watchStall(incoming);
    const isStreaming = this.#request.onData !== undefined &&
      incoming.statusCode === 200;
    incoming.on("data", (chunk: Uint8Array) => {
      if (this.#settled) return;
      this.#receivedBytes += chunk.length;
      if (this.#receivedBytes > this.#request.maximumBytes) {
        this.#fail("answer_too_large", "the response exceeds the size limit");
        return;
      }
      if (isStreaming) this.#request.onData?.(chunk);
      else this.#chunks.push(chunk);
    });
    incoming.on("end", () => this.#finish(incoming));
    incoming.on(
      "close",
      () => this.#fail("short_answer", "the response ended prematurely"),
    );
  }

  #watchStall(incoming: IncomingMessage): void {
    const { stallMs } = this.#request;
    if (stallMs === undefined) return;
    const clock = this.#options.client.clock;
    const expire = (): void => {
      this.#fail("connection_lost", `no data received for ${stallMs} ms`);
    };
    let timer = clock.after(stallMs, expire);
    incoming.on("data", () => {
      timer.cancel();
      if (!this.#settled) timer = clock.after(stallMs, expire);
    });
    this.#cleanupCallbacks.push(() => timer.cancel());
  }

  #finish(incoming: IncomingMessage): void {
    if (this.#settled) return;
    const status = incoming.statusCode ?? 0;
    const hasEnd = hasMarkedEnd(incoming, this.#request.method);
    if (!incoming.complete || !hasEnd) {
      return this.#fail("short_answer", "the response has no marked end");
    }
    this.#advance("whole");
    this.#settle(Ok({
      status,
      headers: headerRecord(incoming),
      body: Buffer.concat(this.#chunks),
    }));
  }

  #advance(stage: RequestStage): void {
    if (this.#settled) return;
    this.#reachedStage = stage;
    this.#request.onStage?.(stage);
  }

  #fail(cause: UpstreamFailureCause, message: string): void {
    this.#settle(Err({ reachedStage: this.#reachedStage, cause, message }));
  }

  #settle(result: Result<UpstreamResponse, UpstreamFailure>): void {
    if (this.#settled) return;
    this.#settled = true;
    for (const cleanup of this.#cleanupCallbacks) cleanup();
    if (!result.ok) this.#outgoing?.destroy();
    this.#options.resolve(result);
  }
}

function headerRecord(
  incoming: IncomingMessage,
): Readonly<Record<string, string>> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value === undefined) continue;
    headers[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return headers;
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
