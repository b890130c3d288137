/**
 * The port through which orders are sent to engines and their state is read.
 *
 * @module
 */
import {
  type Address,
  type Clock,
  type EngineOrder,
  Err,
  fail,
  type Failure,
  MEBIBYTE,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";
import { UpstreamClient } from "#requests";
import { type EngineState, EngineStateClient, EngineStatePort } from "#samples";

/** Maximum size of an engine's response. */
const MAXIMUM_RESPONSE_BYTES = MEBIBYTE;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;

/** Sends orders to engines and reads the state that they report. */
export abstract class EnginePort extends EngineStatePort {
  /** Sends an order; a response after the time limit counts as no response. */
  abstract sendOrder(
    address: Address,
    order: EngineOrder,
    limitMs: Milliseconds,
  ): Promise<Result<null, Failure>>;
}

/** Options of `HttpEnginePort`. */
export interface HttpEnginePortOptions {
  /** Local address from which connections to engines are opened. */
  readonly sourceHost: string;
  readonly clock: Clock;
}

/** Calls engines over HTTP. */
export class HttpEnginePort extends EnginePort {
  readonly #client: UpstreamClient;
  readonly #stateClient: EngineStateClient;
  readonly #clock: Clock;

  constructor(options: HttpEnginePortOptions) {
    super();
    this.#clock = options.clock;
    this.#client = new UpstreamClient(options);
    this.#stateClient = new EngineStateClient(this.#client, options.clock);
  }

  override async sendOrder(
    address: Address,
    order: EngineOrder,
    limitMs: Milliseconds,
  ): Promise<Result<null, Failure>> {
    const { fence, model, version } = order;
    const response = await this.#client.call({
      address,
      method: "POST",
      path: "/v1/orders",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ fence, model, version }),
      deadlineMs: this.#clock.nowMs() + limitMs,
      maximumBytes: MAXIMUM_RESPONSE_BYTES,
    });
    if (response.err) return Err(fail("upstream_failed", response.val.message));
    if (response.val.status === HTTP_OK) return Ok(null);
    if (response.val.status === HTTP_CONFLICT) {
      return Err(fail("stale_fence", `the engine rejected fence ${fence}`));
    }
    const message =
      `the engine responded to the order with status ${response.val.status}`;
    return Err(fail("upstream_failed", message));
  }

  override readState(
    address: Address,
    limitMs: Milliseconds,
  ): Promise<Result<EngineState, Failure>> {
    return this.#stateClient.readState(address, limitMs);
  }

  /** Closes idle connections. */
  close(): void {
    this.#client.close();
  }
}
