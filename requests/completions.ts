/**
 * Completions: queued, dispatched to an engine, resumed on another engine if the stream breaks, and cancelled
 * when the caller disconnects.
 *
 * @module
 */
import {
  type CompletionCall,
  type CompletionOptions,
  CompletionPort,
  type CompletionResult,
  Err,
  fail,
  type Failure,
  MEBIBYTE,
  type Milliseconds,
  Ok,
  type Result,
} from "#core";
import { CallProgress } from "./attempt.ts";
import { EngineCall, type EngineResult } from "./engine_call.ts";
import { EMPTY_COMPLETION, type ReceivedCompletion } from "./engine_stream.ts";
import { REQUEST_EVENTS } from "./events.ts";
import type { RequestDependencies } from "./request_dependencies.ts";
import type { WorkItem } from "./work_item.ts";
import type { Slot } from "./work_gate.ts";

/** Maximum number of attempts of one completion, including resumed ones. */
export const MAXIMUM_COMPLETION_ATTEMPTS = 5;

const PROMPT_CHARACTERS_PER_COST_UNIT = 32;
const RETRY_DELAY_MS: Milliseconds = 20;
const DEFAULT_MAXIMUM_RESPONSE_BYTES = 16 * MEBIBYTE;

/** Runs completions on engines. */
export class EngineCompletions extends CompletionPort {
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

  override async complete(
    call: CompletionCall,
    options: CompletionOptions = {},
  ): Promise<Result<CompletionResult, Failure>> {
    this.#openCalls += 1;
    const arrivedMs = this.#dependencies.clock.nowMs();
    try {
      const run = new CompletionRun(this.#dependencies, {
        call,
        options,
        arrivedMs,
      });
      const result = await run.result();
      this.#recordResult(call, { result, arrivedMs });
      return result;
    } finally {
      this.#openCalls -= 1;
    }
  }

  #recordResult(
    call: CompletionCall,
    outcome: {
      readonly result: Result<CompletionResult, Failure>;
      readonly arrivedMs: Milliseconds;
    },
  ): void {
    const { metrics, decisions, clock } = this.#dependencies;
    const { result, arrivedMs } = outcome;
    const labels = { tenant: call.tenant, class: call.class };
    if (result.ok) {
      metrics.recordResponse(labels, clock.nowMs() - arrivedMs);
      decisions.record(call.requestId, "answered", {
        upstream: result.val.upstream,
        tokens: result.val.tokens,
      });
      return;
    }
    metrics.recordFailure(labels, result.val);
    decisions.record(call.requestId, "failed", { ...result.val });
  }
}

interface CompletionRunOptions {
  readonly call: CompletionCall;
  readonly options: CompletionOptions;
  readonly arrivedMs: Milliseconds;
}

/** Runs one completion through all its attempts. */
class CompletionRun {
  readonly #dependencies: RequestDependencies;
  readonly #call: CompletionCall;
  readonly #options: CompletionOptions;
  readonly #arrivedMs: Milliseconds;
  readonly #progress = new CallProgress({
    repeatable: true,
    maximumAttempts: MAXIMUM_COMPLETION_ATTEMPTS,
  });
  #received: ReceivedCompletion = EMPTY_COMPLETION;
  #keyValues: string | null = null;

  constructor(
    dependencies: RequestDependencies,
    options: CompletionRunOptions,
  ) {
    this.#dependencies = dependencies;
    this.#call = options.call;
    this.#options = options.options;
    this.#arrivedMs = options.arrivedMs;
    const { resume } = options.options;
    if (resume === undefined) return;
    this.#received = { ...resume, finishReason: null };
  }

  async result(): Promise<Result<CompletionResult, Failure>> {
    this.#dependencies.budget.deposit(this.#call.class);
    while (true) {
      const slot = await this.#acquire();
      if (!slot.ok) return Err(this.#rejectionAfterAttempts(slot.val));
      const attempt = await this.#attempt(slot.val);
      if (attempt.outcome === "whole") {
        return Ok(this.#completionAnswer(slot.val));
      }
      const failure = this.#failureUnlessRetried(attempt, slot.val);
      if (failure !== undefined) return Err(failure);
      await this.#backOff();
      await this.#exportKeyValues(slot.val);
    }
  }

  #acquire(): Promise<Result<Slot, Failure>> {
    return this.#dependencies.gate.acquire(
      this.#workItem(),
      this.#options.signal,
    );
  }

  async #attempt(slot: Slot): Promise<EngineResult> {
    const { clock, metrics, client } = this.#dependencies;
    const call = this.#call;
    this.#progress.startAttempt();
    metrics.recordDispatch(
      { tenant: call.tenant, class: call.class },
      clock.nowMs() - this.#arrivedMs,
    );
    const { signal, onChunk } = this.#options;
    const engineCall = new EngineCall({
      client,
      clock,
      record: slot.upstream.record,
      call,
      received: this.#received,
      keyValues: this.#keyValues,
      maximumBytes: this.#maximumResponseBytes(),
      onStage: (stage) => this.#progress.recordStage(stage),
      onChunk: (chunk) => onChunk?.(chunk),
      ...(signal === undefined ? {} : { signal }),
    });
    const attempt = await engineCall.result();
    const generatedTokens = attempt.received.tokens - this.#received.tokens;
    this.#received = attempt.received;
    this.#keyValues = null;
    slot.release({
      result: slotResult(attempt),
      totalMs: clock.nowMs() - slot.grantedAtMs,
      firstByteMs: attempt.firstByteMs,
      units: Math.max(1, generatedTokens),
    });
    return attempt;
  }

  /** Returns the failure of the completion, or undefined if it is to be retried. */
  #failureUnlessRetried(
    attempt: EngineResult & { readonly outcome: "failed" },
    slot: Slot,
  ): Failure | undefined {
    const { budget, metrics, decisions, events } = this.#dependencies;
    const { requestId } = this.#call;
    const upstream = slot.upstream.id;
    if (attempt.cause === "foreign_answer") {
      metrics.recordForeignResponse(upstream);
      events.emit(REQUEST_EVENTS.foreignResponse, { upstream, requestId });
    }
    decisions.record(requestId, "attempt_failed", {
      upstream,
      cause: attempt.cause,
      tokens: this.#received.tokens,
    });
    const decision = this.#progress.failAttempt(attempt.cause, RETRY_DELAY_MS);
    if (decision.next === "fail") return decision.failure;
    const skipsBudget = this.#received.tokens > 0 ||
      attempt.cause === "not_connected";
    if (skipsBudget || budget.spend(this.#call.class)) return undefined;
    return this.#progress.failureFor(attempt.cause, RETRY_DELAY_MS);
  }

  /** Exports the key-value cache of a draining engine, so that the next engine can import it. */
  async #exportKeyValues(slot: Slot): Promise<void> {
    const record = slot.upstream.record;
    if (!record.leaving || this.#received.tokens === 0) return;
    this.#keyValues = await EngineCall.exportKeyValues({
      client: this.#dependencies.client,
      clock: this.#dependencies.clock,
      record,
      requestId: this.#call.requestId,
    });
    this.#dependencies.events.emit(REQUEST_EVENTS.streamResumed, {
      requestId: this.#call.requestId,
      from: record.id,
      keyValues: this.#keyValues !== null,
    });
  }

  #backOff(): Promise<void> {
    const { clock, random } = this.#dependencies;
    const maximumDelayMs = RETRY_DELAY_MS * 2 ** this.#progress.attempts;
    return clock.sleep(maximumDelayMs * random.fraction());
  }

  /** Corrects `ran` of a queue rejection: an earlier attempt may have run although this one did not. */
  #rejectionAfterAttempts(rejection: Failure): Failure {
    const ran = this.#progress.ran;
    if (ran === "no" || rejection.ran !== "no") return rejection;
    return fail(rejection.kind, rejection.message, { ...rejection, ran });
  }

  #completionAnswer(slot: Slot): CompletionResult {
    const { text, tokens, runs, finishReason } = this.#received;
    return {
      text,
      tokens,
      runs,
      upstream: slot.upstream.id,
      finishReason: finishReason ?? "stop",
    };
  }

  #maximumResponseBytes(): number {
    const bundle = this.#dependencies.board.read("bundle")?.signed.bundle;
    return bundle?.limits.answerBytes ?? DEFAULT_MAXIMUM_RESPONSE_BYTES;
  }

  #workItem(): WorkItem {
    const call = this.#call;
    const promptUnits = call.prompt.length / PROMPT_CHARACTERS_PER_COST_UNIT;
    const isRetry = this.#progress.attempts > 0;
    const remainingTokens = Math.max(
      1,
      call.maximumTokens - this.#received.tokens,
    );
    return {
      id: call.requestId,
      tenant: call.tenant,
      class: call.class,
      trainer: call.trainer,
      target: { kind: "model", name: call.model },
      prefixKey: call.prefixKey,
      minimumVersion: call.minimumVersion,
      urgent: call.urgent || isRetry,
      avoid: call.avoid,
      admitted: isRetry,
      arrivedMs: this.#arrivedMs,
      deadlineMs: call.deadlineMs,
      cost: remainingTokens + promptUnits,
    };
  }
}

function slotResult(attempt: EngineResult): "whole" | "failed" | "cancelled" {
  if (attempt.outcome === "whole") return "whole";
  const { cause } = attempt;
  return cause === "cancelled" || cause === "deadline" ? "cancelled" : "failed";
}
