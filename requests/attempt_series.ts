/**
 * The attempts of one forwarded call: retries, hedged attempts, and attempts apart from other suspects.
 *
 * @module
 */
import type {
  Clock,
  Failure,
  FleetUpstream,
  HttpResponse,
  Milliseconds,
  Timer,
} from "#core";
import type { Attempt } from "./forwarded_attempt.ts";
import {
  finalResult,
  type ForwardedCall,
  mayAttempt,
  upstreamDemand,
} from "./forwarded_call.ts";
import { isolateAttempt } from "./suspect_calls.ts";
import type { UpstreamChoice, UpstreamDemand } from "./upstream_choice.ts";

/** Share of the route's latency objective after which a call without a response is hedged. */
const HEDGE_DELAY_OBJECTIVE_RATIO = 0.45;
/** A route may name no objective. */
const MINIMUM_OVERDUE_MS: Milliseconds = 50;
/** Time after which an upstream that crashed under a call is likely to be up again. */
const SUSPECT_RETRY_AFTER_MS: Milliseconds = 1_000;

/** Options of `AttemptSeries`. */
export interface AttemptSeriesOptions {
  readonly clock: Clock;
  readonly choice: UpstreamChoice;
  /** Makes one attempt. */
  readonly send: (upstream: FleetUpstream) => Promise<Attempt>;
  /** Returns the response that ends the call, or undefined if another attempt may follow. */
  readonly finalResponse: (attempt: Attempt) => HttpResponse | undefined;
}

/** Makes attempts until there is a final response; an idempotent call may have two in flight. */
export class AttemptSeries {
  readonly #forwarded: ForwardedCall;
  readonly #options: AttemptSeriesOptions;
  readonly #settle: (response: HttpResponse | Failure) => void;
  /** Attempts that are in flight or wait for an upstream. */
  #running = 0;
  #hedgeTimer: Timer | undefined;
  #overdueTimer: Timer | undefined;
  /** Attempts without a response, and when they were sent. */
  readonly #inFlight = new Map<FleetUpstream, Milliseconds>();

  private constructor(
    forwarded: ForwardedCall,
    options: AttemptSeriesOptions,
    settle: (response: HttpResponse | Failure) => void,
  ) {
    this.#forwarded = forwarded;
    this.#options = options;
    this.#settle = settle;
  }

  /** Returns the response of the call, or a failure that states whether it may have run. */
  static run(
    forwarded: ForwardedCall,
    options: AttemptSeriesOptions,
  ): Promise<HttpResponse | Failure> {
    return new Promise((resolve) => {
      const series = new AttemptSeries(forwarded, options, (response) => {
        series.#hedgeTimer?.cancel();
        series.#overdueTimer?.cancel();
        resolve(response);
      });
      series.#begin();
    });
  }

  #begin(): void {
    const { objectiveMs } = this.#forwarded.routed.route;
    const delayMs = objectiveMs * HEDGE_DELAY_OBJECTIVE_RATIO;
    const { clock } = this.#options;
    this.#hedgeTimer = clock.after(delayMs, () => this.#hedge());
    const overdueMs = Math.max(MINIMUM_OVERDUE_MS, objectiveMs);
    this.#overdueTimer = clock.every(
      overdueMs,
      () => this.#handleOverdue(overdueMs),
    );
    this.#startOrSettle();
  }

  /**
   * Sends an idempotent call again whose upstreams have not responded for as long as a response may take, as if they had
   * failed: a silent upstream must not hold the calls that it got until their deadline.
   */
  #handleOverdue(overdueMs: Milliseconds): void {
    const { routed: { route }, watch, service } = this.#forwarded;
    if (route.kind !== "idempotent") return this.#pauseSilent(overdueMs);
    if (this.#inFlight.size === 0) return;
    const { clock, choice } = this.#options;
    const nowMs = clock.nowMs();
    for (const [upstream, sentMs] of this.#inFlight) {
      if (nowMs - sentMs < overdueMs) return;
      choice.selector.pause(upstream.id, nowMs);
    }
    const isWaiting = this.#running > this.#inFlight.size;
    if (!isWaiting && watch.mayHedge(service)) this.#startNext();
  }

  /** Keeps other calls away from an upstream that answers nobody; a call that runs once at most has to wait for it. */
  #pauseSilent(overdueMs: Milliseconds): void {
    const { clock, choice: { selector } } = this.#options;
    const nowMs = clock.nowMs();
    for (const [upstream, sentMs] of this.#inFlight) {
      const heardMs = Math.max(sentMs, selector.heardMs(upstream.id));
      if (nowMs - heardMs < overdueMs) continue;
      selector.recordSilence(upstream.id, nowMs);
    }
  }

  #hedge(): void {
    const { routed: { route }, triedUpstreams, watch, service } =
      this.#forwarded;
    if (route.kind !== "idempotent" || triedUpstreams.size === 0) return;
    // While a service lacks upstreams that crashed, a hedge may cost it the next one.
    if (watch.mayHedge(service)) this.#startNext(true);
  }

  #startOrSettle(): void {
    if (this.#startNext() || this.#running > 0) return;
    this.#settle(finalResult(this.#forwarded));
  }

  #start(upstream: FleetUpstream, release: () => void = () => {}): void {
    this.#running += 1;
    this.#inFlight.set(upstream, this.#options.clock.nowMs());
    this.#options.send(upstream).then((attempt) => {
      this.#running -= 1;
      this.#inFlight.delete(upstream);
      release();
      const response = this.#options.finalResponse(attempt);
      if (response !== undefined) this.#settle(response);
      else this.#startOrSettle();
    });
  }

  /** Starts another attempt, or lets one wait for an upstream; returns false if the call may make none now. */
  #startNext(isHedge = false): boolean {
    const { clock, choice } = this.#options;
    if (!mayAttempt(this.#forwarded, clock.nowMs())) return false;
    if (this.#forwarded.watch.standing !== "clear") return this.#isolateNext();
    const demand = { ...upstreamDemand(this.#forwarded), isHedge };
    const upstream = choice.choose(demand);
    if (upstream !== undefined) {
      this.#start(upstream);
      return true;
    }
    if (!choice.mayGetPermit(demand)) return false;
    this.#running += 1;
    this.#acquire(demand).then((acquired) => {
      this.#running -= 1;
      if (acquired !== undefined) this.#start(acquired);
      else if (this.#running === 0) this.#settle(finalResult(this.#forwarded));
    });
    return true;
  }

  async #acquire(demand: UpstreamDemand): Promise<FleetUpstream | undefined> {
    const { clock, choice } = this.#options;
    const { cutoffMs, abortController: { signal } } = this.#forwarded;
    const outcome = await choice.acquire(demand, { cutoffMs, signal });
    // Another attempt may have been sent meanwhile, or the time be up.
    if (!mayAttempt(this.#forwarded, clock.nowMs())) return undefined;
    if (outcome.kind === "granted") return outcome.upstream;
    if (demand.isHedge === true) return undefined;
    const full = choice.choose(demand, { hasWaited: true });
    if (full !== undefined) return full;
    this.#forwarded.retryAfterMs = outcome.retryAfterMs;
    this.#forwarded.lastFailure =
      "the upstreams have reached the limits they name";
    return undefined;
  }

  /** Lets a suspect wait for an upstream of its own, unless it is in flight somewhere. */
  #isolateNext(): boolean {
    const { watch } = this.#forwarded;
    if (this.#running > 0 || watch.standing === "blocked") return false;
    this.#running += 1;
    this.#isolate().then(() => {
      this.#running -= 1;
      if (this.#running === 0) this.#settle(finalResult(this.#forwarded));
    });
    return true;
  }

  async #isolate(): Promise<void> {
    const forwarded = this.#forwarded;
    const { watch, cutoffMs, abortController: { signal } } = forwarded;
    const demand = upstreamDemand(forwarded);
    const suspect = { watch, demand, cutoffMs, signal };
    const attempt = await isolateAttempt(suspect, this.#options);
    if (attempt.kind === "rejected") {
      forwarded.retryAfterMs = SUSPECT_RETRY_AFTER_MS;
      forwarded.lastFailure = attempt.reason;
    } else if (mayAttempt(forwarded, this.#options.clock.nowMs())) {
      this.#start(attempt.upstream, attempt.release);
    } else {
      attempt.release();
    }
  }
}
