/**
 * Calls to plain services. A call runs at most once unless it is idempotent; a call with an idempotency key is
 * claimed before dispatch.
 *
 * @module
 */
import {
  type Bundle,
  Err,
  fail,
  type Failure,
  type Milliseconds,
  Ok,
  type Result,
  type ServiceCall,
  ServicePort,
  type ServiceResponse,
} from "#core";
import { type AttemptFailureCause, CallProgress } from "./attempt.ts";
import type { GrantedClaim } from "./claim_client.ts";
import type { RequestDependencies } from "./request_dependencies.ts";
import type { UpstreamFailure } from "./upstream_client.ts";
import type { Slot } from "./work_gate.ts";
import type { WorkItem } from "./work_item.ts";

/** Maximum number of attempts of one call, including those that never connected. */
export const MAXIMUM_SERVICE_ATTEMPTS = 3;

const RETRY_DELAY_MS: Milliseconds = 20;
const NOT_READY_RETRY_MS: Milliseconds = 1_000;
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "date",
  "host",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Routes calls to the upstreams of plain services. */
export class RoutedServices extends ServicePort {
  readonly #dependencies: RequestDependencies;
  #openCalls = 0;

  constructor(dependencies: RequestDependencies) {
    super();
    this.#dependencies = dependencies;
  }

  /** Number of unfinished calls. */
  get openCalls(): number {
    return this.#openCalls;
  }

  override call(
    call: ServiceCall,
  ): Promise<Result<ServiceResponse, Failure>> {
    return this.callWithSignal(call, undefined);
  }

  /**
   * Same as `call`, but `signal` cancels a call without an idempotency key: while it is queued, and at the
   * upstream only if it is idempotent.
   */
  async callWithSignal(
    call: ServiceCall,
    signal: AbortSignal | undefined,
  ): Promise<Result<ServiceResponse, Failure>> {
    this.#openCalls += 1;
    const { clock, metrics, decisions } = this.#dependencies;
    const arrivedMs = clock.nowMs();
    const labels = { tenant: call.tenant, class: call.class };
    try {
      const result = await this.#callClaimed(call, { arrivedMs, signal });
      if (result.ok) metrics.recordResponse(labels, clock.nowMs() - arrivedMs);
      else metrics.recordFailure(labels, result.val);
      decisions.record(
        call.requestId,
        result.ok ? "answered" : "failed",
        result.ok ? { upstream: result.val.upstream } : { ...result.val },
      );
      return result;
    } finally {
      this.#openCalls -= 1;
    }
  }

  async #callClaimed(
    call: ServiceCall,
    context: {
      readonly arrivedMs: Milliseconds;
      readonly signal: AbortSignal | undefined;
    },
  ): Promise<Result<ServiceResponse, Failure>> {
    const { claims, board } = this.#dependencies;
    const bundle = board.read("bundle")?.signed.bundle;
    const { idempotencyKey } = call;
    if (bundle === undefined) return Err(notReady(idempotencyKey));
    const run = new ServiceRun(this.#dependencies, {
      call,
      bundle,
      ...context,
    });
    if (idempotencyKey === null) return await run.result();
    const claimed = await claims.claim(
      { ...call, idempotencyKey },
      bundle.limits,
    );
    if (!claimed.ok) return claimed;
    if (claimed.val.outcome === "answered") return Ok(claimed.val.answer);
    return await this.#finishClaim(claimed.val.claim, await run.result());
  }

  /** Stores a complete response; withdraws the claim if the call certainly did not run, else leaves it open. */
  async #finishClaim(
    claim: GrantedClaim,
    result: Result<ServiceResponse, Failure>,
  ): Promise<Result<ServiceResponse, Failure>> {
    const { claims } = this.#dependencies;
    if (result.ok) await claims.store(claim, result.val);
    else if (result.val.ran === "no") await claims.withdraw(claim);
    return result;
  }
}

interface ServiceRunOptions {
  readonly call: ServiceCall;
  readonly bundle: Bundle;
  readonly arrivedMs: Milliseconds;
  readonly signal: AbortSignal | undefined;
}

/** Runs one call through all its attempts. */
class ServiceRun {
  readonly #dependencies: RequestDependencies;
  readonly #options: ServiceRunOptions;
  readonly #progress: CallProgress;

  constructor(dependencies: RequestDependencies, options: ServiceRunOptions) {
    this.#dependencies = dependencies;
    this.#options = options;
    this.#progress = new CallProgress({
      repeatable: options.call.idempotent,
      maximumAttempts: MAXIMUM_SERVICE_ATTEMPTS,
    });
  }

  async result(): Promise<Result<ServiceResponse, Failure>> {
    const { call } = this.#options;
    this.#dependencies.budget.deposit(call.class);
    while (true) {
      const slot = await this.#acquire();
      if (!slot.ok) return Err(this.#rejectionAfterAttempts(slot.val));
      const response = await this.#attempt(slot.val);
      if (response.ok) return response;
      const failure = this.#failureUnlessRetried(response.val.cause, slot.val);
      if (failure !== undefined) return Err(failure);
      await this.#backOff();
    }
  }

  #acquire(): Promise<Result<Slot, Failure>> {
    const { call, signal } = this.#options;
    const hasKey = call.idempotencyKey !== null;
    return this.#dependencies.gate.acquire(
      this.#workItem(),
      hasKey ? undefined : signal,
    );
  }

  async #attempt(
    slot: Slot,
  ): Promise<Result<ServiceResponse, UpstreamFailure>> {
    const { client, clock, metrics } = this.#dependencies;
    const { call, bundle, arrivedMs, signal } = this.#options;
    this.#progress.startAttempt();
    const labels = { tenant: call.tenant, class: call.class };
    metrics.recordDispatch(labels, clock.nowMs() - arrivedMs);
    const response = await client.call({
      address: slot.upstream.record.address,
      method: call.method,
      path: call.path,
      headers: {
        ...withoutHopByHopHeaders(call.headers),
        "cicadafield-request": call.requestId,
      },
      body: call.body,
      deadlineMs: call.deadlineMs,
      maximumBytes: bundle.limits.answerBytes,
      onStage: (stage) => {
        if (stage !== "not_connected") this.#progress.recordStage(stage);
      },
      ...(this.#mayCancel() && signal !== undefined ? { signal } : {}),
    });
    slot.release({
      result: response.ok ? "whole" : slotResult(response.val),
      totalMs: clock.nowMs() - slot.grantedAtMs,
      firstByteMs: null,
      units: 1,
    });
    if (!response.ok) return response;
    return Ok({
      status: response.val.status,
      headers: withoutHopByHopHeaders(response.val.headers),
      body: response.val.body,
      upstream: slot.upstream.id,
    });
  }

  /** A non-repeatable call continues when its caller disconnects, so that its outcome becomes known. */
  #mayCancel(): boolean {
    const { call } = this.#options;
    return call.idempotent && call.idempotencyKey === null;
  }

  #failureUnlessRetried(
    cause: AttemptFailureCause,
    slot: Slot,
  ): Failure | undefined {
    const { budget, decisions } = this.#dependencies;
    const { call } = this.#options;
    decisions.record(call.requestId, "attempt_failed", {
      upstream: slot.upstream.id,
      cause,
    });
    const decision = this.#progress.failAttempt(cause, NOT_READY_RETRY_MS);
    if (decision.next === "fail") return decision.failure;
    if (cause === "not_connected" || budget.spend(call.class)) return undefined;
    return this.#progress.failureFor(cause, NOT_READY_RETRY_MS);
  }

  #backOff(): Promise<void> {
    const { clock, random } = this.#dependencies;
    const maximumDelayMs = RETRY_DELAY_MS * 2 ** this.#progress.attempts;
    return clock.sleep(maximumDelayMs * random.fraction());
  }

  #rejectionAfterAttempts(rejection: Failure): Failure {
    const ran = this.#progress.ran;
    if (ran === "no" || rejection.ran !== "no") return rejection;
    return fail(rejection.kind, rejection.message, { ...rejection, ran });
  }

  #workItem(): WorkItem {
    const { call, arrivedMs } = this.#options;
    const isRetry = this.#progress.attempts > 0;
    return {
      id: call.requestId,
      tenant: call.tenant,
      class: call.class,
      trainer: null,
      target: { kind: "service", name: call.service },
      prefixKey: "",
      minimumVersion: null,
      urgent: isRetry,
      avoid: [],
      admitted: isRetry,
      arrivedMs,
      deadlineMs: call.deadlineMs,
      cost: 1,
    };
  }
}

function slotResult(failure: UpstreamFailure): "failed" | "cancelled" {
  const { cause } = failure;
  if (cause === "cancelled" || cause === "deadline") return "cancelled";
  return cause === "answer_too_large" ? "cancelled" : "failed";
}

/** For a call with an idempotency key, `ran` is unknown while its claim can't be looked up. */
function notReady(idempotencyKey: string | null): Failure {
  return fail("not_ready", "no bundle is active on this VM yet", {
    ran: idempotencyKey === null ? "no" : "unknown",
    retryAfterMs: NOT_READY_RETRY_MS,
  });
}

function withoutHopByHopHeaders(
  headers: Readonly<Record<string, string>>,
): Readonly<Record<string, string>> {
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!HOP_BY_HOP_HEADERS.has(name)) forwarded[name] = value;
  }
  return forwarded;
}
