/**
 * Engines as orders are given to them: the order and the reading back of what they serve.
 *
 * @module
 */
import {
  type Address,
  type Clock,
  Err,
  fail,
  type Failure,
  MEBIBYTE,
  type Milliseconds,
  Ok,
  type OrderView,
  type Result,
} from "#core";
import { UpstreamClient } from "#requests";
import { type EngineState, EngineStateClient, EngineStatePort } from "#samples";

/** Most bytes of an engine's answer. */
const MAXIMUM_ANSWER_BYTES = MEBIBYTE;
const HTTP_OK = 200;
const HTTP_CONFLICT = 409;

/** Gives orders to engines and reads them back. */
export abstract class EnginePort extends EngineStatePort {
  /** Gives an order; an answer after the time limit counts as none. */
  abstract sendOrder(
    address: Address,
    order: OrderView,
    limitMs: Milliseconds,
  ): Promise<Result<null, Failure>>;
}

/** What the HTTP port is built from. */
export interface HttpEnginePortOptions {
  /** Address from which engines are called. */
  readonly sourceHost: string;
  readonly clock: Clock;
}

/** Engines over HTTP. */
export class HttpEnginePort extends EnginePort {
  readonly #client: UpstreamClient;
  readonly #states: EngineStateClient;
  readonly #clock: Clock;

  constructor(options: HttpEnginePortOptions) {
    super();
    this.#clock = options.clock;
    this.#client = new UpstreamClient(options);
    this.#states = new EngineStateClient(this.#client, options.clock);
  }

  override async sendOrder(
    address: Address,
    order: OrderView,
    limitMs: Milliseconds,
  ): Promise<Result<null, Failure>> {
    const { fence, model, version } = order;
    const answer = await this.#client.call({
      address,
      method: "POST",
      path: "/v1/orders",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ fence, model, version }),
      deadlineMs: this.#clock.nowMs() + limitMs,
      maximumBytes: MAXIMUM_ANSWER_BYTES,
    });
    if (answer.err) return Err(fail("upstream_failed", answer.val.message));
    if (answer.val.status === HTTP_OK) return Ok(null);
    if (answer.val.status === HTTP_CONFLICT) {
      return Err(fail("stale_fence", `the engine refused fence ${fence}`));
    }
    const message = `the engine answered the order with ${answer.val.status}`;
    return Err(fail("upstream_failed", message));
  }

  override state(
    address: Address,
    limitMs: Milliseconds,
  ): Promise<Result<EngineState, Failure>> {
    return this.#states.state(address, limitMs);
  }

  /** Closes idle connections. */
  close(): void {
    this.#client.close();
  }
}
