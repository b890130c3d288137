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
    let serverErrors = 0;
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
      onServerError: () => {
        serverErrors += 1;
      },
    });
    if ("kind" in response) {
      return { kind: "failed", serverErrors, reason: response.message };
    }
    const score = this.#scoreOf(response);
    if (score !== null) return { kind: "scored", score };
    const reason = `status ${response.status} without a score`;
    return { kind: "failed", serverErrors, reason };
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
