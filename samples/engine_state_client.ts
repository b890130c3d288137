/**
 * Reads the state of engines over HTTP.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import {
  type Address,
  type Clock,
  Err,
  fail,
  type Failure,
  MEBIBYTE,
  type Milliseconds,
  type Result,
} from "#core";
import type { UpstreamCaller } from "#requests";
import {
  type EngineState,
  EngineStatePort,
  parseEngineState,
} from "./engine_state.ts";

const MAXIMUM_RESPONSE_BYTES = MEBIBYTE;
const HTTP_OK = 200;

/** Implements `EngineStatePort` with `GET /v1/state`. */
export class EngineStateClient extends EngineStatePort {
  readonly #client: UpstreamCaller;
  readonly #clock: Clock;

  constructor(client: UpstreamCaller, clock: Clock) {
    super();
    this.#client = client;
    this.#clock = clock;
  }

  override async readState(
    address: Address,
    timeoutMs: Milliseconds,
  ): Promise<Result<EngineState, Failure>> {
    const response = await this.#client.call({
      address,
      method: "GET",
      path: "/v1/state",
      deadlineMs: this.#clock.nowMs() + timeoutMs,
      maximumBytes: MAXIMUM_RESPONSE_BYTES,
    });
    if (response.err) return Err(fail("upstream_failed", response.val.message));
    if (response.val.status !== HTTP_OK) {
      const message = `GET /v1/state returned status ${response.val.status}`;
      return Err(fail("upstream_failed", message));
    }
    return parseEngineState(Buffer.from(response.val.body).toString("utf8"));
  }
}
