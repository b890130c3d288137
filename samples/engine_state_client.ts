/**
 * Reads engines over HTTP.
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

const MAXIMUM_ANSWER_BYTES = MEBIBYTE;
const HTTP_OK = 200;

/** Calls `GET /v1/state`. */
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
    limitMs: Milliseconds,
  ): Promise<Result<EngineState, Failure>> {
    const answer = await this.#client.call({
      address,
      method: "GET",
      path: "/v1/state",
      deadlineMs: this.#clock.nowMs() + limitMs,
      maximumBytes: MAXIMUM_ANSWER_BYTES,
    });
    if (answer.err) return Err(fail("upstream_failed", answer.val.message));
    if (answer.val.status !== HTTP_OK) {
      const message = `the engine's state answered ${answer.val.status}`;
      return Err(fail("upstream_failed", message));
    }
    return parseEngineState(Buffer.from(answer.val.body).toString("utf8"));
  }
}
