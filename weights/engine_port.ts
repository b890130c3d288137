/**
 * Engines as orders are given to them: the order and the reading back of what they serve.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { Agent, request } from "node:http";
import {
  type Address,
  Err,
  fail,
  type Failure,
  MEBIBYTE,
  type Milliseconds,
  Ok,
  type OrderView,
  type Result,
} from "#core";
import { type EngineState, EngineStatePort, parseEngineState } from "#samples";

/** Most bytes of an engine's answer. */
const MAXIMUM_ANSWER_BYTES = MEBIBYTE;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;
const MAXIMUM_SOCKETS = 256;

/** Gives orders to engines and reads them back. */
export abstract class EnginePort extends EngineStatePort {
  /** Gives an order; an answer after the time limit counts as none. */
  abstract order(
    address: Address,
    order: OrderView,
    limitMs: Milliseconds,
  ): Promise<Result<null, Failure>>;
}

interface HttpReply {
  readonly status: number;
  readonly body: string;
}

/** Engines over HTTP. */
export class HttpEnginePort extends EnginePort {
  readonly #agent: Agent;
  readonly #sourceHost: string;

  constructor(sourceHost: string) {
    super();
    this.#sourceHost = sourceHost;
    this.#agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_SOCKETS });
  }

  override async order(
    address: Address,
    order: OrderView,
    limitMs: Milliseconds,
  ): Promise<Result<null, Failure>> {
    const { fence, model, version } = order;
    const body = JSON.stringify({ fence, model, version });
    const reply = await this.#send(address, {
      method: "POST",
      path: "/v1/orders",
      body,
      limitMs,
    });
    if (reply.err) return reply;
    if (reply.val.status === HTTP_OK) return Ok(null);
    if (reply.val.status === HTTP_CONFLICT) {
      return Err(fail("stale_fence", `the engine refused fence ${fence}`));
    }
    const message = `the engine answered the order with ${reply.val.status}`;
    return Err(fail("upstream_failed", message));
  }

  override async state(
    address: Address,
    limitMs: Milliseconds,
  ): Promise<Result<EngineState, Failure>> {
    const reply = await this.#send(address, {
      method: "GET",
      path: "/v1/state",
      body: "",
      limitMs,
    });
    if (reply.err) return reply;
    if (reply.val.status !== HTTP_OK) {
      const message = `the engine's state answered ${reply.val.status}`;
      return Err(fail("upstream_failed", message));
    }
    return parseEngineState(reply.val.body);
  }

  /** Closes idle connections. */
  close(): void {
    this.#agent.destroy();
  }

  #send(
    address: Address,
    call: {
      readonly method: string;
      readonly path: string;
      readonly body: string;
      readonly limitMs: Milliseconds;
    },
  ): Promise<Result<HttpReply, Failure>> {
    return new Promise((resolve) => {
      const bytes = Buffer.from(call.body);
      const sent = request({
        agent: this.#agent,
        host: address.host,
        port: address.port,
        localAddress: this.#sourceHost,
        method: call.method,
        path: call.path,
        headers: bytes.length === 0 ? {} : {
          "content-type": "application/json",
          "content-length": bytes.length,
        },
        signal: AbortSignal.timeout(wholeMs(call.limitMs)),
      });
      sent.on("error", (error) => {
        resolve(Err(fail("upstream_failed", error.message)));
      });
      sent.on("response", (response) => {
        const parts: Buffer[] = [];
        let size = 0;
        response.on("data", (part: Buffer) => {
          parts.push(part);
          size += part.length;
          if (size > MAXIMUM_ANSWER_BYTES) sent.destroy();
        });
        response.on("error", (error) => {
          resolve(Err(fail("short_answer", error.message)));
        });
        response.on("end", () => {
          const body = Buffer.concat(parts).toString("utf8");
          resolve(Ok({ status: response.statusCode ?? 0, body }));
        });
      });
      sent.end(bytes);
    });
  }
}

/** Timers of the platform take whole milliseconds; rounding down keeps the order within its lease. */
function wholeMs(limitMs: Milliseconds): Milliseconds {
  return Math.max(1, Math.floor(limitMs));
}
