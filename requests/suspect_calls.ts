/**
 * How a call is sent and observed that may crash the upstreams which run it.
 *
 * @module
 */
import type {
  Clock,
  EventLog,
  Failure,
  FleetUpstream,
  Milliseconds,
} from "#core";
import { type CallWatch, CRASH_EVENTS } from "#crashes";
import {
  type Attempt,
  MINIMUM_SERVER_ERROR_STATUS,
} from "./forwarded_attempt.ts";
import type { UpstreamChoice, UpstreamDemand } from "./upstream_choice.ts";

/** Longest time that a suspect waits for an upstream of its own. */
const MAXIMUM_PATIENCE_MS: Milliseconds = 500;
/** Share of the time left that it waits at most; the rest is for its response. */
const PATIENCE_RATIO = 0.5;

/** An upstream for a suspect, or why it is not sent now. */
export type IsolatedAttempt =
  | {
    readonly kind: "granted";
    readonly upstream: FleetUpstream;
    /** To be called when the attempt has ended. */
    readonly release: () => void;
  }
  | { readonly kind: "rejected"; readonly reason: string };

/** A suspect that needs an upstream. */
export interface SuspectDemand {
  readonly watch: CallWatch;
  readonly demand: UpstreamDemand;
  /** Time after which the call has failed. */
  readonly cutoffMs: Milliseconds;
  readonly signal: AbortSignal;
}

/** Waits for an upstream at which no other suspect runs, and for a permit if it names a limit. */
export async function isolateAttempt(
  suspect: SuspectDemand,
  { choice, clock }: { readonly choice: UpstreamChoice; readonly clock: Clock },
): Promise<IsolatedAttempt> {
  const { watch, demand, cutoffMs, signal } = suspect;
  const leftMs = Math.max(0, cutoffMs - clock.nowMs());
  const patienceMs = Math.min(MAXIMUM_PATIENCE_MS, leftMs * PATIENCE_RATIO);
  const { service } = demand;
  const tried = choice.unusableFor(demand);
  const outcome = await watch.isolate({ service, tried, patienceMs });
  if (outcome.kind === "rejected") return outcome;
  const { upstream, release } = outcome;
  const own: UpstreamDemand = { ...demand, only: upstream.id };
  if (!signal.aborted) {
    const chosen = choice.choose(own);
    if (chosen !== undefined) {
      return { kind: "granted", upstream: chosen, release };
    }
    const permit = await choice.acquire(own, { cutoffMs, signal });
    if (permit.kind === "granted") {
      return { kind: "granted", upstream: permit.upstream, release };
    }
  }
  release();
  return { kind: "rejected", reason: "its upstream does not accept it now" };
}

/** Records what an attempt shows about its upstream; resolves when it is known, as far as possible, whether it crashed. */
export async function recordOutcome(
  watch: CallWatch,
  attempt: Attempt,
  sent: {
    readonly upstream: FleetUpstream;
    readonly sentMs: Milliseconds;
    /** Whether this VM ended the attempt. */
    readonly cancelled: boolean;
  },
): Promise<void> {
  const { upstream, sentMs, cancelled } = sent;
  if (attempt.kind === "unknown") {
    await watch.recordBroken({ upstream, cancelled });
  }
  if (attempt.kind !== "answer") return;
  const succeeded = attempt.response.status < MINIMUM_SERVER_ERROR_STATUS;
  watch.recordAnswered({ upstream, sentMs, succeeded });
}

/** Logs that a call failed as a suspect. */
export function reportSuspect(
  watch: CallWatch,
  outcome: { readonly requestId: string; readonly failure: Failure },
  { events }: { readonly events: EventLog },
): void {
  const { standing } = watch;
  if (standing === "clear") return;
  events.emit(CRASH_EVENTS.suspectRejected, {
    request: outcome.requestId,
    digest: watch.digest,
    standing,
    ran: outcome.failure.ran,
    reason: outcome.failure.message,
  });
}
