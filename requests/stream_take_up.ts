/**
 * Decides how a call for a stream may go on: a stream that broke off goes on only at the software version that began
 * it, whoever takes it up.
 *
 * @module
 */
import {
  type EventLog,
  fail,
  type Failure,
  type Milliseconds,
  type RandomSource,
} from "#core";
import type { OriginAnswer, StreamOrigins } from "#streams";
import { REQUEST_EVENTS } from "./events.ts";
import type { RoutedCall } from "./forwarded_call.ts";
import { pickService } from "./route_rules.ts";
import type { Resumption } from "./upstream_dialect.ts";

/** Time after which a control VM that did not reply is likely to. */
const RETRY_AFTER_MS: Milliseconds = 300;

/** Where a stream begins, or goes on. */
export interface StreamStart {
  readonly service: string;
  /** The attempt that brought the first event; the call itself if it begins the stream. */
  readonly originAttempt: string;
  /** The software version that must go on with the stream; null if it begins. */
  readonly softwareVersion: string | null;
  /** The last event that the caller has, or null. */
  readonly lastEventId: number | null;
}

/** Options of `startOf`. */
export interface StreamTakeUpOptions {
  readonly random: RandomSource;
  readonly events: EventLog;
  readonly origins: StreamOrigins;
}

/** Returns where a call's stream may begin or go on, or why it may not. */
export async function startOf(
  routed: RoutedCall,
  resumption: Resumption | null,
  options: StreamTakeUpOptions,
): Promise<StreamStart | Failure> {
  if (resumption !== null) return await takeUp(routed, resumption, options);
  const { route, requestId } = routed;
  const service = pickService(route.split, options.random);
  if (service === undefined) {
    return fail("no_upstream", `route ${route.name} has no service`);
  }
  return {
    service,
    originAttempt: requestId,
    softwareVersion: null,
    lastEventId: null,
  };
}

/** Whether a stream goes on, or why not. */
type TakeUpDecision =
  | (Extract<OriginAnswer, { kind: "known" }> & {
    readonly originAttempt: string;
  })
  | { readonly kind: "refused"; readonly failure: Failure };

async function takeUp(
  routed: RoutedCall,
  resumption: Resumption,
  options: StreamTakeUpOptions,
): Promise<StreamStart | Failure> {
  const decision = await decide(routed, resumption, options.origins);
  logTakeUp(routed, { resumption, decision }, options.events);
  if (decision.kind === "refused") return decision.failure;
  const { origin, originAttempt } = decision;
  return { ...origin, originAttempt, lastEventId: resumption.lastEventId };
}

async function decide(
  { route }: RoutedCall,
  { originAttempt }: Resumption,
  origins: StreamOrigins,
): Promise<TakeUpDecision> {
  if (originAttempt === null) {
    return refuse("the caller names no attempt that began it");
  }
  const answer = await origins.find(originAttempt);
  if (answer.kind === "unknown") {
    return refuse(answer.reason, answer.mayBecomeKnown);
  }
  const { service } = answer.origin;
  const leadsThere = route.split.some((each) =>
    each.service === service && each.weight > 0
  );
  return leadsThere
    ? { ...answer, originAttempt }
    : refuse(`route ${route.name} no longer leads to ${service}`);
}

function refuse(reason: string, mayBecomeKnown = false): TakeUpDecision {
  const message = `the stream can't be taken up: ${reason}`;
  const retry = mayBecomeKnown ? { retryAfterMs: RETRY_AFTER_MS } : {};
  const failure = fail("stream_origin_unknown", message, retry);
  return { kind: "refused", failure };
}

function logTakeUp(
  { requestId }: RoutedCall,
  takeUp: {
    readonly resumption: Resumption;
    readonly decision: TakeUpDecision;
  },
  events: EventLog,
): void {
  const { resumption, decision } = takeUp;
  const details = decision.kind === "refused"
    ? { outcome: "refused", reason: decision.failure.message }
    : {
      outcome: "goes_on",
      ...decision.origin,
      source: decision.source,
      ageMs: Math.round(decision.ageMs),
    };
  events.emit(REQUEST_EVENTS.streamTakenUp, {
    request: requestId,
    origin: resumption.originAttempt,
    lastEvent: resumption.lastEventId,
    ...details,
  });
}
