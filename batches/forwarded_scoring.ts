/**
 * Sends scoring calls as the calls of callers are sent: through the route's service, with its limits, hedging and
 * retries.
 *
 * @module
 */
import type { Clock, HttpResponse } from "#core";
import type { Forwarder, UpstreamDialect } from "#requests";
import type { ScoringCall } from "./batch_types.ts";
import { type ScoringOutcome, ScoringPort } from "./item_scoring.ts";
import { SCORING_SLOT_SHARE } from "./scoring_plan.ts";

/** Status of an upstream that ran the call and failed. */
const FAILED_STATUS = 500;
const MINIMUM_SUCCESS_STATUS = 200;
const MAXIMUM_SUCCESS_STATUS = 299;

/** Options of `ForwardedScoring`. */
export interface ForwardedScoringOptions {
  readonly forwarder: Pick<Forwarder, "forward">;
  readonly dialect: UpstreamDialect;
  readonly clock: Clock;
}

/** Forwards scoring calls to the upstreams of their routes. */
export class ForwardedScoring extends ScoringPort {
  readonly #options: ForwardedScoringOptions;

  constructor(options: ForwardedScoringOptions) {
    super();
    this.#options = options;
  }

  override async send(
    call: ScoringCall,
    options: Parameters<ScoringPort["send"]>[1],
  ): Promise<ScoringOutcome> {
    const { route, signal } = options;
    const { clock, forwarder } = this.#options;
    const statuses: number[] = [];
    const response = await forwarder.forward({
      call: {
        method: "POST",
        path: call.target,
        target: call.target,
        rawHeaders: ["Host", call.host],
        headers: { host: call.host },
        parameters: {},
        query: new URLSearchParams(),
        body: call.body,
        signal,
      },
      // A scoring call has no effects, whatever its route says.
      route: { ...route, kind: "idempotent" },
      requestId: call.id,
      deadlineMs: clock.nowMs() + route.timeoutMs,
      // Nobody waits for the response of this call but its step, which is due in seconds.
      permitPatienceMs: route.timeoutMs,
      slotShare: SCORING_SLOT_SHARE,
      onServerError: (status) => {
        statuses.push(status);
      },
    });
    const score = "kind" in response ? null : this.#scoreOf(response);
    if (score !== null) return { kind: "scored", score };
    // A timeout that an upstream reports (504) says nothing about the call itself.
    const serverErrors = statuses.filter((each) => each === FAILED_STATUS);
    const message = "kind" in response
      ? response.message
      : `status ${response.status} without a score`;
    return {
      kind: "failed",
      serverErrors: serverErrors.length,
      reason: `${message}; responses ${statuses.join(", ") || "none"}`,
    };
  }

  /** Returns the stamp of a successful response, which is the score. */
  #scoreOf(response: HttpResponse): string | null {
    const { status } = response;
    if (status < MINIMUM_SUCCESS_STATUS || status > MAXIMUM_SUCCESS_STATUS) {
      return null;
    }
    const headers: Record<string, string> = {};
    for (const [name, value] of Object.entries(response.headers)) {
      headers[name.toLowerCase()] = value;
    }
    const head = { status, headers, rawHeaders: [] };
    return this.#options.dialect.readResponse(head).stamp;
  }
}
